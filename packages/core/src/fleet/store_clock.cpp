#include <geraniumpulley/core/fleet/store_clock.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

// Older answers are forgotten, so that the estimate follows clocks that drift apart.
constexpr Duration period = std::chrono::seconds(10);

} // namespace

void recordStoreTime(StoreClock &clock, Duration storeTime, Time now)
{
    const Duration offset = storeTime - now.time_since_epoch();
    if (now >= clock.periodEndsAt) {
        clock.formerLargest = clock.largest;
        clock.largest.reset();
        clock.periodEndsAt = now + period;
    }
    clock.largest = std::max(clock.largest.value_or(offset), offset);
}

std::optional<Duration> offsetOf(const StoreClock &clock)
{
    if (!clock.largest)
        return std::nullopt;
    return std::max(*clock.largest, clock.formerLargest.value_or(*clock.largest));
}

} // namespace geraniumpulley::core
