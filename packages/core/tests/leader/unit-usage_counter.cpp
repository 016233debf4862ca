#include <geraniumpulley/core/leader/usage_counter.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};
const WallTime wallStart{1'000'000s}; // The start of a window.

struct CounterFixture
{
    UsageCounter counter;
    Time now = start;

    WallTime wallNow() const { return wallStart + (this->now - start); }
    void record(const std::string &account, Duration age = {})
    {
        recordUsage(this->counter, {account}, this->wallNow() - age, this->now, this->wallNow());
    }
    std::vector<StoreUsageCounts> due()
    {
        return dueUsageWrites(this->counter, this->now, this->wallNow());
    }
};

const UsageWindow firstWindow = windowAt(wallStart, 5s);

} // namespace

TEST_CASE("requests are counted in the window in which they began")
{
    CounterFixture fixture;
    fixture.record("a");
    fixture.record("a", 1ms);
    fixture.now += 6s;
    const auto writes = fixture.due();
    REQUIRE(writes.size() == 2);
    CHECK(writes[0].counts == UsageCounts{{{"a"}, 1}});
    CHECK(writes[1].window == firstWindow);
    CHECK(endOf(firstWindow, 5s) == wallStart + 5s);
}

// Guards against a node that loses many counts when it dies, and one that writes for each request.
TEST_CASE("counts are written together, a while after the first one and when the window has ended")
{
    CounterFixture fixture;
    fixture.record("a");
    fixture.now += 1s;
    fixture.record("b");
    CHECK(fixture.due().empty());
    CHECK(dueAt(fixture.counter) == start + 1500ms);
    fixture.now = start + 1500ms;
    const auto writes = fixture.due();
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].counts == UsageCounts{{{"a"}, 1}, {{"b"}, 1}});
    CHECK(fixture.due().empty());
    recordUsageWrite(fixture.counter, firstWindow, true, fixture.now);
    CHECK_FALSE(dueAt(fixture.counter).has_value());

    fixture.now = start + 4500ms;
    fixture.record("a");
    CHECK(dueAt(fixture.counter) == start + 5200ms);
    // A request that began in the window and is answered after its end.
    fixture.now = start + 5300ms;
    REQUIRE(fixture.due().size() == 1);
    recordUsageWrite(fixture.counter, firstWindow, true, fixture.now);
    fixture.record("a", 400ms);
    CHECK(dueAt(fixture.counter) == fixture.now + 200ms);
}

TEST_CASE("a write that fails is repeated with all counts, and old windows are dropped")
{
    CounterFixture fixture;
    fixture.record("a");
    fixture.now += 2s;
    REQUIRE(fixture.due().size() == 1);
    fixture.record("a");
    recordUsageWrite(fixture.counter, firstWindow, false, fixture.now);
    fixture.now += 2s;
    const auto writes = fixture.due();
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].counts == UsageCounts{{{"a"}, 2}});
    recordUsageWrite(fixture.counter, firstWindow, false, fixture.now);
    fixture.now += 40s;
    CHECK(fixture.due().empty());
    CHECK(fixture.counter.windows.empty());
}
