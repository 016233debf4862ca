#include "entry_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

TEST_CASE("a target's answer is forwarded unchanged")
{
    EntryHarness harness(2);
    harness.call(1, "/safe/x");
    const auto *sent = harness.find<SendAttempt>();
    REQUIRE(sent != nullptr);
    CHECK(sent->deadline == start + 1500ms);
    harness.answer(sent->operation, 200);
    const auto *answer = harness.find<AnswerEntryCall>();
    REQUIRE(answer != nullptr);
    CHECK(answer->answer.status == 200);
    CHECK(answer->answer.body == "body");
    CHECK(harness.state.requests.empty());
    CHECK(harness.state.attemptsPerTarget.empty());
}

TEST_CASE("without a routing table a request is answered 503, not 404")
{
    EntryHarness harness(1);
    harness.state.directory = nullptr;
    harness.call(1, "/safe/x");
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 503);
}

TEST_CASE("a request without a route is answered 404, one without a target 503 with a retry delay")
{
    EntryHarness harness(0);
    harness.call(1, "/none/x");
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 404);
    harness.call(2, "/safe/x");
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 503);
    CHECK(harness.find<AnswerEntryCall>()->answer.retryAfter.has_value());
}

TEST_CASE("a repeatable request whose answer is lost is sent to another target")
{
    EntryHarness harness(2);
    harness.call(1, "/safe/x");
    const SendAttempt first = *harness.find<SendAttempt>();
    harness.fail(first.operation, EntryFailure::AnswerLost);
    const auto *second = harness.find<SendAttempt>();
    REQUIRE(second != nullptr);
    CHECK(second->target.id != first.target.id);
}

TEST_CASE("an at-most-once request is not sent again after it may have run")
{
    EntryHarness harness(3);
    harness.call(1, "/once/x");
    CHECK_FALSE(harness.find<SendAttempt>()->reuseConnection);
    harness.fail(harness.find<SendAttempt>()->operation, EntryFailure::AnswerLost);
    CHECK(harness.find<SendAttempt>() == nullptr);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 502);
}

TEST_CASE("a request that provably did not run is sent to another target, whatever its kind")
{
    EntryHarness harness(3);
    harness.call(1, "/once/x");
    harness.fail(harness.find<SendAttempt>()->operation, EntryFailure::NotSent);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    harness.answer(harness.find<SendAttempt>()->operation, 503, true);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    harness.answer(harness.find<SendAttempt>()->operation, 200);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 200);
}

TEST_CASE("a failure that implies 'not run' is not forwarded unless the target states it")
{
    EntryHarness harness(1);
    harness.call(1, "/once/x");
    harness.answer(harness.find<SendAttempt>()->operation, 503, false);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 502);
}

TEST_CASE("a success without the target's signature is not forwarded")
{
    EntryHarness harness(1);
    harness.call(1, "/once/x");
    AttemptAnswered answered;
    answered.operation = harness.find<SendAttempt>()->operation;
    answered.answer.status = 200;
    harness.send(answered);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 502);
}

TEST_CASE("a request to a slow target is hedged, and the slower attempt is cancelled")
{
    EntryHarness harness(2);
    harness.call(1, "/safe/x");
    const SendAttempt first = *harness.find<SendAttempt>();
    harness.advance(300ms);
    const auto *second = harness.find<SendAttempt>();
    REQUIRE(second != nullptr);
    CHECK(second->target.id != first.target.id);
    harness.answer(second->operation, 200);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 200);
    REQUIRE(harness.find<CancelAttempt>() != nullptr);
    CHECK(harness.find<CancelAttempt>()->operation == first.operation);
}

TEST_CASE("a request is answered 504 at the route's time limit")
{
    EntryHarness harness(1);
    harness.call(1, "/once/x", 5s);
    harness.advance(1500ms);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 504);
    CHECK(harness.find<CancelAttempt>() != nullptr);
}

TEST_CASE("attempts are cancelled when the caller disconnects")
{
    EntryHarness harness(1);
    harness.call(1, "/safe/x");
    const OperationId operation = harness.find<SendAttempt>()->operation;
    harness.send(CallerDisconnected{ReplyToken{1}});
    REQUIRE(harness.find<CancelAttempt>() != nullptr);
    harness.fail(operation, EntryFailure::AnswerLost);
    CHECK(harness.actions.empty());
    CHECK(harness.state.attempts.empty());
}

TEST_CASE("a repeatable request that fails everywhere gets the last target's failure")
{
    EntryHarness harness(3);
    harness.call(1, "/safe/x");
    for (int i = 0; i < 3; ++i)
        harness.answer(harness.find<SendAttempt>()->operation, 500);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 500);
    CHECK(harness.find<AnswerEntryCall>()->attempts == 3);
}

