#pragma once

#include <geraniumpulley/core/time.hpp>

#include <optional>

/// Whether a node calls the store itself or asks another node to: the store may turn some nodes
/// away while it serves the others.
namespace geraniumpulley::core {

enum class StoreRoute { Direct, Relay };

struct StorePath
{
    Duration restAfterFailure = std::chrono::seconds(1); ///< Of the direct way.
    /// Failures without a success for so long make a loss; single parts of the store may be away.
    Duration lossLimit = std::chrono::milliseconds(300);
    Time directRestsUntil{};
    std::optional<Time> failingSince; ///< Of the direct way, without a success.
    bool lost = false;
};

/// \return the way of the next call.
StoreRoute chooseStoreRoute(const StorePath &path, Time now);

/// Notes how a call of this node's own went.
/// \return whether the direct way is lost or regained by it.
bool noteDirectCall(StorePath &path, bool served, Time now);

/// Notes how a relayed call went: when relays fail too, the store itself is away, and its return
/// is seen first on the direct way.
void noteRelayedCall(StorePath &path, bool served, Time now);

} // namespace geraniumpulley::core
