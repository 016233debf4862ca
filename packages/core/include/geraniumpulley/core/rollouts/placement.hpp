#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/engines/engine_report.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>

/// Selection of the engine or scorer for the next sample, and fair sharing between steps.
namespace geraniumpulley::core {

/// What this node knows about the load and health of one engine or scorer.
struct EngineLoad
{
    std::uint32_t inFlight = 0; ///< Requests that this node has in flight at the target.
    std::uint32_t consecutiveFailures = 0; ///< Failed requests since the last success.
    Time retryAt{}; ///< The target gets no request before this time.
};

using EngineLoads = std::map<TargetId, EngineLoad>;

/// Number of requests by which the engine whose prefix cache holds a group's prompt may be busier
/// than the least loaded engine and still be chosen.
inline constexpr std::uint32_t prefixAffinityMargin = 2;

/// The requirements on the target of one sample.
struct PlacementQuery
{
    ServiceName service;
    TargetId preferred; ///< Target whose prefix cache probably holds the prompt.
    WeightVersion minVersion{}; ///< Tokens of an older version would be stale at delivery.
};

/// Records a failed request and delays the next one; the delay doubles with each consecutive
/// failure.
void recordFailure(EngineLoad &load, Time now);

/// Chooses the least loaded target that is not leaving, not in backoff, not swapping weights, not
/// older than `minVersion`, and not full. `preferred` is chosen as long as its load exceeds the
/// lowest load by at most `prefixAffinityMargin`.
/// \return the target, or null when no target qualifies. Complexity: O(n log m) for n targets and m
/// known loads.
const Target *chooseTarget(const PlacementQuery &query, const Configuration &configuration,
                           const View &view, const EngineReports *reports, const EngineLoads &loads,
                           Time now);

/// \return the ratio of a step's requests in flight to its entitlement, which is the trainer's
/// weight times the samples per second that the step needs to complete on time. The step with the
/// lowest ratio is served first.
double fairShareRatio(std::uint32_t inFlight, std::uint32_t weight, std::uint64_t unfinished,
                      Duration timeLeft);

} // namespace geraniumpulley::core
