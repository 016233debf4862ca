#include <geraniumpulley/core/fleet/store_route.hpp>

namespace geraniumpulley::core {

StoreRoute chooseStoreRoute(const StoreRouteState &state, Time now)
{
    return now < state.directRetryAt ? StoreRoute::Relay : StoreRoute::Direct;
}

bool recordDirectCall(StoreRouteState &state, bool succeeded, Time now)
{
    const bool wasUnavailable = state.directUnavailable;
    if (succeeded) {
        state.failingSince.reset();
        state.directUnavailable = false;
        state.directRetryAt = now;
        return wasUnavailable;
    }
    if (!state.failingSince)
        state.failingSince = now;
    state.directUnavailable =
            state.directUnavailable || now - *state.failingSince >= state.failureTimeout;
    if (state.directUnavailable)
        state.directRetryAt = now + state.directRetryDelay;
    return state.directUnavailable != wasUnavailable;
}

void recordRelayedCall(StoreRouteState &state, bool succeeded, Time now)
{
    if (!succeeded)
        state.directRetryAt = now;
}

} // namespace geraniumpulley::core
