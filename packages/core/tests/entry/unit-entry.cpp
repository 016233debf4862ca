#include <geraniumpulley/core/entry/entry.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

DirectoryPointer makeDirectory(std::size_t targetCount)
{
    auto routing = std::make_shared<RoutingTable>();
    const auto add = [&](const std::string &prefix, RouteKind kind, std::uint32_t attempts) {
        Route route;
        route.host = "host";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.timeout = 1500ms;
        route.maxAttempts = attempts;
        route.shares = {{{"service"}, 1}};
        routing->routes.push_back(route);
    };
    add("/safe/", RouteKind::Repeatable, 3);
    add("/once/", RouteKind::OnceOnly, 3);
    add("/stream/", RouteKind::Stream, 2);
    add("/resume/", RouteKind::Stream, 3);
    routing->routes.back().resumable = true;
    auto targets = std::make_shared<TargetMap>();
    for (std::size_t i = 0; i < targetCount; ++i) {
        FleetTarget target;
        target.target = {{"t" + std::to_string(i)}, {"service"}, "", "", false};
        targets->emplace(target.target.id, target);
    }
    auto directory = std::make_shared<Directory>();
    directory->routing = routing;
    directory->targets = targets;
    return directory;
}

struct EntryWorld
{
    EntryState state = makeEntryState({}, 7);
    Time now = start;
    std::vector<EntryAction> actions;

    explicit EntryWorld(std::size_t targets)
    {
        this->send(EntryDirectoryChanged{makeDirectory(targets)});
    }

    void send(const EntryEvent &event) { this->actions = step(this->state, event, this->now); }

    void call(std::uint64_t reply, const std::string &path, Duration patience = 2s)
    {
        auto call = std::make_shared<EntryCall>();
        call->method = "POST";
        call->host = "host";
        call->target = path;
        call->requestId = "id" + std::to_string(reply);
        call->patience = patience;
        this->send(CallArrived{ReplyToken{reply}, call});
    }

    template<typename Action>
    const Action *find() const
    {
        for (const EntryAction &action : this->actions) {
            if (const auto *found = std::get_if<Action>(&action))
                return found;
        }
        return nullptr;
    }

    void answer(OperationId operation, std::uint32_t status, bool notExecuted = false)
    {
        AttemptAnswered answered;
        answered.operation = operation;
        answered.answer.status = status;
        answered.answer.body = "body";
        answered.notExecuted = notExecuted;
        answered.stamped = !notExecuted;
        answered.stamp = "stamp";
        this->send(answered);
    }

    void fail(OperationId operation, EntryFailure failure)
    {
        this->send(EntryAttemptFailed{operation, failure});
    }

    void wait(Duration span)
    {
        this->now += span;
        this->send(EntryTick{});
    }
};

} // namespace

TEST_CASE("a target's answer is passed on unchanged")
{
    EntryWorld world(2);
    world.call(1, "/safe/x");
    const auto *sent = world.find<SendAttempt>();
    REQUIRE(sent != nullptr);
    CHECK(sent->deadline == start + 1500ms);
    world.answer(sent->operation, 200);
    const auto *answer = world.find<AnswerEntry>();
    REQUIRE(answer != nullptr);
    CHECK(answer->answer.status == 200);
    CHECK(answer->answer.body == "body");
    CHECK(world.state.requests.empty());
    CHECK(world.state.load.empty());
}

TEST_CASE("without a routing table a request is unavailable, never unknown")
{
    EntryWorld world(1);
    world.state.directory = nullptr;
    world.call(1, "/safe/x");
    CHECK(world.find<AnswerEntry>()->answer.status == 503);
}

TEST_CASE("a request without a route is not found, one without a target is to come again")
{
    EntryWorld world(0);
    world.call(1, "/none/x");
    CHECK(world.find<AnswerEntry>()->answer.status == 404);
    world.call(2, "/safe/x");
    CHECK(world.find<AnswerEntry>()->answer.status == 503);
    CHECK(world.find<AnswerEntry>()->answer.retryAfter.has_value());
}

TEST_CASE("a repeatable request whose answer is lost goes to another target")
{
    EntryWorld world(2);
    world.call(1, "/safe/x");
    const SendAttempt first = *world.find<SendAttempt>();
    world.fail(first.operation, EntryFailure::Lost);
    const auto *second = world.find<SendAttempt>();
    REQUIRE(second != nullptr);
    CHECK(second->target.id != first.target.id);
}

