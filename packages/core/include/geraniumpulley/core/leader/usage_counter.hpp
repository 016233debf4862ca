#pragma once

#include <geraniumpulley/core/leader/usage_window.hpp>

#include <map>
#include <optional>
#include <vector>

/// The requests that this node has counted for the usage reports.
namespace geraniumpulley::core {

struct UsageCounterSettings
{
    Duration window = std::chrono::seconds(5);
    /// The time from a count until it is written: the most that a node that dies loses.
    Duration writeDelay = std::chrono::milliseconds(1500);
    /// The time from the end of a window until its counts are written, and after that the time from
    /// a late count until it is written.
    Duration closeDelay = std::chrono::milliseconds(200);
    Duration retryDelay = std::chrono::milliseconds(400); ///< After a failed write.
    /// The time from the end of a window until its counts are dropped; no report needs them then.
    Duration retention = std::chrono::seconds(30);
};

/// The counts of one window.
struct CountedWindow
{
    UsageCounts counts;
    bool writeInFlight = false;
    std::optional<Time> writeAt; ///< When the next write is due; unset if all is stored.
};

struct UsageCounter
{
    UsageCounterSettings settings;
    std::map<UsageWindow, CountedWindow> windows;
};

/// Replaces this node's row of counts of a window.
struct StoreUsageCounts
{
    UsageWindow window{};
    UsageCounts counts;
};

/// Counts a request that began at `begunAt`.
void recordUsage(UsageCounter &counter, const AccountName &account, WallTime begunAt, Time now,
                 WallTime wallNow);

/// \return the writes that are due; each is in flight until `recordUsageWrite`. Drops windows that
/// no report needs any more.
std::vector<StoreUsageCounts> dueUsageWrites(UsageCounter &counter, Time now, WallTime wallNow);

void recordUsageWrite(UsageCounter &counter, UsageWindow window, bool succeeded, Time now);

std::optional<Time> dueAt(const UsageCounter &counter);

} // namespace geraniumpulley::core
