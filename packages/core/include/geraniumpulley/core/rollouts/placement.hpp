#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/engines/engine_report.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>

/// Where the next sample of a step is made or scored.
namespace geraniumpulley::core {

struct EngineLoad
{
    std::uint32_t inFlight = 0; ///< Requests of this node.
    std::uint32_t failures = 0; ///< In a row.
    Time retryAt{}; ///< Gets nothing before.
};

using EngineLoads = std::map<TargetId, EngineLoad>;

/// Requests by which the engine that holds a group's prompt may be ahead of the least loaded one.
inline constexpr std::uint32_t prefixLocalitySlack = 2;

struct PlacementQuery
{
    ServiceName service;
    TargetId preferred; ///< Holds the prompt in its prefix cache, as far as is known.
    WeightVersion leastVersion{}; ///< Tokens of an older one would be stale at hand-over.
};

/// Counts a failed request; the target rests twice as long after each one in a row.
void noteFailure(EngineLoad &load, Time now);

/// Picks the least loaded target that is not leaving, resting, swapping or too old, and that has
/// room beside the load of others; `preferred` wins while it is not much more loaded.
/// \return null when there is none. Complexity: linear in targets, times a logarithm.
const Target *chooseTarget(const PlacementQuery &query, const Configuration &configuration,
                           const View &view, const EngineReports *reports, const EngineLoads &loads,
                           Time now);

/// \return how far a step is behind its fair share: requests in flight relative to its trainer's
/// weight and to the samples a second that it needs to be whole when it is due. The least goes
/// first.
double shareOf(std::uint32_t inFlight, std::uint32_t weight, std::uint64_t unfinished,
               Duration timeLeft);

} // namespace geraniumpulley::core
