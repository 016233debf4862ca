#include <geraniumpulley/runtime/clock.hpp>
#include <geraniumpulley/runtime/latch.hpp>
#include <geraniumpulley/runtime/timer_service.hpp>

#include <doctest/doctest.h>

#include <atomic>

using namespace geraniumpulley;
using namespace std::chrono_literals;

TEST_CASE("an alarm fires once and not before its due time")
{
    runtime::TimerService timer(1);
    runtime::Latch alarmFired;
    std::atomic<int> callCount = 0;
    const std::size_t alarm = timer.addAlarm([&] {
        ++callCount;
        alarmFired.set();
    });
    const core::Time dueAt = runtime::now() + 20ms;
    timer.arm(alarm, dueAt);
    REQUIRE(alarmFired.waitFor(10s));
    CHECK(runtime::now() >= dueAt);
    timer.stop();
    CHECK(callCount == 1);
}

TEST_CASE("an alarm re-armed for an earlier time fires at that time")
{
    runtime::TimerService timer(1);
    runtime::Latch alarmFired;
    const std::size_t alarm = timer.addAlarm([&] { alarmFired.set(); });
    timer.arm(alarm, runtime::now() + 1h);
    timer.arm(alarm, runtime::now() + 1ms);
    CHECK(alarmFired.waitFor(10s));
}

TEST_CASE("alarms and periodic callbacks run side by side")
{
    runtime::TimerService timer(1);
    runtime::Latch periodElapsed;
    runtime::Latch alarmFired;
    timer.subscribe(5ms, [&] { periodElapsed.set(); });
    timer.arm(timer.addAlarm([&] { alarmFired.set(); }), runtime::now() + 10ms);
    CHECK(periodElapsed.waitFor(10s));
    CHECK(alarmFired.waitFor(10s));
}
