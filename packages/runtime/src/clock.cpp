#include <geraniumpulley/runtime/clock.hpp>

#include <ctime>

namespace geraniumpulley::runtime {

core::Time now()
{
    return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

core::WallTime wallNow()
{
    return std::chrono::time_point_cast<core::Duration>(std::chrono::system_clock::now());
}

core::Duration suspendedTime()
{
    const auto readClock = [](clockid_t clock) {
        timespec time{};
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    };
    const auto monotonic = readClock(CLOCK_MONOTONIC);
    return std::chrono::duration_cast<core::Duration>(readClock(CLOCK_BOOTTIME) - monotonic);
}

} // namespace geraniumpulley::runtime
