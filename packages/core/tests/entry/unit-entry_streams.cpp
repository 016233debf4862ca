#include "entry_harness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

// Breaks off the stream of a client behind its first event and returns the attempt to resume it.
SendAttempt breakOff(EntryHarness &harness, std::uint64_t reply)
{
    const SendAttempt first = beginStream(harness, reply);
    harness.send(StreamEnded{first.operation, false});
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>()->lastEventId == 1);
    return *harness.find<SendAttempt>();
}

// A directory whose routes let requests run for a minute.
DirectoryPointer makeLongDirectory(std::size_t targets, Duration objective)
{
    auto directory = std::make_shared<Directory>(*makeDirectory(targets));
    auto routing = std::make_shared<RoutingTable>(*directory->routing);
    for (Route &route : routing->routes) {
        route.latencyObjective = objective;
        route.timeout = 60s;
    }
    directory->routing = routing;
    return directory;
}

void checkBroken(const EntryHarness &harness)
{
    CHECK(harness.find<AnswerEntryCall>() == nullptr);
    REQUIRE(harness.find<EndStream>() != nullptr);
    CHECK_FALSE(harness.find<EndStream>()->complete);
}

} // namespace

TEST_CASE("a stream that broke off takes no other answer: it goes on elsewhere or ends as broken")
{
    for (const std::uint32_t status : {200U, 302U, 400U, 404U, 422U, 500U, 503U}) {
        CAPTURE(status);
        EntryHarness harness(4);
        const SendAttempt second = breakOff(harness, 1);
        harness.answer(second.operation, status);
        CHECK(harness.find<AnswerEntryCall>() == nullptr);
        REQUIRE(harness.find<SendAttempt>() != nullptr);
        const SendAttempt third = *harness.find<SendAttempt>();
        CHECK(third.lastEventId == 1);
        harness.answer(third.operation, status);
        checkBroken(harness);
        CHECK(harness.state.requests.empty());
    }
}

TEST_CASE("a stream that broke off and is refused everywhere ends as broken, not with a 503")
{
    EntryHarness harness(2);
    static_cast<void>(breakOff(harness, 1));
    for (int i = 0; i < 100 && harness.find<EndStream>() == nullptr; ++i) {
        if (const auto *again = harness.find<SendAttempt>())
            harness.answer(again->operation, 503, true);
        else
            harness.advance(20ms);
    }
    checkBroken(harness);
}

TEST_CASE("a stream whose event is missing goes on elsewhere behind the last event before it")
{
    EntryHarness harness(3);
    const SendAttempt first = beginStream(harness, 1);
    harness.send(StreamEventReceived{first.operation, 3, "three"});
    CHECK(harness.find<SendStreamEvent>() == nullptr);
    REQUIRE(harness.find<CancelAttempt>() != nullptr);
    CHECK(harness.find<CancelAttempt>()->operation == first.operation);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    const SendAttempt second = *harness.find<SendAttempt>();
    CHECK(second.lastEventId == 1);
    CHECK(second.target.id != first.target.id);
    harness.send(StreamEventReceived{first.operation, 4, "four"});
    CHECK(harness.actions.empty());
    harness.receiveHead(second.operation);
    harness.send(StreamEventReceived{second.operation, 2, "two"});
    CHECK(harness.find<SendStreamEvent>()->bytes == "two");
}

TEST_CASE("a stream that cannot be resumed ends as broken where an event is missing")
{
    EntryHarness harness(2);
    harness.call(1, "/stream/x");
    const SendAttempt sent = *harness.find<SendAttempt>();
    harness.receiveHead(sent.operation);
    harness.send(StreamEventReceived{sent.operation, 7, "seven"});
    CHECK(harness.find<SendStreamEvent>() != nullptr);
    harness.send(StreamEventReceived{sent.operation, 9, "nine"});
    CHECK(harness.find<SendStreamEvent>() == nullptr);
    checkBroken(harness);
}

