#include "entry_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

// A fleet of targets of which some requests crash each one that they reach.
struct CrashHarness : EntryHarness
{
    using EntryHarness::EntryHarness;

    // Ends the connection of an attempt, and answers the probes that follow.
    void closeConnection(OperationId operation, ProbeOutcome outcome = ProbeOutcome::Refused,
                         ProbeOutcome control = ProbeOutcome::Accepted)
    {
        this->send(EntryAttemptFailed{operation, EntryFailure::AnswerLost, true});
        const auto *probe = this->find<ProbeTargets>();
        if (probe == nullptr)
            return;
        std::vector<ProbeOutcome> outcomes(probe->targets.size(), control);
        outcomes.front() = outcome;
        this->send(TargetsProbed{probe->operation, outcomes});
    }

    // Sends a request that crashes each target, and returns the number of crashes.
    int sendPoison(std::uint64_t reply)
    {
        std::vector<TargetId> crashed;
        this->call(reply, "/safe/poison");
        while (const auto *sent = this->find<SendAttempt>()) {
            crashed.push_back(sent->target.id);
            this->closeConnection(sent->operation);
        }
        const std::vector<EntryAction> lastActions = this->actions;
        this->restart(crashed);
        this->actions = lastActions;
        return static_cast<int>(crashed.size());
    }

    void restart(const std::vector<TargetId> &crashed)
    {
        auto directory = std::make_shared<Directory>(*this->state.directory);
        auto targets = std::make_shared<TargetMap>(*directory->targets);
        for (const TargetId &target : crashed)
            ++targets->at(target).startedAt;
        directory->targets = targets;
        this->send(EntryDirectoryChanged{directory});
    }

    void endPause() { this->advance(this->state.suspects.settings.judging.retryPause); }

    std::uint32_t answerStatus() const { return this->find<AnswerEntryCall>()->answer.status; }
};

} // namespace

TEST_CASE("a request that has crashed three targets is not sent to a fourth")
{
    CrashHarness harness(8);
    int crashes = 0;
    for (std::uint64_t reply = 1; reply <= 10; ++reply) {
        crashes += harness.sendPoison(reply);
        harness.endPause();
    }
    CHECK(crashes == 3);
    harness.call(20, "/safe/poison");
    CHECK(harness.answerStatus() == 502);
    CHECK(harness.find<AnswerEntryCall>()->verdict == EntryVerdict::Quarantined);
    harness.call(21, "/safe/sound");
    CHECK(harness.find<SendAttempt>() != nullptr);
}

TEST_CASE("after two crashes a request pauses, and is refused as not run until then")
{
    CrashHarness harness(8);
    CHECK(harness.sendPoison(1) == 2);
    CHECK(harness.answerStatus() == 502);
    harness.call(2, "/safe/poison");
    CHECK(harness.answerStatus() == 503);
    CHECK(harness.find<AnswerEntryCall>()->answer.retryAfter.value() > 4s);
}

TEST_CASE("a request that runs through at last is cleared")
{
    CrashHarness harness(8);
    CHECK(harness.sendPoison(1) == 2);
    harness.endPause();
    harness.call(2, "/safe/poison");
    harness.answer(harness.find<SendAttempt>()->operation, 200);
    CHECK(harness.answerStatus() == 200);
    CHECK(harness.state.suspects.log.empty());
}

TEST_CASE("no request is blamed when its target lives, is silent, leaves, or this node is cut off")
{
    CrashHarness harness(8);
    const auto lose = [&](std::uint64_t reply, ProbeOutcome outcome, ProbeOutcome control) {
        harness.call(reply, "/safe/x");
        harness.closeConnection(harness.find<SendAttempt>()->operation, outcome, control);
        REQUIRE(harness.find<SendAttempt>() != nullptr);
        CHECK(harness.state.suspects.log.empty());
        harness.answer(harness.find<SendAttempt>()->operation, 200);
    };
    lose(1, ProbeOutcome::Accepted, ProbeOutcome::Accepted);
    lose(2, ProbeOutcome::Silent, ProbeOutcome::Accepted);
    lose(3, ProbeOutcome::Refused, ProbeOutcome::Refused);
    lose(4, ProbeOutcome::Refused, ProbeOutcome::Silent);
    CrashHarness leaving(8);
    leaving.call(5, "/safe/x");
    const SendAttempt sent = *leaving.find<SendAttempt>();
    auto directory = std::make_shared<Directory>(*leaving.state.directory);
    auto targets = std::make_shared<TargetMap>(*directory->targets);
    targets->at(sent.target.id).target.leaving = true;
    directory->targets = targets;
    leaving.send(EntryDirectoryChanged{directory});
    leaving.closeConnection(sent.operation);
    CHECK(leaving.state.suspects.checks.empty());
}

