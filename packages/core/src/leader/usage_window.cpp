#include <geraniumpulley/core/leader/usage_window.hpp>

#include <algorithm>

namespace geraniumpulley::core {

UsageWindow windowAt(WallTime time, Duration length)
{
    const Duration sinceEpoch = std::max(time.time_since_epoch(), Duration{});
    return static_cast<UsageWindow>(sinceEpoch / length);
}

WallTime endOf(UsageWindow window, Duration length)
{
    return WallTime(length * static_cast<std::int64_t>(number(window) + 1));
}

void addCounts(UsageCounts &sum, const UsageCounts &counts)
{
    for (const auto &[account, count] : counts)
        sum[account] += count;
}

} // namespace geraniumpulley::core
