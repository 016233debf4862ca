#include <geraniumpulley/core/fleet/store_clock.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};

} // namespace

TEST_CASE("the offset of the store's clock is unknown before the first answer")
{
    StoreClock clock;
    CHECK_FALSE(offsetOf(clock).has_value());
    recordStoreTime(clock, 150s, start);
    CHECK(*offsetOf(clock) == 50s);
}

// Guards against submissions that a node accepts as it wakes from a freeze and dates back by it, so
// that their items are given up early.
TEST_CASE("an answer that waited while the process was frozen does not change the store's clock")
{
    for (const Duration frozenFor : {Duration(4s), Duration(60s)}) {
        CAPTURE(frozenFor.count());
        StoreClock clock;
        for (Time now = start; now < start + 12s; now += 400ms)
            recordStoreTime(clock, now.time_since_epoch() + 50s, now);
        const Time sentAt = start + 12s;
        recordStoreTime(clock, sentAt.time_since_epoch() + 50s, sentAt + frozenFor);
        CHECK(*offsetOf(clock) == 50s);
    }
}

TEST_CASE("a suspension that this process's clock did not count shows in the next answer")
{
    StoreClock clock;
    recordStoreTime(clock, 150s, start);
    recordStoreTime(clock, 155s, start + 1s);
    CHECK(*offsetOf(clock) == 54s);
}

TEST_CASE("the offset follows clocks that drift apart")
{
    StoreClock clock;
    recordStoreTime(clock, 150s, start);
    for (Time now = start; now < start + 30s; now += 1s)
        recordStoreTime(clock, now.time_since_epoch() + 49s, now);
    CHECK(*offsetOf(clock) == 49s);
}
