#pragma once

#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/fleet/engine_assignments.hpp>

#include <cstdint>
#include <memory>

/// Engine assignments of a directory, computed only by the nodes that need them.
namespace geraniumpulley::core {

/// The last assignments with the parts of the directory that they were computed from.
struct AssignmentCache
{
    std::shared_ptr<const RoutingTable> routing;
    std::shared_ptr<const TargetMap> targets;
    std::shared_ptr<const WeightMap> desiredWeights;
    std::shared_ptr<const ModelWork> modelWork;
    EngineAssignments assignments;
    std::uint64_t revision = 0; ///< Rises each time that the assignments are computed.
};

/// \return the assignments of all engines in the directory; empty until its tables are known.
/// Complexity: O(n log n) in engines times models after a change of the directory's parts,
/// otherwise constant.
const EngineAssignments &assignmentsFor(AssignmentCache &cache, const Directory &directory);

} // namespace geraniumpulley::core
