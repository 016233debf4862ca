#include <geraniumpulley/core/entry/stream_origins.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};
constexpr std::size_t nodeCount = 10;

} // namespace

TEST_CASE("origins are written in groups, one write at a time, and again until the store has them")
{
    StreamOrigins streams;
    recordStreamOrigin(streams, {"a", {"v1"}}, start);
    const auto first = dueOriginWrite(streams, nodeCount, start);
    REQUIRE(first.has_value());
    CHECK(first->origins == std::vector<StreamOrigin>{{"a", {"v1"}}});
    recordStreamOrigin(streams, {"b", {"v2"}}, start);
    CHECK_FALSE(dueOriginWrite(streams, nodeCount, start + 1s).has_value());
    CHECK_FALSE(dueAt(streams).has_value());
    recordOriginWrite(streams, false);
    const auto second = dueOriginWrite(streams, nodeCount, start + 1s);
    REQUIRE(second.has_value());
    CHECK(second->origins.size() == 2);
    recordOriginWrite(streams, true);
    CHECK_FALSE(dueOriginWrite(streams, nodeCount, start + 2s).has_value());
    CHECK(findStreamOrigin(streams, "b") == SoftwareVersion{"v2"});
}

TEST_CASE("expired origins are removed from the store, and memory is bounded")
{
    StreamOrigins streams;
    streams.settings.maxOrigins = 100;
    Time now = start;
    std::size_t written = 0;
    std::size_t removed = 0;
    for (int i = 0; i < 1000; ++i) {
        recordStreamOrigin(streams, {"id" + std::to_string(i), {"v1"}}, now);
        CHECK(streams.origins.size() <= 100);
        if (const auto write = dueOriginWrite(streams, nodeCount, now)) {
            CHECK(write->origins.size() + write->expiredIds.size() <= 100);
            written += write->origins.size();
            removed += write->expiredIds.size();
            recordOriginWrite(streams, true);
        }
        now += 100ms;
    }
    CHECK(written - removed <= 100 + streams.settings.maxRemovals + streams.expired.size());
    now += 61s;
    while (const auto write = dueOriginWrite(streams, nodeCount, now)) {
        removed += write->expiredIds.size();
        recordOriginWrite(streams, true);
        now += 1s;
    }
    CHECK(streams.origins.empty());
    CHECK(written - removed < streams.settings.maxRemovals);
}

TEST_CASE("memory is bounded while the store does not answer")
{
    StreamOrigins streams;
    streams.settings.maxOrigins = 100;
    for (int i = 0; i < 1000; ++i) {
        recordStreamOrigin(streams, {"id" + std::to_string(i), {"v1"}}, start);
        CHECK(streams.unstored.size() <= 100);
        CHECK(streams.expired.size() <= 100);
    }
}

// Guards against ids that clients choose: long ones fill the memory, and one that the store takes
// for no key keeps the other origins of the write out of it.
TEST_CASE("an id that is no key of the store is not recorded")
{
    StreamOrigins streams;
    recordStreamOrigin(streams, {std::string(16'000, 'x'), {"v1"}}, start);
    recordStreamOrigin(streams, {"not ascii \xff", {"v1"}}, start);
    CHECK(streams.origins.empty());
    CHECK_FALSE(dueOriginWrite(streams, nodeCount, start).has_value());
    recordStreamOrigin(streams, {std::string(200, 'x'), {"v1"}}, start);
    CHECK(streams.origins.size() == 1);
}
