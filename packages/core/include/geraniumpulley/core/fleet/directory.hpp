#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/control/view.hpp>
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

/// A target with what it tells of itself; late by its heartbeat's period.
struct FleetTarget
{
    Target target;
    std::uint32_t slots = 1; ///< Requests that it works on at once.
    std::map<std::string, WeightVersion> weights; ///< By model.
    std::uint64_t orders = 0; ///< Accepted since its start.
    std::uint64_t startedAt = 0; ///< Tells its starts under one id apart.

    bool operator==(const FleetTarget &) const = default;
};

using TargetMap = std::map<TargetId, FleetTarget>;
using WeightMap = std::map<std::string, WeightVersion>;
using BatchMap = std::map<BatchId, BatchHead>;

/// An immutable picture that the duties of one process share.
struct Directory
{
    std::shared_ptr<const RoutingTable> routing; ///< Null until one is known.
    std::shared_ptr<const TargetMap> targets;
    bool targetsKnown = false; ///< Their table has been read; else `targets` is empty.
    std::shared_ptr<const WeightMap> desiredWeights;
    std::shared_ptr<const BatchMap> batches; ///< Null until the table was read.
    Presence presence;
    /// Until when this node's own memory of its batches is known to be the newest.
    Time ownershipKnownUntil{};
    /// What to add to this node's clock to get the store's; nothing until the store has answered.
    std::optional<Duration> storeClockOffset;
};

using DirectoryPointer = std::shared_ptr<const Directory>;

/// \return the targets of a service that take new work. Complexity: linear in targets.
std::vector<const FleetTarget *> servingTargets(const TargetMap &targets,
                                                const ServiceName &service);

/// Shares the targets of a service out between its models, as evenly as it goes, so that each
/// target has to load the weights of one model only.
/// \return the model of each target. Complexity: targets times models, times a logarithm.
std::map<TargetId, std::string> assignModels(const std::vector<const FleetTarget *> &targets,
                                             const std::vector<std::string> &models);

/// \return the models that the targets of a service know, in order.
std::vector<std::string> modelsOf(const std::vector<const FleetTarget *> &targets);

} // namespace geraniumpulley::core
