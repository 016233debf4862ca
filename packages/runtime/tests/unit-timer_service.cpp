#include <geraniumpulley/runtime/clock.hpp>
#include <geraniumpulley/runtime/latch.hpp>
#include <geraniumpulley/runtime/timer_service.hpp>

#include <doctest/doctest.h>

#include <atomic>

using namespace geraniumpulley;
using namespace std::chrono_literals;

TEST_CASE("an alarm goes off once, not before its time")
{
    runtime::TimerService timer(1);
    runtime::Latch rang;
    std::atomic<int> count = 0;
    const std::size_t alarm = timer.addAlarm([&] {
        ++count;
        rang.set();
    });
    const core::Time due = runtime::now() + 20ms;
    timer.arm(alarm, due);
    REQUIRE(rang.waitFor(10s));
    CHECK(runtime::now() >= due);
    timer.stop();
    CHECK(count == 1);
}

TEST_CASE("an alarm that is armed for an earlier time goes off then")
{
    runtime::TimerService timer(1);
    runtime::Latch rang;
    const std::size_t alarm = timer.addAlarm([&] { rang.set(); });
    timer.arm(alarm, runtime::now() + 1h);
    timer.arm(alarm, runtime::now() + 1ms);
    CHECK(rang.waitFor(10s));
}

TEST_CASE("alarms and periods go beside each other")
{
    runtime::TimerService timer(1);
    runtime::Latch period;
    runtime::Latch rang;
    timer.subscribe(5ms, [&] { period.set(); });
    timer.arm(timer.addAlarm([&] { rang.set(); }), runtime::now() + 10ms);
    CHECK(period.waitFor(10s));
    CHECK(rang.waitFor(10s));
}
