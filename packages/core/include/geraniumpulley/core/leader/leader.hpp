#pragma once

#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/leader/target_orders.hpp>
#include <geraniumpulley/core/leader/usage_counter.hpp>
#include <geraniumpulley/core/leader/usage_reporter.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Decisions of the leader duty: it counts the use of client accounts on each node, and while this
/// node is the leader, reports the use and orders targets.
namespace geraniumpulley::core {

// Events

/// A client's request has begun to run at a target.
struct UsageRecorded
{
    AccountName account;
    WallTime begunAt{};
};
struct LeaderDirectoryChanged
{
    DirectoryPointer directory;
};
/// An owner of batches has reported its demand.
struct DemandReceived
{
    DemandReport report;
};
/// A `StoreUsageCounts` has completed.
struct UsageCountsStored
{
    UsageWindow window{};
    bool succeeded = false;
};
/// A `FindUsageReport` has completed.
struct UsageReportFound
{
    UsageWindow window{};
    bool succeeded = false; ///< False if the store could not be read.
    std::optional<UsageCounts> counts; ///< Unset if the report is not decided.
};
/// A `ReadUsageCounts` has completed.
struct UsageCountsRead
{
    UsageWindow window{};
    bool succeeded = false; ///< False if the store could not be read.
    UsageCounts counts; ///< The sum over all nodes.
};
/// A `DecideUsageReport` has completed.
struct UsageReportDecided
{
    UsageWindow window{};
    StoreOutcome outcome = StoreOutcome::Unknown;
};
/// A `SendUsageReport` has completed.
struct UsageReportSent
{
    UsageWindow window{};
    FencingToken fence{};
    ProviderReply reply = ProviderReply::Unanswered;
};
/// An `OrderTargets` has completed.
struct TargetsOrdered
{
    TargetGroup group;
    ProviderReply reply = ProviderReply::Unanswered;
};
/// The machine was suspended, for a time that the monotonic clock did not count.
struct LeaderSuspended
{
};
/// This node shuts down: its counts are written at once.
struct LeaderDraining
{
};
struct LeaderTick
{
};

using LeaderEvent =
        std::variant<UsageRecorded, LeaderDirectoryChanged, DemandReceived, UsageCountsStored,
                     UsageReportFound, UsageCountsRead, UsageReportDecided, UsageReportSent,
                     TargetsOrdered, LeaderSuspended, LeaderDraining, LeaderTick>;

// Actions

/// Reports that this node begins or ends to act as the leader, for the log.
struct LeaderTurnChanged
{
    bool isActing = false;
    FencingToken fence{};
};

using LeaderAction = std::variant<StoreUsageCounts, FindUsageReport, ReadUsageCounts,
                                  DecideUsageReport, SendUsageReport, RemoveUsageRows,
                                  UsageReportMissed, OrderTargets, LeaderTurnChanged>;

struct LeaderState
{
    DirectoryPointer directory;
    UsageCounter counter;
    UsageReporter reporter;
    TargetOrders orders;
    bool isActing = false; ///< Whether this node acted as the leader after the last event.
    FencingToken actingFence{}; ///< The fencing token of the current turn.
    /// A fencing token under which this node sends nothing more, since a higher one was seen.
    std::optional<FencingToken> supersededFence;
    /// Proofs of the lease up to this time are void, since the machine was suspended.
    Time voidProofsUntil{};
    bool draining = false;
};

struct LeaderSettings
{
    Duration usageWindow = std::chrono::seconds(5);
    Duration usageDueAfter = std::chrono::seconds(10);
};

LeaderState makeLeaderState(const LeaderSettings &settings);

/// Handles one event.
/// Invariant: calls to the provider are requested only while a check of the lease proves that no
/// other node acts as the leader, and never under a superseded fencing token.
std::vector<LeaderAction> step(LeaderState &state, const LeaderEvent &event, Time now,
                               WallTime wallNow);

/// \return when the next tick is due; directly after a tick this is later than `now`.
std::optional<Time> dueAt(const LeaderState &state, Time now, WallTime wallNow);

} // namespace geraniumpulley::core
