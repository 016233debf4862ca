#include <geraniumpulley/core/entry/stop_admission.hpp>

#include "entry_harness.hpp"

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

constexpr auto stopping = EntryVerdict::Stopping;

EntryHarness makeStoppingNode(Duration timeLeft)
{
    EntryHarness harness(2);
    harness.send(EntryDraining{start + timeLeft});
    return harness;
}

} // namespace

// Guards against streams that a stopping node took late and cut at its exit.
TEST_CASE("a stopping node refuses a stream that may outlast the stop, as not run")
{
    EntryHarness harness = makeStoppingNode(1s);
    harness.call(1, "/stream/x", 12s);
    CHECK(harness.find<SendAttempt>() == nullptr);
    const auto *answer = harness.find<AnswerEntryCall>();
    REQUIRE(answer != nullptr);
    CHECK(answer->answer.status == 503);
    CHECK(answer->answer.retryAfter.has_value());
    CHECK(answer->verdict == stopping);
}

// Guards against requests that may not be repeated and were cut at the exit of a stopping node.
TEST_CASE("a stopping node takes an at-most-once request only if it ends by its deadline")
{
    EntryHarness harness = makeStoppingNode(1s);
    harness.call(1, "/once/x", 1100ms);
    CHECK(harness.find<AnswerEntryCall>()->verdict == stopping);
    harness.call(2, "/once/x", 900ms);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>()->deadline == start + 900ms);
}

TEST_CASE("a stopping node takes a repeatable request if usual answers are fast enough")
{
    EntryHarness harness(2);
    harness.call(1, "/safe/x");
    const OperationId operation = harness.find<SendAttempt>()->operation;
    harness.now += 200ms;
    harness.answer(operation, 200);
    harness.send(EntryDraining{harness.now + 500ms});
    harness.call(2, "/safe/x");
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>()->deadline == harness.now + 500ms);
    harness.now += 200ms;
    harness.call(3, "/safe/x");
    CHECK(harness.find<AnswerEntryCall>()->verdict == stopping);
}

TEST_CASE("a stopping node without experience of a service refuses what may outlast the stop")
{
    EntryHarness harness = makeStoppingNode(1s);
    harness.call(1, "/safe/x");
    CHECK(harness.find<AnswerEntryCall>()->verdict == stopping);
}

TEST_CASE("requests that outlast a planned stop get a final answer before the exit")
{
    EntryHarness harness(2);
    harness.call(1, "/once/x");
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    harness.send(EntryDraining{start + 1s});
    REQUIRE(dueAt(harness.state).has_value());
    CHECK(*dueAt(harness.state) <= start + 1s);
    harness.advance(1s);
    REQUIRE(harness.find<AnswerEntryCall>() != nullptr);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 504);
}

TEST_CASE("a stopping node still scores the items of batches")
{
    EntryHarness harness = makeStoppingNode(1s);
    harness.send(ScoreRequested{{"b"}, {"i"}, {"score", "host", "/safe/score", "x"}});
    CHECK(harness.find<SendAttempt>() != nullptr);
}

TEST_CASE("the expected time of an answer follows slow answers at once and fast ones slowly")
{
    AnswerTimes times;
    const StoppingRequest request{{"service"}, false, true, start + 10s};
    const auto isTaken = [&](Duration left) {
        return isFinishableBy(times, request, start + left, start);
    };
    CHECK_FALSE(isTaken(9s));
    recordAnswerTime(times, {"service"}, 100ms);
    CHECK(isTaken(200ms));
    recordAnswerTime(times, {"service"}, 1s);
    CHECK_FALSE(isTaken(1900ms));
    recordAnswerTime(times, {"service"}, 100ms);
    CHECK_FALSE(isTaken(1800ms));
    for (int i = 0; i < 100; ++i)
        recordAnswerTime(times, {"service"}, 100ms);
    CHECK(isTaken(250ms));
}
