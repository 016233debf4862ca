#include <geraniumpulley/core/fleet/store_path.hpp>

namespace geraniumpulley::core {

StoreRoute chooseStoreRoute(const StorePath &state, Time now)
{
    return now < state.directRestsUntil ? StoreRoute::Relay : StoreRoute::Direct;
}

bool noteDirectCall(StorePath &state, bool succeeded, Time now)
{
    const bool wasUnavailable = state.lost;
    if (succeeded) {
        state.failingSince.reset();
        state.lost = false;
        state.directRestsUntil = now;
        return wasUnavailable;
    }
    if (!state.failingSince)
        state.failingSince = now;
    state.lost = state.lost || now - *state.failingSince >= state.lossLimit;
    if (state.lost)
        state.directRestsUntil = now + state.restAfterFailure;
    return state.lost != wasUnavailable;
}

void noteRelayedCall(StorePath &state, bool succeeded, Time now)
{
    if (!succeeded)
        state.directRestsUntil = now;
}

} // namespace geraniumpulley::core
