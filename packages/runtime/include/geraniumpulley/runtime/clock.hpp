#pragma once

#include <geraniumpulley/core/time.hpp>

namespace geraniumpulley::runtime {

/// \return the current time of the monotonic clock.
core::Time now();

/// \return the current wall-clock time (UTC).
core::WallTime wallNow();

/// \return how long this machine has been suspended since it was booted: the difference between the
/// boot clock, which advances during suspension, and the monotonic clock, which does not.
core::Duration suspendedTime();

} // namespace geraniumpulley::runtime