TEST_CASE("a request that runs once only is not sent again after it may have run")
{
    EntryWorld world(3);
    world.call(1, "/once/x");
    CHECK_FALSE(world.find<SendAttempt>()->reuse);
    world.fail(world.find<SendAttempt>()->operation, EntryFailure::Lost);
    CHECK(world.find<SendAttempt>() == nullptr);
    CHECK(world.find<AnswerEntry>()->answer.status == 502);
}

TEST_CASE("a request that provably did not run goes on to another target, whatever its kind")
{
    EntryWorld world(3);
    world.call(1, "/once/x");
    world.fail(world.find<SendAttempt>()->operation, EntryFailure::NotSent);
    REQUIRE(world.find<SendAttempt>() != nullptr);
    world.answer(world.find<SendAttempt>()->operation, 503, true);
    REQUIRE(world.find<SendAttempt>() != nullptr);
    world.answer(world.find<SendAttempt>()->operation, 200);
    CHECK(world.find<AnswerEntry>()->answer.status == 200);
}

TEST_CASE("a failure that promises 'not run' without the target's word is not passed on as such")
{
    EntryWorld world(1);
    world.call(1, "/once/x");
    world.answer(world.find<SendAttempt>()->operation, 503, false);
    CHECK(world.find<AnswerEntry>()->answer.status == 502);
}

TEST_CASE("a success without the target's signature is not a success")
{
    EntryWorld world(1);
    world.call(1, "/once/x");
    AttemptAnswered answered;
    answered.operation = world.find<SendAttempt>()->operation;
    answered.answer.status = 200;
    world.send(answered);
    CHECK(world.find<AnswerEntry>()->answer.status == 502);
}

TEST_CASE("a silent target is overtaken by a second try, and the loser is broken off")
{
    EntryWorld world(2);
    world.call(1, "/safe/x");
    const SendAttempt first = *world.find<SendAttempt>();
    world.wait(300ms);
    const auto *second = world.find<SendAttempt>();
    REQUIRE(second != nullptr);
    CHECK(second->target.id != first.target.id);
    world.answer(second->operation, 200);
    CHECK(world.find<AnswerEntry>()->answer.status == 200);
    REQUIRE(world.find<CancelAttempt>() != nullptr);
    CHECK(world.find<CancelAttempt>()->operation == first.operation);
}

TEST_CASE("at the route's time limit a request gets its final answer")
{
    EntryWorld world(1);
    world.call(1, "/once/x", 5s);
    world.wait(1500ms);
    CHECK(world.find<AnswerEntry>()->answer.status == 504);
    CHECK(world.find<CancelAttempt>() != nullptr);
}

TEST_CASE("when the caller leaves, its attempts are broken off")
{
    EntryWorld world(1);
    world.call(1, "/safe/x");
    const OperationId operation = world.find<SendAttempt>()->operation;
    world.send(CallerLeft{ReplyToken{1}});
    REQUIRE(world.find<CancelAttempt>() != nullptr);
    world.fail(operation, EntryFailure::Lost);
    CHECK(world.actions.empty());
    CHECK(world.state.attempts.empty());
}

TEST_CASE("a repeatable request that fails everywhere gets the last target's own failure")
{
    EntryWorld world(3);
    world.call(1, "/safe/x");
    for (int i = 0; i < 3; ++i)
        world.answer(world.find<SendAttempt>()->operation, 500);
    CHECK(world.find<AnswerEntry>()->answer.status == 500);
    CHECK(world.find<AnswerEntry>()->attempts == 3);
}

TEST_CASE("targets that refuse are asked again after a pause, then the request is refused")
{
    EntryWorld world(1);
    world.call(1, "/safe/x", 1500ms);
    int sends = 0;
    while (world.find<AnswerEntry>() == nullptr) {
        if (const auto *sent = world.find<SendAttempt>()) {
            ++sends;
            world.answer(sent->operation, 503, true);
        } else {
            world.wait(20ms);
        }
    }
    CHECK(sends > 1);
    CHECK(world.find<AnswerEntry>()->answer.status == 503);
}

