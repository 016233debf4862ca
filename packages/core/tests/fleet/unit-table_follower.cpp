#include <geraniumpulley/core/fleet/table_follower.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

TableFollower makeFollower(Duration fullReadPeriod)
{
    TableFollower follower;
    follower.settings.readDelay = 50ms;
    follower.settings.pollTimeout = 1s;
    follower.settings.fullReadPeriod = fullReadPeriod;
    return follower;
}

bool isFullRead(const std::optional<FollowerRead> &read)
{
    return read && std::holds_alternative<ReadFullTable>(*read);
}

} // namespace

TEST_CASE("a table is first read in full, then its changes")
{
    TableFollower follower = makeFollower(2s);
    CHECK(isFullRead(nextRead(follower, start)));
    CHECK_FALSE(nextRead(follower, start).has_value());
    recordReadCompleted(follower, true, RowVersion{7}, start + 10ms);
    CHECK_FALSE(nextRead(follower, start + 20ms).has_value());
    const auto read = nextRead(follower, start + 60ms);
    REQUIRE(read.has_value());
    const auto *changes = std::get_if<ReadTableChanges>(&*read);
    REQUIRE(changes != nullptr);
    CHECK(changes->after == RowVersion{7});
    CHECK(changes->pollTimeout == 1s);
}

TEST_CASE("a feed without changes does not delay the next full read")
{
    TableFollower follower = makeFollower(2s);
    static_cast<void>(nextRead(follower, start));
    recordReadCompleted(follower, true, RowVersion{7}, start);
    Time now = start;
    while (now < start + 1900ms) {
        now += 100ms;
        if (nextRead(follower, now))
            recordReadCompleted(follower, false, RowVersion{7}, now);
    }
    CHECK(isFullRead(nextRead(follower, start + 2100ms)));
}

TEST_CASE("failed reads are followed by full reads with increasing delays")
{
    TableFollower follower = makeFollower(2s);
    static_cast<void>(nextRead(follower, start));
    recordReadCompleted(follower, true, RowVersion{7}, start);
    static_cast<void>(nextRead(follower, start + 50ms));
    recordFailure(follower, true, start + 60ms);
    CHECK(dueAt(follower) == start + 160ms);
    CHECK(isFullRead(nextRead(follower, start + 160ms)));
    recordFailure(follower, false, start + 160ms);
    CHECK(dueAt(follower) == start + 360ms);
    for (int i = 0; i < 5; ++i) {
        static_cast<void>(nextRead(follower, start + 10s));
        recordFailure(follower, false, start + 10s);
    }
    CHECK(dueAt(follower) == start + 10s + 400ms);
}

TEST_CASE("a table that is never read in full resumes from the newest version")
{
    TableFollower follower = makeFollower(Duration{});
    auto read = nextRead(follower, start);
    REQUIRE(read.has_value());
    CHECK(std::get<ReadTableChanges>(*read).after == RowVersion{});
    recordReadCompleted(follower, false, RowVersion{9}, start);
    static_cast<void>(nextRead(follower, start + 1s));
    recordFailure(follower, true, start + 1s);
    read = nextRead(follower, start + 2s);
    REQUIRE(read.has_value());
    CHECK(std::get<ReadTableChanges>(*read).after == RowVersion{});
}
