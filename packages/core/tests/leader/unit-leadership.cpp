#include <geraniumpulley/core/fleet/leadership.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};
constexpr Duration leaseDuration = 3s;

struct LeadershipFixture
{
    LeadershipState state = makeLeadership({"self"}, 2, leaseDuration);
    Time now = start;

    static WeightOrderLease makeLease(const char *holder, std::uint64_t incarnation,
                                      std::uint64_t version)
    {
        return {{holder}, incarnation, RowVersion{version}};
    }

    void record(const char *holder, std::uint64_t incarnation, std::uint64_t version)
    {
        recordLease(this->state, makeLease(holder, incarnation, version), this->now);
    }

    void check(Time sentAt, const WeightOrderLease &lease)
    {
        recordLeaseCheck(this->state, LeaseChecked{sentAt, true, lease}, this->now);
    }

    // Becomes the holder under token 1, as the first holder ever.
    void hold()
    {
        this->record("self", 2, 1);
        this->check(this->now, makeLease("self", 2, 1));
    }

    std::optional<LeadershipProof> proof() const
    {
        return proofOf(leadershipOf(this->state), this->now);
    }
};

} // namespace

TEST_CASE("the right to act follows from a check of the lease, not from its row alone")
{
    LeadershipFixture fixture;
    fixture.record("self", 2, 1);
    CHECK_FALSE(fixture.proof().has_value());
    REQUIRE(nextLeaseCheck(fixture.state, fixture.now).has_value());
    CHECK_FALSE(nextLeaseCheck(fixture.state, fixture.now).has_value());
    fixture.check(fixture.now, fixture.makeLease("self", 2, 1));
    REQUIRE(fixture.proof().has_value());
    CHECK(fixture.proof()->fence == FencingToken{1});
}

TEST_CASE("the right to act ends before a node that takes over may act")
{
    LeadershipFixture fixture;
    fixture.hold();
    CHECK(fixture.proof()->validUntil == start + 2500ms);
    fixture.now = start + 2500ms;
    CHECK_FALSE(fixture.proof().has_value());
    // The answer of a slow read proves as little as if it had come at once.
    fixture.check(start + 100ms, fixture.makeLease("self", 2, 1));
    CHECK(fixture.proof()->validUntil == start + 2600ms);
}

// Guards against a holder that acts again behind a cut before it has read who holds the lease.
TEST_CASE("a check that finds another holder ends the right to act")
{
    LeadershipFixture fixture;
    fixture.hold();
    fixture.now += 1s;
    fixture.check(fixture.now, fixture.makeLease("other", 1, 5));
    CHECK_FALSE(fixture.proof().has_value());
    CHECK_FALSE(leadershipOf(fixture.state).isHeldHere);
    CHECK_FALSE(leaseCheckDueAt(fixture.state).has_value());
}

// Guards against a former holder that may still act while the next one has already begun.
TEST_CASE("a new holder waits after any other term, and only the first one ever does not")
{
    struct Former
    {
        const char *holder;
        std::uint64_t incarnation;
    };
    // Another node, a released lease, and an earlier process of this node.
    for (const Former &former : {Former{"other", 1}, Former{"", 0}, Former{"self", 1}}) {
        CAPTURE(former.holder);
        LeadershipFixture fixture;
        fixture.record(former.holder, former.incarnation, 4);
        fixture.record("self", 2, 5);
        CHECK(fixture.state.actsFrom == fixture.now + leaseDuration);
    }
    LeadershipFixture first;
    first.hold();
    CHECK(first.proof().has_value());
}

// Guards against a restart that skips the wait which its earlier process had not finished.
TEST_CASE("a holder that restarts goes on at once, if the process before it had begun to act")
{
    for (const bool wasInUse : {true, false}) {
        CAPTURE(wasInUse);
        LeadershipFixture fixture;
        fixture.record("self", 1, 4);
        recordLeaseInUse(fixture.state, {RowVersion{wasInUse ? 4U : 3U}});
        fixture.record("self", 2, 5);
        CHECK(fixture.state.actsFrom == (wasInUse ? fixture.now : fixture.now + leaseDuration));
    }
    // What another node used says nothing about when it stops.
    LeadershipFixture fixture;
    fixture.record("other", 1, 4);
    recordLeaseInUse(fixture.state, {RowVersion{4}});
    fixture.record("self", 2, 5);
    CHECK(fixture.state.actsFrom == fixture.now + leaseDuration);
}

TEST_CASE("the store is told that the lease is in use until it shows it")
{
    LeadershipFixture fixture;
    fixture.hold();
    const auto write = nextUseWrite(fixture.state, fixture.now);
    REQUIRE(write.has_value());
    CHECK(write->lease == RowVersion{1});
    CHECK_FALSE(nextUseWrite(fixture.state, fixture.now).has_value());
    fixture.now += 1s;
    CHECK(nextUseWrite(fixture.state, fixture.now).has_value());
    recordLeaseInUse(fixture.state, *write);
    fixture.now += 1s;
    CHECK_FALSE(nextUseWrite(fixture.state, fixture.now).has_value());
}

// Guards against a proof that a suspension or an own release has outdated.
TEST_CASE("a check from before a suspension or a release confirms nothing")
{
    LeadershipFixture fixture;
    fixture.hold();
    fixture.now += 100ms;
    requireLeaseCheck(fixture.state, fixture.now);
    CHECK_FALSE(fixture.proof().has_value());
    // Sent before the suspension, in which the clock stood still.
    fixture.check(fixture.now, fixture.makeLease("self", 2, 1));
    CHECK_FALSE(fixture.proof().has_value());
    fixture.now += 1ms;
    fixture.check(fixture.now, fixture.makeLease("self", 2, 1));
    CHECK(fixture.proof().has_value());
}

TEST_CASE("checks are repeated in time, sooner after a failure, and not while none is needed")
{
    LeadershipFixture fixture;
    CHECK_FALSE(leaseCheckDueAt(fixture.state).has_value());
    fixture.hold();
    CHECK(leaseCheckDueAt(fixture.state) == start + 500ms);
    fixture.now += 500ms;
    REQUIRE(nextLeaseCheck(fixture.state, fixture.now).has_value());
    CHECK_FALSE(leaseCheckDueAt(fixture.state).has_value());
    recordLeaseCheck(fixture.state, LeaseChecked{fixture.now, false, {}}, fixture.now);
    CHECK(leaseCheckDueAt(fixture.state) == fixture.now + 100ms);
}

TEST_CASE("a short lease leaves the holder time to act")
{
    LeadershipState state = makeLeadership({"self"}, 2, 300ms);
    recordLease(state, {{"self"}, 2, RowVersion{1}}, start);
    recordLeaseCheck(state, LeaseChecked{start, true, state.lease}, start);
    CHECK(leadershipOf(state).provenUntil == start + 250ms);
    CHECK(state.nextCheckAt == start + 50ms);
}
