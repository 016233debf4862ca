#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// What the model engines report of themselves; late by seconds and with gaps.
namespace geraniumpulley::core {

struct EngineReport
{
    TargetId target;
    WeightVersion version{};
    std::string incarnation; ///< Of the engine process.
    std::uint32_t inFlight = 0; ///< Requests of all nodes.
    bool swapping = false; ///< A weight swap is under way; it should get no new work.
    Time heardAt{}; ///< When this node heard it.
    Duration age{}; ///< How old it was then.
    std::uint64_t sequence = 0; ///< Rises with each report of one incarnation.
};

struct EngineReports
{
    std::vector<EngineReport> reports;
};

using EngineReportsPointer = std::shared_ptr<const EngineReports>;

/// \return when the engine measured a report, on this node's clock.
Time measuredAt(const EngineReport &report);

/// \return whether a report may replace another of the same engine: the sequence never goes back
/// within one incarnation, and a report of another incarnation must have been measured later.
bool isNewer(const EngineReport &report, const EngineReport &known);

/// \return the report of an engine, or null. Complexity: linear in reports.
const EngineReport *findReport(const EngineReports &reports, const TargetId &target);

} // namespace geraniumpulley::core