TEST_CASE("targets that refuse are tried again after a backoff, then the request is refused")
{
    EntryHarness harness(1);
    harness.call(1, "/safe/x", 1500ms);
    int attemptCount = 0;
    while (harness.find<AnswerEntryCall>() == nullptr) {
        if (const auto *sent = harness.find<SendAttempt>()) {
            ++attemptCount;
            harness.answer(sent->operation, 503, true);
        } else {
            harness.advance(20ms);
        }
    }
    CHECK(attemptCount > 1);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 503);
}

TEST_CASE("an interrupted stream is ended as incomplete unless it may be resumed")
{
    EntryHarness harness(2);
    harness.call(1, "/stream/x");
    SendAttempt sent = *harness.find<SendAttempt>();
    harness.receiveHead(sent.operation);
    CHECK(harness.find<SendStreamHead>() != nullptr);
    harness.send(StreamEventReceived{sent.operation, 1, "one"});
    CHECK(harness.find<SendStreamEvent>()->bytes == "one");
    harness.send(StreamEnded{sent.operation, false});
    REQUIRE(harness.find<EndStream>() != nullptr);
    CHECK_FALSE(harness.find<EndStream>()->complete);

    harness.call(2, "/resume/x");
    sent = *harness.find<SendAttempt>();
    harness.receiveHead(sent.operation);
    harness.send(StreamEventReceived{sent.operation, 1, "one"});
    harness.send(StreamEnded{sent.operation, false});
    const auto *again = harness.find<SendAttempt>();
    REQUIRE(again != nullptr);
    CHECK(again->lastEventId == 1);
    const OperationId operation = again->operation;
    harness.receiveHead(operation);
    CHECK(harness.find<SendStreamHead>() == nullptr);
    harness.send(StreamEventReceived{operation, 1, "one"});
    CHECK(harness.find<SendStreamEvent>() == nullptr);
    harness.send(StreamEventReceived{operation, 2, "two"});
    CHECK(harness.find<SendStreamEvent>()->bytes == "two");
    harness.send(StreamEnded{operation, true});
    CHECK(harness.find<EndStream>()->complete);
}

TEST_CASE("a score is the signature of a successful answer; a scorer's failure is reported")
{
    EntryHarness harness(1);
    const ScoreRequested request{{"b"}, {"i"}, {"s", "host", "/safe/s", "x"}};
    harness.send(request);
    harness.answer(harness.find<SendAttempt>()->operation, 200);
    REQUIRE(harness.find<ScoreCompleted>() != nullptr);
    CHECK(harness.find<ScoreCompleted>()->outcome == ScoreCompleted::Outcome::Scored);
    CHECK(harness.find<ScoreCompleted>()->score == "stamp");
    CHECK(harness.find<AnswerEntryCall>() == nullptr);
    harness.send(request);
    for (int i = 0; i < 3 && harness.find<SendAttempt>() != nullptr; ++i)
        harness.answer(harness.find<SendAttempt>()->operation, 500);
    REQUIRE(harness.find<ScoreCompleted>() != nullptr);
    CHECK(harness.find<ScoreCompleted>()->outcome == ScoreCompleted::Outcome::Failed);
    CHECK(harness.find<ScoreCompleted>()->maxFailures == 3);
}

