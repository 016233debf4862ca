#pragma once

#include <geraniumpulley/core/time.hpp>

namespace geraniumpulley::runtime {

/// \return the monotonic time of this process.
core::Time now();

/// \return the wall-clock time (UTC).
core::WallTime wallNow();

/// \return how long this machine has been suspended since its start: the time that the boot clock
/// counts and the monotonic one does not.
core::Duration timeSuspended();

} // namespace geraniumpulley::runtime