TEST_CASE("a stream that breaks off is cut, unless it may be resumed")
{
    EntryWorld world(2);
    world.call(1, "/stream/x");
    SendAttempt sent = *world.find<SendAttempt>();
    world.send(StreamOpened{sent.operation, {200}});
    CHECK(world.find<StreamHead>() != nullptr);
    world.send(StreamProgressed{sent.operation, 1, "one"});
    CHECK(world.find<StreamPiece>()->bytes == "one");
    world.send(StreamEnded{sent.operation, false});
    REQUIRE(world.find<StreamTail>() != nullptr);
    CHECK_FALSE(world.find<StreamTail>()->complete);

    world.call(2, "/resume/x");
    sent = *world.find<SendAttempt>();
    world.send(StreamOpened{sent.operation, {200}});
    world.send(StreamProgressed{sent.operation, 1, "one"});
    world.send(StreamEnded{sent.operation, false});
    const auto *again = world.find<SendAttempt>();
    REQUIRE(again != nullptr);
    CHECK(again->resumeAfter == 1);
    const OperationId operation = again->operation;
    world.send(StreamOpened{operation, {200}});
    CHECK(world.find<StreamHead>() == nullptr);
    world.send(StreamProgressed{operation, 1, "one"});
    CHECK(world.find<StreamPiece>() == nullptr);
    world.send(StreamProgressed{operation, 2, "two"});
    CHECK(world.find<StreamPiece>()->bytes == "two");
    world.send(StreamEnded{operation, true});
    CHECK(world.find<StreamTail>()->complete);
}

TEST_CASE("a score is the signature of a success; a failure of the scorer is told as such")
{
    EntryWorld world(1);
    const ScoreAsked asked{{"b"}, {"i"}, {"s", "host", "/safe/s", "x"}};
    world.send(asked);
    world.answer(world.find<SendAttempt>()->operation, 200);
    REQUIRE(world.find<ScoreEnded>() != nullptr);
    CHECK(world.find<ScoreEnded>()->outcome == ScoreEnded::Outcome::Scored);
    CHECK(world.find<ScoreEnded>()->score == "stamp");
    CHECK(world.find<AnswerEntry>() == nullptr);
    world.send(asked);
    for (int i = 0; i < 3 && world.find<SendAttempt>() != nullptr; ++i)
        world.answer(world.find<SendAttempt>()->operation, 500);
    REQUIRE(world.find<ScoreEnded>() != nullptr);
    CHECK(world.find<ScoreEnded>()->outcome == ScoreEnded::Outcome::Failed);
    CHECK(world.find<ScoreEnded>()->failuresAllowed == 3);
}

TEST_CASE("property: whatever targets do, each request gets one answer, none that runs once only "
          "runs twice, and a refusal is true")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        EntryWorld world(1 + random() % 4);
        std::map<OperationId, SendAttempt> open;
        std::map<std::string, int> ran;
        std::map<ReplyToken, int> answers;
        std::set<std::string> refused;
        std::map<std::string, bool> once;
        const auto take = [&] {
            for (const EntryAction &action : world.actions) {
                if (const auto *sent = std::get_if<SendAttempt>(&action))
                    open.emplace(sent->operation, *sent);
                if (const auto *answer = std::get_if<AnswerEntry>(&action)) {
                    ++answers[answer->reply];
                    if (answer->answer.status == 503)
                        refused.insert(answer->requestId);
                }
            }
        };
        const auto resolve = [&] {
            auto position = open.begin();
            std::advance(position, random() % open.size());
            const SendAttempt sent = position->second;
            open.erase(position);
            const std::string &id = sent.call->requestId;
            switch (random() % 5) {
            case 0:
                ++ran[id];
                return world.answer(sent.operation, 200);
            case 1:
                ++ran[id];
                return world.answer(sent.operation, 500);
            case 2:
                return world.answer(sent.operation, 503, true);
            case 3:
                return world.fail(sent.operation, EntryFailure::NotSent);
            default:
                ran[id] += static_cast<int>(random() % 2);
                return world.fail(sent.operation, EntryFailure::Lost);
            }
        };
        constexpr std::uint64_t requests = 30;
        for (std::uint64_t i = 1; i <= requests; ++i) {
            const bool isOnce = random() % 2 == 0;
            once["id" + std::to_string(i)] = isOnce;
            world.call(i, isOnce ? "/once/x" : "/safe/x", 1s);
            take();
            for (std::uint64_t j = random() % 4; j > 0 && !open.empty(); --j) {
                resolve();
                take();
            }
            world.wait(std::chrono::milliseconds(random() % 100));
            take();
        }
        while (!open.empty()) {
            resolve();
            take();
        }
        world.wait(10s);
        take();
        CHECK(answers.size() == requests);
        for (const auto &[reply, count] : answers)
            CHECK(count == 1);
        for (const auto &[id, count] : ran) {
            CHECK((!once[id] || count <= 1));
            CHECK((!once[id] || count == 0 || refused.count(id) == 0));
        }
        CHECK(world.state.requests.empty());
    }
}
