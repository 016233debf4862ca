#pragma once

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Targets as their own rows describe them.
namespace geraniumpulley::core {

using WeightMap = std::map<std::string, WeightVersion>; ///< By model.

/// A target with what it tells of itself; late by its heartbeat's period.
struct FleetTarget
{
    Target target;
    std::uint32_t slots = 1; ///< Requests that it works on at once.
    WeightMap weights;
    std::uint64_t orders = 0; ///< Accepted since its start.
    std::uint64_t startedAt = 0; ///< Tells its starts under one id apart.

    bool operator==(const FleetTarget &) const = default;
};

using TargetMap = std::map<TargetId, FleetTarget>;

/// \return the targets of a service that take new work. Complexity: linear in targets.
std::vector<const FleetTarget *> servingTargets(const TargetMap &targets,
                                                const ServiceName &service);

/// \return the version of a model, or 0 when it is not known.
WeightVersion versionOf(const WeightMap &weights, const std::string &model);

} // namespace geraniumpulley::core
