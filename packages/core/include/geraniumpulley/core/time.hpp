#pragma once

#include <chrono>

/// Time types of all signatures of the core. The core never reads a clock: callers pass `now`.
namespace geraniumpulley::core {

/// A time span in microseconds.
using Duration = std::chrono::microseconds;

/// A point in time on the monotonic clock of this process. Never sent to another process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in time on the wall clock (UTC). Used only for audit rows and for the age of idempotency
/// keys.
using WallTime = std::chrono::sys_time<Duration>;

} // namespace geraniumpulley::core