TEST_CASE("property: whatever targets do, each request gets exactly one answer, and no "
          "at-most-once request runs twice or is refused after it has run")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        EntryHarness harness(1 + random() % 4);
        std::map<OperationId, SendAttempt> openAttempts;
        std::map<std::string, int> executions;
        std::map<ReplyToken, int> answers;
        std::set<std::string> refusedIds;
        std::map<std::string, bool> once;
        const auto collectActions = [&] {
            for (const EntryAction &action : harness.actions) {
                if (const auto *sent = std::get_if<SendAttempt>(&action))
                    openAttempts.emplace(sent->operation, *sent);
                if (const auto *answer = std::get_if<AnswerEntryCall>(&action)) {
                    ++answers[answer->reply];
                    if (answer->answer.status == 503)
                        refusedIds.insert(answer->requestId);
                }
            }
        };
        const auto completeRandomAttempt = [&] {
            auto position = openAttempts.begin();
            std::advance(position, random() % openAttempts.size());
            const SendAttempt sent = position->second;
            openAttempts.erase(position);
            const std::string &id = sent.call->requestId;
            switch (random() % 5) {
            case 0:
                ++executions[id];
                return harness.answer(sent.operation, 200);
            case 1:
                ++executions[id];
                return harness.answer(sent.operation, 500);
            case 2:
                return harness.answer(sent.operation, 503, true);
            case 3:
                return harness.fail(sent.operation, EntryFailure::NotSent);
            default:
                executions[id] += static_cast<int>(random() % 2);
                return harness.fail(sent.operation, EntryFailure::AnswerLost);
            }
        };
        constexpr std::uint64_t requests = 30;
        for (std::uint64_t i = 1; i <= requests; ++i) {
            const bool isAtMostOnce = random() % 2 == 0;
            once["id" + std::to_string(i)] = isAtMostOnce;
            harness.call(i, isAtMostOnce ? "/once/x" : "/safe/x", 1s);
            collectActions();
            for (std::uint64_t j = random() % 4; j > 0 && !openAttempts.empty(); --j) {
                completeRandomAttempt();
                collectActions();
            }
            harness.advance(std::chrono::milliseconds(random() % 100));
            collectActions();
        }
        while (!openAttempts.empty()) {
            completeRandomAttempt();
            collectActions();
        }
        harness.advance(10s);
        collectActions();
        CHECK(answers.size() == requests);
        for (const auto &[reply, count] : answers)
            CHECK(count == 1);
        for (const auto &[id, count] : executions) {
            CHECK((!once[id] || count <= 1));
            CHECK((!once[id] || count == 0 || refusedIds.count(id) == 0));
        }
        CHECK(harness.state.requests.empty());
    }
}

TEST_CASE("a request that a rate limit allows too late is refused at once, with the time to return")
{
    EntryHarness harness(1);
    harness.call(1, "/safe/x");
    AttemptAnswered answered;
    answered.operation = harness.find<SendAttempt>()->operation;
    answered.answer.status = 200;
    answered.hasSignature = true;
    answered.rateLimit = RequestRate{0.5};
    harness.send(answered);
    REQUIRE(harness.find<RateLimitChanged>() != nullptr);
    harness.call(2, "/safe/x");
    CHECK(harness.find<SendAttempt>() == nullptr);
    REQUIRE(harness.find<RequestPermits>() != nullptr);
    CHECK(harness.find<RequestPermits>()->count == 1);
    harness.send(PermitsReceived{{"t0"}, PermitGrant{0, {}, 2s, 500ms, 1900ms}});
    REQUIRE(harness.find<AnswerEntryCall>() != nullptr);
    CHECK(harness.find<AnswerEntryCall>()->verdict == EntryVerdict::RateLimited);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 503);
    CHECK(harness.find<AnswerEntryCall>()->answer.retryAfter == 1900ms);
}

TEST_CASE("a request waits for a permit that comes in time")
{
    EntryHarness harness(1);
    recordRateLimit(harness.state.permits, {"t0"}, RequestRate{5});
    harness.call(1, "/safe/x");
    CHECK(harness.find<SendAttempt>() == nullptr);
    harness.send(PermitsReceived{{"t0"}, PermitGrant{1, 80ms, 200ms}});
    CHECK(harness.find<SendAttempt>() == nullptr);
    CHECK(dueAt(harness.state) == harness.now + 80ms);
    harness.advance(80ms);
    CHECK(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<RequestPermits>() == nullptr);
}

TEST_CASE("a request waits for a permit rather than go to a target that fails")
{
    EntryHarness harness(2);
    recordRateLimit(harness.state.permits, {"t0"}, RequestRate{5});
    for (int i = 0; i < 3; ++i)
        recordFailure(harness.state.health[{"t1"}], {}, harness.now);
    harness.call(1, "/safe/x");
    CHECK(harness.find<SendAttempt>() == nullptr);
    harness.send(PermitsReceived{{"t0"}, PermitGrant{1}});
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>()->target.id == TargetId{"t0"});
}

TEST_CASE("requests that wait for a permit are sent when the target states no limit any more")
{
    EntryHarness harness(1);
    harness.call(1, "/safe/x");
    const OperationId operation = harness.find<SendAttempt>()->operation;
    recordRateLimit(harness.state.permits, {"t0"}, RequestRate{5});
    harness.call(2, "/safe/x");
    CHECK(harness.find<SendAttempt>() == nullptr);
    harness.answer(operation, 200);
    CHECK(harness.find<SendAttempt>() != nullptr);
}

