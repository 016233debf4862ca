#include "entry_harness.hpp"

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

struct CutOffHarness : EntryHarness
{
    using EntryHarness::EntryHarness;

    // Answers the probe of the last actions.
    void answerProbe(ProbeOutcome outcome)
    {
        REQUIRE(this->find<ProbeTargets>() != nullptr);
        const ProbeTargets probe = *this->find<ProbeTargets>();
        this->send(TargetsProbed{probe.operation,
                                 std::vector<ProbeOutcome>(probe.targets.size(), outcome)});
    }

    void cutOff()
    {
        this->call(99, "/once/probe");
        this->fail(this->find<SendAttempt>()->operation, EntryFailure::NotSent);
        this->answerProbe(ProbeOutcome::Refused);
        REQUIRE(this->find<ReachChanged>() != nullptr);
        CHECK_FALSE(this->find<ReachChanged>()->reachesTargets);
    }
};

} // namespace

TEST_CASE("a node that reaches no target sends requests through others, until it reaches one again")
{
    CutOffHarness harness(4);
    harness.call(1, "/safe/x");
    CHECK_FALSE(harness.find<SendAttempt>()->isRelayed);
    harness.answer(harness.find<SendAttempt>()->operation, 200);
    harness.advance(2s);
    harness.cutOff();
    harness.call(2, "/safe/x");
    CHECK(harness.find<SendAttempt>()->isRelayed);
    harness.answer(harness.find<SendAttempt>()->operation, 200);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 200);
    harness.advance(500ms);
    harness.answerProbe(ProbeOutcome::Accepted);
    CHECK(harness.find<ReachChanged>()->reachesTargets);
    harness.call(3, "/safe/x");
    CHECK_FALSE(harness.find<SendAttempt>()->isRelayed);
}

TEST_CASE("an unanswered request is sent again through another node once its own is cut off")
{
    CutOffHarness harness(4);
    harness.call(1, "/safe/x");
    const OperationId first = harness.find<SendAttempt>()->operation;
    harness.advance(300ms);
    harness.answerProbe(ProbeOutcome::Silent);
    CHECK(harness.find<CancelAttempt>()->operation == first);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>()->isRelayed);
    harness.answer(harness.find<SendAttempt>()->operation, 200);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 200);
}

TEST_CASE("a request that must not run twice is not sent again after the cut")
{
    CutOffHarness harness(4);
    harness.call(1, "/once/x");
    const OperationId first = harness.find<SendAttempt>()->operation;
    harness.cutOff();
    CHECK(harness.find<CancelAttempt>() == nullptr);
    harness.fail(first, EntryFailure::AnswerLost);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 502);
}

TEST_CASE("an outage of one service is not taken for a cut")
{
    CutOffHarness harness(4);
    harness.call(1, "/once/x");
    harness.fail(harness.find<SendAttempt>()->operation, EntryFailure::NotSent);
    const ProbeTargets probe = *harness.find<ProbeTargets>();
    harness.send(TargetsProbed{probe.operation, {ProbeOutcome::Refused, ProbeOutcome::Accepted}});
    CHECK(harness.find<ReachChanged>() == nullptr);
    CHECK_FALSE(harness.state.reachability.isCutOff);
}

TEST_CASE("what a node believes of targets does not outlive a cut")
{
    CutOffHarness harness(4);
    for (const auto &[id, target] : *harness.state.directory->targets)
        harness.state.health[id].ejections = 1;
    harness.cutOff();
    CHECK(harness.state.health.count({"t0"}) + harness.state.health.count({"t1"})
                  + harness.state.health.count({"t2"}) + harness.state.health.count({"t3"})
          <= 1);
    harness.call(2, "/once/x");
    const SendAttempt relayed = *harness.find<SendAttempt>();
    harness.fail(relayed.operation, EntryFailure::NotSent);
    CHECK(harness.state.health[relayed.target.id].consecutiveFailures == 0);
}
