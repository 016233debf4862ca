#include <geraniumpulley/core/fleet/assignment_cache.hpp>

namespace geraniumpulley::core {

// The parts of a directory are immutable and shared between snapshots, so equal pointers mean equal
// contents.
const EngineAssignments &assignmentsFor(AssignmentCache &cache, const Directory &directory)
{
    const bool isCurrent = cache.routing == directory.routing && cache.targets == directory.targets
                           && cache.desiredWeights == directory.desiredWeights
                           && cache.modelWork == directory.modelWork;
    if (isCurrent)
        return cache.assignments;
    const std::uint64_t revision = cache.revision + 1;
    cache = {
            directory.routing, directory.targets, directory.desiredWeights, directory.modelWork, {},
            revision};
    if (!cache.routing || !cache.targets || !cache.desiredWeights || !cache.modelWork)
        return cache.assignments;
    for (const RoutedService &service : cache.routing->services) {
        if (service.isEngine)
            cache.assignments.merge(assignEngines(servingTargets(*cache.targets, service.name),
                                                  *cache.modelWork, *cache.desiredWeights));
    }
    return cache.assignments;
}

} // namespace geraniumpulley::core
