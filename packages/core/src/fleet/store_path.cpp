#include <geraniumpulley/core/fleet/store_path.hpp>

namespace geraniumpulley::core {

StoreRoute chooseStoreRoute(const StorePath &path, Time now)
{
    return now < path.directRestsUntil ? StoreRoute::Relay : StoreRoute::Direct;
}

bool noteDirectCall(StorePath &path, bool served, Time now)
{
    const bool wasLost = path.lost;
    if (served) {
        path.failingSince.reset();
        path.lost = false;
        path.directRestsUntil = now;
        return wasLost;
    }
    if (!path.failingSince)
        path.failingSince = now;
    path.lost = path.lost || now - *path.failingSince >= path.lossLimit;
    if (path.lost)
        path.directRestsUntil = now + path.restAfterFailure;
    return path.lost != wasLost;
}

void noteRelayedCall(StorePath &path, bool served, Time now)
{
    if (!served)
        path.directRestsUntil = now;
}

} // namespace geraniumpulley::core
