#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/calls/crash_log.hpp>
#include <geraniumpulley/core/fleet/engine_assignments.hpp>
#include <geraniumpulley/core/fleet/fleet_target.hpp>
#include <geraniumpulley/core/fleet/leadership.hpp>
#include <geraniumpulley/core/fleet/presence.hpp>
#include <geraniumpulley/core/fleet/routing_table.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The contents of the store's tables: routes, targets, weights and batches.
namespace geraniumpulley::core {

/// An immutable snapshot of the tables that the duties of one process share. A part that has not
/// changed is the same object in the next snapshot.
struct Directory
{
    /// The newest routing table; null until one has been read.
    std::shared_ptr<const RoutingTable> routing;
    /// When the routing table was last read from the store.
    std::optional<Time> routingReadAt;
    std::shared_ptr<const TargetMap> targets;
    /// When the targets were last read from the store.
    std::optional<Time> targetsReadAt;
    /// Whether the targets are known, from the store or from a peer; if not, `targets` is empty.
    bool targetsKnown = false;
    std::shared_ptr<const WeightMap> desiredWeights;
    /// For each model the highest minimum version that its batches require; set together with
    /// `targets`.
    std::shared_ptr<const WeightMap> minWeights;
    /// The mean work of the batches of each model; set together with `targets`.
    std::shared_ptr<const ModelWork> modelWork;
    /// All batches; null until the table of batches has been read.
    std::shared_ptr<const BatchMap> batches;
    /// The requests that were running when targets crashed; null until they have been read.
    std::shared_ptr<const CrashLog> crashes;
    Presence presence;
    bool reachesTargets = true; ///< Whether this node can open connections to targets.
    /// Until this time no other node can have taken over the batches that this node owns, so this
    /// node can answer from its own state of them.
    Time ownershipValidUntil{};
    Leadership leadership;
    /// The store's clock minus this node's clock; empty until the store has answered.
    std::optional<Duration> storeClockOffset;
};

using DirectoryPointer = std::shared_ptr<const Directory>;

/// \return whether this node reaches no target although other nodes do. If none does, the targets
/// are down.
inline bool isCutOff(const Directory &directory, Time now)
{
    return !directory.reachesTargets && !peersThatReachTargets(directory.presence, now).empty();
}

} // namespace geraniumpulley::core
