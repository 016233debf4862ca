#pragma once

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Targets as their rows in the table service describe them.
namespace geraniumpulley::core {

using WeightMap = std::map<std::string, WeightVersion>; ///< Weight versions by model.

/// A target and the state that it reports with its heartbeats; the state can be out of date by one
/// heartbeat period.
struct FleetTarget
{
    Target target;
    SoftwareVersion software; ///< Empty if the target states none.
    /// The number of requests that the target processes concurrently.
    std::uint32_t slots = 1;
    WeightMap weights;
    /// The number of weight orders that the target has accepted since it started.
    std::uint64_t acceptedOrders = 0;
    /// The start time that the target reports; it distinguishes starts under the same id.
    std::uint64_t startedAt = 0;
    bool isReclaimable = false; ///< Whether the provider may take the target back.

    bool operator==(const FleetTarget &) const = default;
};

using TargetMap = std::map<TargetId, FleetTarget>;

/// \return the targets of a service that accept new work. Complexity: linear in targets.
std::vector<const FleetTarget *> servingTargets(const TargetMap &targets,
                                                const ServiceName &service);

/// \return the weight version of a model, or 0 if the map has none.
WeightVersion versionOf(const WeightMap &weights, const std::string &model);

} // namespace geraniumpulley::core