TEST_CASE("a resumed stream that starts behind the next event, or without numbers, is not joined")
{
    for (const std::uint64_t eventId : {3U, 0U}) {
        CAPTURE(eventId);
        EntryHarness harness(3);
        const SendAttempt second = breakOff(harness, 1);
        harness.receiveHead(second.operation);
        harness.send(StreamEventReceived{second.operation, eventId, "later"});
        CHECK(harness.find<SendStreamEvent>() == nullptr);
        REQUIRE(harness.find<SendAttempt>() != nullptr);
        CHECK(harness.find<SendAttempt>()->lastEventId == 1);
    }
}

TEST_CASE("a resumed stream that repeats events goes on behind them")
{
    EntryHarness harness(3);
    const SendAttempt second = breakOff(harness, 1);
    harness.receiveHead(second.operation);
    harness.send(StreamEventReceived{second.operation, 1, "one"});
    CHECK(harness.actions.empty());
    harness.send(StreamEventReceived{second.operation, 2, "two"});
    CHECK(harness.find<SendStreamEvent>()->bytes == "two");
}

TEST_CASE("events without numbers are passed on, but nothing goes on behind them")
{
    EntryHarness harness(3);
    harness.call(1, "/resume/x");
    const SendAttempt sent = *harness.find<SendAttempt>();
    harness.receiveHead(sent.operation);
    harness.send(StreamEventReceived{sent.operation, 0, "a"});
    CHECK(harness.find<SendStreamEvent>()->bytes == "a");
    harness.send(StreamEventReceived{sent.operation, 0, "b"});
    CHECK(harness.find<SendStreamEvent>()->bytes == "b");
    harness.send(StreamEnded{sent.operation, false});
    CHECK(harness.find<SendAttempt>() == nullptr);
    checkBroken(harness);
}

TEST_CASE("comments are passed on and are no events")
{
    EntryHarness harness(2);
    const SendAttempt sent = beginStream(harness, 1);
    harness.send(StreamEventReceived{sent.operation, 0, ":\n\n", true});
    CHECK(harness.find<SendStreamEvent>()->bytes == ":\n\n");
    harness.send(StreamEventReceived{sent.operation, 2, "two"});
    CHECK(harness.find<SendStreamEvent>()->bytes == "two");
}

TEST_CASE("a stream without the target's signature is not passed on")
{
    EntryHarness harness(2);
    harness.call(1, "/resume/x");
    const SendAttempt first = *harness.find<SendAttempt>();
    harness.send(StreamHeadReceived{first.operation, {200}, false});
    CHECK(harness.find<SendStreamHead>() == nullptr);
    CHECK(harness.find<CancelAttempt>() != nullptr);
    CHECK(harness.find<SendAttempt>() != nullptr);

    harness.call(2, "/stream/x");
    harness.send(StreamHeadReceived{harness.find<SendAttempt>()->operation, {200}, false});
    CHECK(harness.find<SendStreamHead>() == nullptr);
    REQUIRE(harness.find<AnswerEntryCall>() != nullptr);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 502);
}

TEST_CASE("a stream that ends without a mark is complete once a further attempt ends without event")
{
    EntryHarness harness(3);
    const SendAttempt first = beginStream(harness, 1);
    harness.send(StreamEnded{first.operation, true, false});
    CHECK(harness.find<EndStream>() == nullptr);
    REQUIRE(harness.find<SendAttempt>() != nullptr);
    const SendAttempt second = *harness.find<SendAttempt>();
    harness.receiveHead(second.operation);
    harness.send(StreamEnded{second.operation, true, false});
    REQUIRE(harness.find<EndStream>() != nullptr);
    CHECK(harness.find<EndStream>()->complete);
}

