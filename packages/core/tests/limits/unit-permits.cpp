#include <geraniumpulley/core/limits/permits.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};
const TargetId target{"t"};

Permits makeLimited(double perSecond)
{
    Permits permits;
    recordRateLimit(permits, target, RequestRate{perSecond});
    return permits;
}

} // namespace

TEST_CASE("a target that states no limit needs no permit, also after its limit has ended")
{
    Permits permits;
    CHECK(hasPermit(permits, target, start));
    CHECK(recordRateLimit(permits, target, RequestRate{5}));
    CHECK_FALSE(recordRateLimit(permits, target, RequestRate{5}));
    CHECK(recordRateLimit(permits, target, RequestRate{6}));
    CHECK_FALSE(hasPermit(permits, target, start));
    CHECK(recordRateLimit(permits, target, std::nullopt));
    CHECK(hasPermit(permits, target, start));
}

TEST_CASE("a permit is usable once, from its time on and until it lapses")
{
    Permits permits = makeLimited(10);
    recordGrant(permits, {target, PermitGrant{2, 50ms, 100ms}}, start);
    CHECK_FALSE(hasPermit(permits, target, start + 49ms));
    CHECK(hasPermit(permits, target, start + 50ms));
    usePermit(permits, target, start + 50ms);
    CHECK_FALSE(hasPermit(permits, target, start + 149ms));
    CHECK(hasPermit(permits, target, start + 150ms));
    CHECK_FALSE(hasPermit(permits, target, start + 2s));
}

TEST_CASE("as many permits are requested as requests wait, one request at a time")
{
    Permits permits = makeLimited(10);
    CHECK(duePermitRequests(permits, start).empty());
    CHECK_FALSE(awaitPermit(permits, target, start + 2s, start).has_value());
    CHECK_FALSE(awaitPermit(permits, target, start + 2s, start).has_value());
    const auto requests = duePermitRequests(permits, start);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].count == 2);
    CHECK(requests[0].limiterRank == 0);
    wantPermit(permits, target, start);
    CHECK(duePermitRequests(permits, start).empty());

    recordGrant(permits, {target, PermitGrant{1, 20ms, 100ms, 60ms, 120ms}}, start);
    clearAwaiting(permits);
    CHECK(awaitPermit(permits, target, start + 2s, start) == start + 20ms);
    CHECK(awaitPermit(permits, target, start + 2s, start) == start + 120ms);
    CHECK(duePermitRequests(permits, start).empty());
    CHECK(dueAt(permits) == start + 60ms);
    CHECK(duePermitRequests(permits, start + 60ms).size() == 1);
}

TEST_CASE("a limiter that does not reply is replaced by its deputy with a share of the limit")
{
    Permits permits = makeLimited(10);
    awaitPermit(permits, target, start + 2s, start);
    CHECK(duePermitRequests(permits, start).size() == 1);
    recordGrant(permits, {target, std::nullopt}, start);
    awaitPermit(permits, target, start + 2s, start);
    const auto toDeputy = duePermitRequests(permits, start);
    REQUIRE(toDeputy.size() == 1);
    CHECK(toDeputy[0].limiterRank == 1);
    CHECK(toDeputy[0].limit == RequestRate{2.5});
    recordGrant(permits, {target, std::nullopt}, start);
    awaitPermit(permits, target, start + 2s, start);
    CHECK(duePermitRequests(permits, start).empty());
    const auto again = duePermitRequests(permits, start + 2s);
    REQUIRE(again.size() == 1);
    CHECK(again[0].limiterRank == 0);
}

// Permits that lapse unused would be missing at other nodes.
TEST_CASE("a request that does not wait asks for a permit only if the next one can use it")
{
    Permits permits = makeLimited(10);
    wantPermit(permits, target, start);
    wantPermit(permits, target, start + 3s);
    CHECK(duePermitRequests(permits, start + 3s).empty());
    wantPermit(permits, target, start + 3400ms);
    CHECK(duePermitRequests(permits, start + 3400ms).size() == 1);
}
