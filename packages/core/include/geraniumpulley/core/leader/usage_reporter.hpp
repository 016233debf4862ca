#pragma once

#include <geraniumpulley/core/fleet/leadership.hpp>
#include <geraniumpulley/core/leader/usage_window.hpp>
#include <geraniumpulley/core/store_outcome.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// Reports of the use of client accounts, sent by the leader.
///
/// The store decides the counts of a report before it is sent, so that whoever sends it again sends
/// the same ones.
namespace geraniumpulley::core {

struct UsageReporterSettings
{
    Duration window = std::chrono::seconds(5);
    Duration dueAfter = std::chrono::seconds(10); ///< From the end of a window.
    /// The time from the end of a window until its report is decided: late answers of requests that
    /// began in the window are counted by then, and half of the time is left for sending.
    Duration decideDelay = std::chrono::milliseconds(3500);
    Duration minRetryDelay = std::chrono::milliseconds(200);
    Duration maxRetryDelay = std::chrono::milliseconds(1000);
    /// The time between two removals of old rows, and the age of the rows that are removed.
    Duration sweepPeriod = std::chrono::seconds(20);
    Duration rowRetention = std::chrono::seconds(60);
};

enum class ReportPhase {
    FindingReport, ///< Reads whether the report is decided.
    Counting, ///< Reads the counts of all nodes.
    Deciding, ///< Writes the report on condition that there is none.
    Sending,
};

struct PendingReport
{
    ReportPhase phase = ReportPhase::FindingReport;
    bool inFlight = false; ///< The action of the phase has no outcome yet.
    Time retryAt{};
    std::uint32_t failures = 0;
    UsageCounts counts;
};

struct UsageReporter
{
    UsageReporterSettings settings;
    std::map<UsageWindow, PendingReport> reports;
    UsageWindow nextWindow{}; ///< The first window that this turn has not taken up.
    Time nextSweepAt{};
};

// Actions

struct FindUsageReport
{
    UsageWindow window{};
};
struct ReadUsageCounts
{
    UsageWindow window{};
};
struct DecideUsageReport
{
    UsageWindow window{};
    UsageCounts counts;
};
struct SendUsageReport
{
    UsageWindow window{};
    UsageCounts counts;
    LeadershipProof proof;
};
/// Removes the rows of the windows before `before`.
struct RemoveUsageRows
{
    UsageWindow before{};
};
/// A report was given up because its due time has passed; for the log.
struct UsageReportMissed
{
    UsageWindow window{};
    ReportPhase phase = ReportPhase::FindingReport;
};

using UsageAction = std::variant<FindUsageReport, ReadUsageCounts, DecideUsageReport,
                                 SendUsageReport, RemoveUsageRows, UsageReportMissed>;

/// How the provider of the platform answered a call of the leader.
enum class ProviderReply {
    Accepted,
    Conflict, ///< A higher fencing token was seen, or the order cannot be carried out now.
    Throttled, ///< Nothing was done; the call is to be repeated later.
    Unanswered, ///< The call may be carried out later.
};

/// Starts and continues the reports that are due. Called while this node may act as the leader.
std::vector<UsageAction> advanceReports(UsageReporter &reporter, const LeadershipProof &proof,
                                        Time now, WallTime wallNow);

/// Forgets all reports, since another node may go on with them.
void abandonReports(UsageReporter &reporter);

/// \param counts the decided counts; unset if the report is not decided yet.
void onReportFound(UsageReporter &reporter, UsageWindow window, bool succeeded,
                   std::optional<UsageCounts> counts, Time now);
void onCountsRead(UsageReporter &reporter, UsageWindow window, bool succeeded, UsageCounts counts,
                  Time now);
void onReportDecided(UsageReporter &reporter, UsageWindow window, StoreOutcome outcome, Time now);
void onReportSent(UsageReporter &reporter, UsageWindow window, ProviderReply reply, Time now);

/// \return when `advanceReports` has to be called next.
std::optional<Time> dueAt(const UsageReporter &reporter, Time now, WallTime wallNow);

} // namespace geraniumpulley::core
