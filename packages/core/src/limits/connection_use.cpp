#include <geraniumpulley/core/limits/connection_use.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

// The rate of a slow mobile link.
constexpr double slowBytesPerSecond = 4096;

} // namespace

// Counting progress as time lets a large body on a slow link stay, while a client that sends a byte
// now and then is as stalled as one that sends nothing.
Duration stalledTime(const ConnectionUse &use, Time now)
{
    const std::chrono::duration<double> usualTime(static_cast<double>(use.receivedBytes)
                                                  / slowBytesPerSecond);
    return std::max(Duration{},
                    now - use.waitingSince - std::chrono::duration_cast<Duration>(usualTime));
}

// Neither size nor age alone would do: many small and old requests would push out one ordinary new
// request that is larger, and few large ones an ordinary one that is a little older.
double heldByteSeconds(const ConnectionUse &use, Time now)
{
    // What is held counts from its first moment.
    constexpr Duration leastAge = std::chrono::milliseconds(1);
    const std::chrono::duration<double> age = std::max(now - use.waitingSince, leastAge);
    return static_cast<double>(use.heldBytes) * age.count();
}

} // namespace geraniumpulley::core
