#pragma once

#include <geraniumpulley/core/time.hpp>

#include <optional>

/// Choice between calling the store directly and relaying calls through another node, since the
/// store can reject some nodes while it serves others.
namespace geraniumpulley::core {

enum class StoreRoute { Direct, Relay };

/// The state of a circuit breaker for direct calls to the store.
struct StoreRouteState
{
    /// How long calls are relayed before the direct route is tried again.
    Duration directRetryDelay = std::chrono::seconds(1);
    /// Only failures over this time without a success make the direct route count as unavailable,
    /// since single partitions of the store can fail.
    Duration failureTimeout = std::chrono::milliseconds(300);
    Time directRetryAt{};
    std::optional<Time> failingSince; ///< The first failed direct call since the last success.
    bool directUnavailable = false;
};

/// \return the route of the next call.
StoreRoute chooseStoreRoute(const StoreRouteState &state, Time now);

/// Records whether a direct call succeeded.
/// \return whether the direct route has become unavailable or available again.
bool recordDirectCall(StoreRouteState &state, bool succeeded, Time now);

/// Records whether a relayed call succeeded. If relayed calls fail too, the store itself is
/// unavailable, and the next call uses the direct route, which shows its recovery first.
void recordRelayedCall(StoreRouteState &state, bool succeeded, Time now);

} // namespace geraniumpulley::core
