#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Load reports of the model engines. Reports may be seconds old and may be missing.
namespace geraniumpulley::core {

/// One load report of an engine.
struct EngineReport
{
    TargetId target;
    WeightVersion version{};
    std::string incarnation; ///< Identifies the engine process.
    std::uint32_t inFlight = 0; ///< Requests from all nodes.
    bool swapping = false; ///< A weight swap is in progress; the engine should get no new requests.
    Time receivedAt{}; ///< When this node received the report.
    Duration age{}; ///< Age of the report at `receivedAt`.
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
};

/// The latest reports known to a node.
struct EngineReports
{
    std::vector<EngineReport> reports;
};

using EngineReportsPointer = std::shared_ptr<const EngineReports>;

/// \return the time of the measurement on this node's clock.
Time measuredAt(const EngineReport &report);

/// \return whether a report supersedes another one of the same engine. Within one incarnation the
/// higher sequence number wins; between incarnations, the later measurement.
bool isNewer(const EngineReport &report, const EngineReport &known);

/// \return the report of an engine, or null when there is none. Complexity: linear in reports.
const EngineReport *findReport(const EngineReports &reports, const TargetId &target);

} // namespace geraniumpulley::core
