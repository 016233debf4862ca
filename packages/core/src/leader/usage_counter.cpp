#include <geraniumpulley/core/leader/usage_counter.hpp>

#include <algorithm>

namespace geraniumpulley::core {

void recordUsage(UsageCounter &counter, const AccountName &account, WallTime begunAt, Time now,
                 WallTime wallNow)
{
    const UsageCounterSettings &settings = counter.settings;
    const UsageWindow window = windowAt(begunAt, settings.window);
    CountedWindow &counted = counter.windows[window];
    ++counted.counts[account];
    const Duration untilEnd = std::max(endOf(window, settings.window) - wallNow, Duration{});
    const Time writeAt = now + std::min(settings.writeDelay, untilEnd + settings.closeDelay);
    counted.writeAt = std::min(counted.writeAt.value_or(writeAt), writeAt);
}

std::vector<StoreUsageCounts> dueUsageWrites(UsageCounter &counter, Time now, WallTime wallNow)
{
    std::erase_if(counter.windows, [&](const auto &entry) {
        return endOf(entry.first, counter.settings.window) + counter.settings.retention < wallNow;
    });
    std::vector<StoreUsageCounts> writes;
    for (auto &[window, counted] : counter.windows) {
        if (counted.writeInFlight || !counted.writeAt || *counted.writeAt > now)
            continue;
        counted.writeInFlight = true;
        counted.writeAt.reset();
        writes.push_back({window, counted.counts});
    }
    return writes;
}

void recordUsageWrite(UsageCounter &counter, UsageWindow window, bool succeeded, Time now)
{
    const auto position = counter.windows.find(window);
    if (position == counter.windows.end())
        return;
    CountedWindow &counted = position->second;
    counted.writeInFlight = false;
    if (!succeeded)
        counted.writeAt = now + counter.settings.retryDelay;
}

std::optional<Time> dueAt(const UsageCounter &counter)
{
    std::optional<Time> due;
    for (const auto &[window, counted] : counter.windows) {
        if (counted.writeAt && !counted.writeInFlight)
            due = std::min(due.value_or(*counted.writeAt), *counted.writeAt);
    }
    return due;
}

} // namespace geraniumpulley::core
