#include <geraniumpulley/core/planned_stop.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

TEST_CASE("the steps of a planned stop follow each other within the stop timeout")
{
    const Time start{100s};
    for (const Duration timeout : {Duration(20ms), Duration(1s), Duration(4s), Duration(7500ms),
                                   Duration(8s), Duration(60s)}) {
        CAPTURE(timeout.count());
        const StopSchedule schedule = makeStopSchedule(start, timeout);
        CHECK(start < schedule.listenerClosesAt);
        CHECK(schedule.listenerClosesAt <= schedule.answersDueAt);
        CHECK(schedule.answersDueAt < schedule.exitsAt);
        CHECK(schedule.exitsAt < start + timeout);
        // Requests that were sent before the stop may be given up in the last sixth of the timeout.
        CHECK(schedule.answersDueAt >= start + timeout * 5 / 6);
    }
}

TEST_CASE("the listener stays open until the load balancer has noticed the stop")
{
    const Time start{100s};
    CHECK(makeStopSchedule(start, 8s).listenerClosesAt > start + 3s);
}