TEST_CASE("a request that was near a crash runs alone, and others keep away from it")
{
    CrashHarness harness(3);
    harness.call(1, "/safe/busy");
    const TargetId busy = harness.find<SendAttempt>()->target.id;
    harness.call(2, "/safe/poison");
    const TargetId crashed = harness.find<SendAttempt>()->target.id;
    harness.closeConnection(harness.find<SendAttempt>()->operation);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    const TargetId alone = harness.find<SendAttempt>()->target.id;
    CHECK(alone != busy);
    CHECK(alone != crashed);
    for (std::uint64_t reply = 3; reply < 9; ++reply) {
        harness.call(reply, "/safe/other");
        CHECK(harness.find<SendAttempt>()->target.id != alone);
    }
}

TEST_CASE("a suspected request waits for a target without other requests, but not for ever")
{
    CrashHarness harness(2);
    harness.call(1, "/once/busy");
    harness.call(2, "/safe/poison");
    harness.closeConnection(harness.find<SendAttempt>()->operation);
    CHECK(harness.find<SendAttempt>() == nullptr);
    harness.advance(750ms);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>()->call->target == "/safe/poison");
}

TEST_CASE("a request that may run once only is blamed by each attempt of its client")
{
    CrashHarness harness(8);
    for (std::uint64_t reply = 1; reply <= 3; ++reply) {
        harness.call(reply, "/once/poison");
        REQUIRE(harness.find<SendAttempt>() != nullptr);
        harness.send(EntryAttemptFailed{harness.find<SendAttempt>()->operation,
                                        EntryFailure::AnswerLost, true});
        CHECK(harness.answerStatus() == 502);
        const ProbeTargets probe = *harness.find<ProbeTargets>();
        harness.send(
                TargetsProbed{probe.operation, {ProbeOutcome::Refused, ProbeOutcome::Accepted}});
        CHECK(harness.find<StoreCrashRecords>() != nullptr);
        harness.send(CrashRecordsStored{true});
        harness.endPause();
    }
    harness.call(4, "/once/poison");
    CHECK(harness.answerStatus() == 502);
    CHECK(harness.find<SendAttempt>() == nullptr);
}

TEST_CASE("a stream that ends with its target is blamed like a call")
{
    CrashHarness harness(8);
    const SendAttempt sent = beginStream(harness, 1);
    harness.send(StreamEnded{sent.operation, false, true, true});
    const ProbeTargets probe = *harness.find<ProbeTargets>();
    harness.send(TargetsProbed{probe.operation, {ProbeOutcome::Refused, ProbeOutcome::Accepted}});
    CHECK(harness.state.suspects.log.size() == 1);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>()->lastEventId == 1);
}

TEST_CASE("a scoring request is owed, so it is tried again whatever crashes under it")
{
    CrashHarness harness(8);
    for (int round = 0; round < 5; ++round) {
        harness.send(ScoreRequested{{"batch"}, {"item"}, {"score-1", "host", "/safe/score", "x"}});
        REQUIRE(harness.find<SendAttempt>() != nullptr);
        harness.closeConnection(harness.find<SendAttempt>()->operation);
        CHECK(harness.find<ProbeTargets>() == nullptr);
    }
    CHECK(harness.state.suspects.log.empty());
}

TEST_CASE("the records of other nodes quarantine a request here")
{
    CrashHarness harness(8);
    CrashHarness origin(8);
    origin.sendPoison(1);
    origin.endPause();
    origin.sendPoison(2);
    auto directory = std::make_shared<Directory>(*harness.state.directory);
    directory->crashes = std::make_shared<CrashLog>(origin.state.suspects.log);
    harness.send(EntryDirectoryChanged{directory});
    harness.call(1, "/safe/poison");
    CHECK(harness.answerStatus() == 502);
    directory = std::make_shared<Directory>(*directory);
    directory->crashes = std::make_shared<CrashLog>();
    harness.send(EntryDirectoryChanged{directory});
    harness.call(2, "/safe/poison");
    CHECK(harness.find<SendAttempt>() != nullptr);
}
