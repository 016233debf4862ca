#include <geraniumpulley/core/planned_stop.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

// The load balancer checks once a second and sends no new connections after two failed checks.
constexpr Duration loadBalancerDelay = std::chrono::milliseconds(3200);
// Parts of the stop timeout that are reserved for writing the last answers and for stopping the
// threads.
constexpr int writeDivisor = 40;
constexpr int exitDivisor = 10;
constexpr Duration maxExitMargin = std::chrono::milliseconds(800);

} // namespace

StopSchedule makeStopSchedule(Time start, Duration stopTimeout)
{
    StopSchedule schedule;
    schedule.exitsAt = start + stopTimeout - std::min(maxExitMargin, stopTimeout / exitDivisor);
    schedule.answersDueAt = schedule.exitsAt - stopTimeout / writeDivisor;
    schedule.listenerClosesAt = std::min(start + loadBalancerDelay, schedule.answersDueAt);
    return schedule;
}

} // namespace geraniumpulley::core
