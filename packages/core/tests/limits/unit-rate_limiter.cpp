#include <geraniumpulley/core/limits/rate_limiter.hpp>

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};
const TargetId target{"t"};

Presence makeNodes(std::size_t nodeCount)
{
    Presence presence = makePresence({"n0"}, {}, start);
    for (std::size_t i = 0; i < nodeCount; ++i) {
        NodeHeartbeat heartbeat;
        heartbeat.node.id = {"n" + std::to_string(i)};
        heartbeat.node.incarnation = 1;
        recordHeartbeat(presence, heartbeat, start);
    }
    return presence;
}

// Returns a limiter whose target has just used all permits that were saved up.
RateLimiter makeSpentLimiter(double perSecond)
{
    RateLimiter limiter;
    limiter.settings.horizon = {};
    grantPermits(limiter, {target, "other", {perSecond}, 1000, 0ms}, start);
    limiter.settings.horizon = RateLimiterSettings{}.horizon;
    limiter.schedules[target].nextPermitAt = start;
    return limiter;
}

} // namespace

TEST_CASE("permits that were not used are saved up for a burst, but no more than that")
{
    RateLimiter limiter = makeSpentLimiter(2);
    const PermitGrant first = grantPermits(limiter, {target, "a", {2}, 64, 0ms}, start + 60s);
    CHECK(first.count == 4);
    CHECK(first.firstDelay == -1500ms);
    CHECK(grantPermits(limiter, {target, "a", {2}, 64, 0ms}, start + 60s).count == 0);
}

TEST_CASE("permits are one interval of the limit apart, and as many as the horizon holds")
{
    RateLimiter limiter = makeSpentLimiter(20);
    const PermitGrant first = grantPermits(limiter, {target, "a", {20}, 3, 1s}, start);
    CHECK(first.count == 3);
    CHECK(first.firstDelay == 0ms);
    CHECK(first.interval == 50ms);
    const PermitGrant second = grantPermits(limiter, {target, "b", {20}, 9, 1s}, start);
    CHECK(second.count == 2);
    CHECK(second.firstDelay == 150ms);
    CHECK(second.expectedDelay == 250ms);
    CHECK(second.retryDelay == 100ms);
}

TEST_CASE("requesters that want more than there is get equal shares, however often they ask")
{
    RateLimiter limiter;
    std::map<std::string, std::uint32_t> granted;
    std::map<std::string, Time> asksAt{{"patient", start}};
    for (Time now = start; now < start + 20s; now += 10ms) {
        granted["greedy"] += grantPermits(limiter, {target, "greedy", {5}, 64, 10s}, now).count;
        if (now < asksAt["patient"])
            continue;
        const PermitGrant grant = grantPermits(limiter, {target, "patient", {5}, 64, 10s}, now);
        granted["patient"] += grant.count;
        asksAt["patient"] = now + grant.retryDelay;
    }
    CHECK(granted["patient"] >= 40);
    // 5 a second for 20 s and the horizon of 0.2 s, and the 3 that were saved up.
    CHECK(granted["greedy"] + granted["patient"] <= 105);
}

TEST_CASE("a raised limit takes effect at once")
{
    RateLimiter limiter;
    grantPermits(limiter, {target, "a", {0.1}, 1, 1s}, start);
    const PermitGrant grant = grantPermits(limiter, {target, "a", {100}, 1, 1s}, start);
    CHECK(grant.expectedDelay <= 300ms);
}

TEST_CASE("nodes agree on the limiter of a target, and its deputy is another node")
{
    const Presence presence = makeNodes(5);
    Presence other = presence;
    other.self = {"n3"};
    std::set<NodeId> limiters;
    for (int i = 0; i < 50; ++i) {
        const TargetId id{"t" + std::to_string(i)};
        const auto limiter = limiterOf(presence, id, 0, start);
        REQUIRE(limiter.has_value());
        CHECK(limiter->id == limiterOf(other, id, 0, start)->id);
        CHECK(limiter->id != limiterOf(presence, id, 1, start)->id);
        limiters.insert(limiter->id);
    }
    CHECK(limiters.size() == 5);
}

// Without heartbeats each node would otherwise take itself for the only one and limit alone.
TEST_CASE("while the store is unavailable nodes keep the limiters that they know")
{
    const Presence presence = makeNodes(5);
    const auto before = limiterOf(presence, target, 0, start);
    CHECK(limiterOf(presence, target, 0, start + 20s)->id == before->id);
}

TEST_CASE("no permit is kept for a requester that does not wait for it")
{
    RateLimiter limiter = makeSpentLimiter(2);
    CHECK(grantPermits(limiter, {target, "a", {2}, 1, 1s}, start).count == 1);
    const PermitGrant refused = grantPermits(limiter, {target, "b", {2}, 1, 150ms}, start);
    CHECK(refused.count == 0);
    CHECK(refused.expectedDelay == 500ms);
    CHECK(grantPermits(limiter, {target, "c", {2}, 1, 150ms}, start + 400ms).count == 1);
}
