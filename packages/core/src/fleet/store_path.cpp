#include <geraniumpulley/core/fleet/store_path.hpp>

namespace geraniumpulley::core {

StoreRoute chooseStoreRoute(const StorePath &path, Time now)
{
    return now < path.directRestsUntil ? StoreRoute::Relay : StoreRoute::Direct;
}

void noteDirectCall(StorePath &path, bool served, Time now)
{
    path.directRestsUntil = served ? now : now + path.restAfterFailure;
}

void noteRelayedCall(StorePath &path, bool served, Time now)
{
    if (!served)
        path.directRestsUntil = now;
}

} // namespace geraniumpulley::core