TEST_CASE("a stream that was given up for its silence gets twice the time at the next target")
{
    EntryHarness harness(3);
    harness.send(EntryDirectoryChanged{makeLongDirectory(3, 0ms)});
    harness.call(1, "/resume/x", 60s);
    const SendAttempt first = *harness.find<SendAttempt>();
    CHECK(first.silenceLimit == 2s);
    harness.receiveHead(first.operation);
    harness.now += 500ms;
    harness.send(StreamEnded{first.operation, false});
    const SendAttempt second = *harness.find<SendAttempt>();
    CHECK(second.silenceLimit == 2s);
    harness.now += second.silenceLimit;
    harness.fail(second.operation, EntryFailure::AnswerLost);
    CHECK(harness.find<SendAttempt>()->silenceLimit == 4s);
}

TEST_CASE("the limit of silence follows the objective of the route and the pauses of the target")
{
    EntryHarness harness(1);
    harness.send(EntryDirectoryChanged{makeLongDirectory(1, 800ms)});
    harness.call(1, "/stream/x", 60s);
    const SendAttempt sent = *harness.find<SendAttempt>();
    CHECK(sent.silenceLimit == 3200ms);
    harness.receiveHead(sent.operation);
    for (std::uint64_t event = 1; event <= 5; ++event) {
        harness.now += 1s;
        harness.send(StreamEventReceived{sent.operation, event, "event"});
    }
    harness.call(2, "/stream/x", 60s);
    CHECK(harness.find<SendAttempt>()->silenceLimit == 8s);
}

TEST_CASE("property: whatever targets answer, a stream is whole and in order, or ends as broken")
{
    constexpr std::uint64_t textLength = 5;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        EntryHarness harness(1 + random() % 4);
        std::map<OperationId, SendAttempt> open;
        std::uint64_t received = 0;
        int heads = 0;
        int ends = 0;
        bool isComplete = false;
        const auto collect = [&] {
            for (const EntryAction &action : harness.actions) {
                if (const auto *sent = std::get_if<SendAttempt>(&action))
                    open.emplace(sent->operation, *sent);
                if (const auto *cancel = std::get_if<CancelAttempt>(&action))
                    open.erase(cancel->operation);
                if (std::get_if<SendStreamHead>(&action) != nullptr)
                    ++heads;
                if (const auto *event = std::get_if<SendStreamEvent>(&action)) {
                    CHECK(ends == 0);
                    CHECK(event->bytes == std::to_string(++received));
                }
                if (const auto *end = std::get_if<EndStream>(&action)) {
                    CHECK(heads == 1);
                    ++ends;
                    isComplete = end->complete;
                }
                if (std::get_if<AnswerEntryCall>(&action) != nullptr) {
                    CHECK(heads == 0);
                    ++ends;
                }
            }
        };
        const auto isOpen = [&](OperationId operation) { return open.count(operation) != 0; };
        harness.call(1, "/resume/x");
        collect();
        while (ends == 0 && !open.empty()) {
            const SendAttempt sent = open.begin()->second;
            const bool sendsStream = random() % 3 != 0;
            if (sendsStream) {
                harness.receiveHead(sent.operation);
                collect();
                std::uint64_t event = sent.lastEventId;
                while (isOpen(sent.operation) && event < textLength && random() % 4 != 0) {
                    event += random() % 8 == 0 ? 2 : 1;
                    harness.send(StreamEventReceived{sent.operation, event, std::to_string(event)});
                    collect();
                }
                if (!isOpen(sent.operation))
                    continue;
                open.erase(sent.operation);
                harness.send(StreamEnded{sent.operation, event == textLength, random() % 2 == 0});
            } else {
                open.erase(sent.operation);
                const std::vector<std::uint32_t> statuses{200, 400, 404, 500, 503};
                const bool refuses = random() % 3 == 0;
                harness.answer(sent.operation, refuses ? 503 : statuses[random() % 5], refuses);
            }
            collect();
            for (int i = 0; i < 10 && open.empty() && ends == 0; ++i) {
                harness.advance(50ms);
                collect();
            }
        }
        if (ends == 0) {
            harness.advance(5s);
            collect();
        }
        CHECK(ends == 1);
        CHECK((!isComplete || received == textLength));
        CHECK(harness.state.requests.empty());
    }
}
