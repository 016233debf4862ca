#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/fleet/engine_shares.hpp>
#include <geraniumpulley/core/fleet/fleet_target.hpp>
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

/// What the store's tables say of routes, targets, weights and batches.
namespace geraniumpulley::core {

/// An immutable picture that the duties of one process share.
struct Directory
{
    std::shared_ptr<const RoutingTable> routing; ///< Null until one is known.
    std::shared_ptr<const TargetMap> targets;
    bool targetsKnown = false; ///< Their table has been read; else `targets` is empty.
    std::shared_ptr<const WeightMap> desiredWeights;
    /// That the newest batch of each model allows; never null once `targets` is not.
    std::shared_ptr<const WeightMap> leastWeights;
    std::shared_ptr<const EngineShares> shares; ///< Never null once `targets` is not.
    std::shared_ptr<const BatchMap> batches; ///< Null until the table was read.
    Presence presence;
    /// Until when this node's own memory of its batches is known to be the newest.
    Time ownershipKnownUntil{};
    /// What to add to this node's clock to get the store's; nothing until the store has answered.
    std::optional<Duration> storeClockOffset;
};

using DirectoryPointer = std::shared_ptr<const Directory>;

} // namespace geraniumpulley::core