namespace {

const std::vector<SoftwareVersion> mixedSoftware{{"v1"}, {"v2"}, {"v1"}, {"v2"}};

SoftwareVersion softwareOf(const EntryHarness &harness, const SendAttempt &sent)
{
    return harness.state.directory->targets->at(sent.target.id).software;
}

void takeUp(EntryHarness &harness, std::uint64_t reply, const std::string &origin)
{
    auto call = std::make_shared<EntryCall>();
    call->host = "host";
    call->target = "/resume/x";
    call->requestId = "id" + std::to_string(reply);
    call->lastEventId = 1;
    call->resumedRequestId = origin;
    harness.send(EntryCallReceived{ReplyToken{reply}, call});
}

} // namespace

TEST_CASE("a broken stream goes on at the software that began it, or is ended as incomplete")
{
    EntryHarness harness(4);
    harness.send(EntryDirectoryChanged{makeDirectory(4, mixedSoftware)});
    const SendAttempt first = beginStream(harness, 1);
    harness.send(StreamEnded{first.operation, false});
    const SendAttempt second = *harness.find<SendAttempt>();
    CHECK(second.target.id != first.target.id);
    CHECK(softwareOf(harness, second) == softwareOf(harness, first));
    const SoftwareVersion other{softwareOf(harness, first).value == "v1" ? "v2" : "v1"};
    harness.send(EntryDirectoryChanged{makeDirectory(4, {other, other, other, other})});
    harness.send(StreamEnded{second.operation, false});
    CHECK(harness.find<SendAttempt>() == nullptr);
    REQUIRE(harness.find<EndStream>() != nullptr);
    CHECK_FALSE(harness.find<EndStream>()->complete);
}

TEST_CASE("a stream that a client takes up goes on at the software that began it")
{
    for (std::uint64_t i = 0; i < 8; ++i) {
        CAPTURE(i);
        EntryHarness harness(4);
        harness.send(EntryDirectoryChanged{makeDirectory(4, mixedSoftware)});
        harness.state.random.state = i;
        const SendAttempt first = beginStream(harness, 1);
        REQUIRE(harness.find<StoreStreamOrigins>() != nullptr);
        const StreamOrigin origin{"id1", softwareOf(harness, first)};
        CHECK(harness.find<StoreStreamOrigins>()->origins == std::vector{origin});

        EntryHarness other(4);
        other.send(EntryDirectoryChanged{makeDirectory(4, mixedSoftware)});
        takeUp(other, 2, "id1");
        CHECK(other.find<SendAttempt>() == nullptr);
        REQUIRE(other.find<FindStreamOrigin>() != nullptr);
        CHECK(other.find<FindStreamOrigin>()->requestId == "id1");
        other.send(StreamOriginFound{ReplyToken{2}, origin.software});
        REQUIRE(other.find<SendAttempt>() != nullptr);
        CHECK(other.find<SendAttempt>()->lastEventId == 1);
        CHECK(softwareOf(other, *other.find<SendAttempt>()) == origin.software);

        takeUp(harness, 3, "id1");
        REQUIRE(harness.find<SendAttempt>() != nullptr);
        CHECK(softwareOf(harness, *harness.find<SendAttempt>()) == origin.software);
    }
}

TEST_CASE("a stream whose software is unknown is refused at once, not joined")
{
    EntryHarness harness(4);
    harness.send(EntryDirectoryChanged{makeDirectory(4, mixedSoftware)});
    takeUp(harness, 1, "id9");
    harness.send(StreamOriginFound{ReplyToken{1}, std::nullopt});
    REQUIRE(harness.find<AnswerEntryCall>() != nullptr);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 503);
    CHECK(harness.find<AnswerEntryCall>()->verdict == EntryVerdict::SoftwareUnknown);
    takeUp(harness, 2, "");
    REQUIRE(harness.find<FindOnlySoftware>() != nullptr);
    CHECK(harness.find<FindOnlySoftware>()->service.value == "service");
    harness.send(StreamOriginFound{ReplyToken{2}, std::nullopt});
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 503);
}

// Targets of other software may have joined while the node was frozen or cut off from the store.
TEST_CASE("a node that is out of step does not guess the software of a stream that is taken up")
{
    Directory directory = *makeDirectory(3, {{"v1"}, {"v1"}, {"v1"}});
    CHECK_FALSE(onlySoftwareOf(directory, {"service"}, start).has_value());
    directory.targetsReadAt = start;
    CHECK(onlySoftwareOf(directory, {"service"}, start + 3s) == SoftwareVersion{"v1"});
    CHECK_FALSE(onlySoftwareOf(directory, {"service"}, start + 4s).has_value());
    Directory mixed = *makeDirectory(4, mixedSoftware);
    mixed.targetsReadAt = start;
    CHECK_FALSE(onlySoftwareOf(mixed, {"service"}, start).has_value());
}
