#include <geraniumpulley/core/entry/entry.hpp>
#include <geraniumpulley/core/limits/rate_limiter.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};
constexpr Duration networkDelay = 1500us;
constexpr Duration serviceTime = 25ms;
constexpr Duration permitReplyTimeout = 100ms;
constexpr Duration window = 4s;
constexpr Duration knownAfter = 500ms;

// Entry duties of several nodes before targets that state a rate limit, on a virtual clock.
struct LimitedService
{
    struct Event
    {
        Time at{};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Event &other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    LimitedService(std::size_t nodeCount, std::size_t targetCount, double limitPerSecond)
        : limit{limitPerSecond}
    {
        auto routing = std::make_shared<RoutingTable>();
        Route route;
        route.host = "host";
        route.pathPrefix = "/";
        route.kind = RouteKind::Repeatable;
        route.timeout = 2s;
        route.latencyObjective = 150ms;
        route.maxAttempts = 3;
        route.shares = {{{"service"}, 1}};
        routing->routes = {route};
        auto targets = std::make_shared<TargetMap>();
        for (std::size_t i = 0; i < targetCount; ++i) {
            FleetTarget target;
            target.target = {{"t" + std::to_string(i)}, {"service"}, "", "", false};
            targets->emplace(target.target.id, target);
        }
        this->presence = makePresence({"n0"}, {}, start);
        for (std::size_t i = 0; i < nodeCount; ++i) {
            NodeHeartbeat heartbeat;
            heartbeat.node.id = {"n" + std::to_string(i)};
            recordHeartbeat(this->presence, heartbeat, start);
            this->nodes.push_back(makeEntryState({}, i));
            this->ticksAt.emplace_back();
        }
        this->limiters.resize(nodeCount);
        auto directory = std::make_shared<Directory>();
        directory->routing = routing;
        directory->targets = targets;
        for (std::size_t i = 0; i < nodeCount; ++i)
            this->deliver(i, EntryDirectoryChanged{directory});
    }

    void schedule(Duration delay, std::function<void()> run)
    {
        this->events.push({this->now + delay, ++this->eventCount, std::move(run)});
    }

    void runUntil(Time end)
    {
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.run();
        }
        this->now = end;
    }

    // A Poisson process of clients' calls at one node.
    void press(std::size_t node, double callsPerSecond, Time end)
    {
        std::exponential_distribution<double> gap(callsPerSecond);
        const auto delay = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(gap(this->random)));
        if (this->now + delay > end)
            return;
        this->schedule(delay, [this, node, callsPerSecond, end] {
            auto call = std::make_shared<EntryCall>();
            call->host = "host";
            call->target = "/x";
            call->timeout = 2s;
            this->deliver(node, EntryCallReceived{ReplyToken{++this->callCount}, call});
            this->press(node, callsPerSecond, end);
        });
    }

    void deliver(std::size_t node, const EntryEvent &event)
    {
        for (EntryAction &action : step(this->nodes[node], event, this->now))
            std::visit([&](auto &content) { this->perform(node, content); }, action);
        const auto due = dueAt(this->nodes[node]);
        if (!due || this->ticksAt[node] == due)
            return;
        this->ticksAt[node] = due;
        this->schedule(std::max(*due - this->now, Duration{}), [this, node] {
            this->ticksAt[node].reset();
            this->deliver(node, EntryTick{});
        });
    }

    void perform(std::size_t node, const SendAttempt &attempt)
    {
        this->schedule(networkDelay, [this, node, attempt] {
            const auto told = this->toldAt.find({node, attempt.target.id});
            if (told != this->toldAt.end() && this->now - told->second >= knownAfter)
                this->received[attempt.target.id].push_back(this->now);
            this->schedule(serviceTime + networkDelay, [this, node, attempt] {
                AttemptAnswered answered;
                answered.operation = attempt.operation;
                answered.answer.status = 200;
                answered.hasSignature = true;
                answered.rateLimit = this->limit;
                this->toldAt.emplace(std::pair(node, attempt.target.id), this->now);
                this->deliver(node, answered);
            });
        });
    }

    void perform(std::size_t node, const RequestPermits &request)
    {
        const auto limiter = limiterOf(this->presence, request.target, request.limiterRank, start);
        const std::size_t index = std::stoul(limiter->id.value.substr(1));
        const PermitRequest message{request.target, "n" + std::to_string(node), request.limit,
                                    request.count, request.maxWait};
        if (index != node)
            ++this->permitMessages[index];
        if (this->unreachable.count(index) != 0 && index != node) {
            return this->schedule(permitReplyTimeout, [this, node, message] {
                this->deliver(node, PermitsReceived{message.target, std::nullopt});
            });
        }
        this->schedule(networkDelay, [this, node, index, message] {
            const PermitGrant grant = grantPermits(this->limiters[index], message, this->now);
            this->schedule(networkDelay, [this, node, message, grant] {
                this->deliver(node, PermitsReceived{message.target, grant});
            });
        });
    }

    void perform(std::size_t, const AnswerEntryCall &answer)
    {
        answer.verdict == EntryVerdict::Served ? ++this->served : ++this->refused;
    }

    template<typename Action>
    void perform(std::size_t, const Action &)
    {
    }

    // The largest number of requests that one target has received within the window, from a time
    // on.
    std::size_t mostInWindow(Time from) const
    {
        std::size_t most = 0;
        for (const auto &[target, times] : this->received) {
            for (auto first = std::lower_bound(times.begin(), times.end(), from);
                 first != times.end(); ++first) {
                const auto last = std::lower_bound(first, times.end(), *first + window);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    std::size_t receivedSince(Time from) const
    {
        std::size_t count = 0;
        for (const auto &[target, times] : this->received)
            count += static_cast<std::size_t>(times.end()
                                              - std::lower_bound(times.begin(), times.end(), from));
        return count;
    }

    RequestRate limit;
    Time now = start;
    std::mt19937_64 random{7};
    Presence presence;
    std::vector<EntryState> nodes;
    std::vector<RateLimiter> limiters;
    std::vector<std::optional<Time>> ticksAt;
    std::set<std::size_t> unreachable;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t eventCount = 0;
    std::uint64_t callCount = 0;
    std::map<std::pair<std::size_t, TargetId>, Time> toldAt;
    /// Requests from nodes that have known the target's limit for a while.
    std::map<TargetId, std::vector<Time>> received;
    std::map<std::size_t, std::size_t> permitMessages;
    std::size_t served = 0;
    std::size_t refused = 0;
};

// What the users allow a target to receive: one and a half times its limit, and five requests.
std::size_t mostAllowed(double limitPerSecond)
{
    return static_cast<std::size_t>(1.5 * limitPerSecond * 4) + 5;
}

constexpr Duration contactTime = 3s;

} // namespace

TEST_CASE("targets that state a limit get no more than that from ten nodes, and hardly less")
{
    constexpr double limit = 6;
    LimitedService service(10, 3, limit);
    for (std::size_t node = 0; node < 10; ++node)
        service.press(node, 8, start + 30s);
    service.runUntil(start + 30s);
    CHECK(service.mostInWindow(start + contactTime) <= mostAllowed(limit));
    CHECK(static_cast<double>(service.receivedSince(start + 5s)) >= 0.8 * 3 * limit * 25);
    CHECK(service.refused > 0);
}

TEST_CASE("a node with nearly all requests gets nearly the whole limit")
{
    constexpr double limit = 6;
    LimitedService service(10, 1, limit);
    service.press(4, 40, start + 30s);
    service.press(5, 0.5, start + 30s);
    service.runUntil(start + 30s);
    CHECK(service.mostInWindow(start + contactTime) <= mostAllowed(limit));
    CHECK(static_cast<double>(service.receivedSince(start + 5s)) >= 0.8 * limit * 25);
}

TEST_CASE("a limit holds though its limiter does not reply to other nodes")
{
    constexpr double limit = 6;
    LimitedService service(10, 1, limit);
    service.unreachable.insert(
            std::stoul(limiterOf(service.presence, {"t0"}, 0, start)->id.value.substr(1)));
    for (std::size_t node = 0; node < 10; ++node)
        service.press(node, 8, start + 20s);
    service.runUntil(start + 20s);
    CHECK(service.mostInWindow(start + contactTime) <= mostAllowed(limit));
    CHECK(service.receivedSince(start + 5s) > 0);
}

TEST_CASE("340 nodes keep one target's limit, and its limiter gets few messages")
{
    constexpr double limit = 10;
    constexpr std::size_t nodeCount = 340;
    constexpr std::size_t maxBytesPerSecond = 3000;
    constexpr std::size_t bytesPerExchange = 124;
    LimitedService service(nodeCount, 1, limit);
    for (std::size_t node = 0; node < nodeCount; ++node)
        service.press(node, 0.1, start + 20s);
    service.runUntil(start + 20s);
    CHECK(service.mostInWindow(start + contactTime) <= mostAllowed(limit));
    CHECK(static_cast<double>(service.receivedSince(start + 5s)) >= 0.8 * limit * 15);
    for (const auto &[node, messages] : service.permitMessages)
        CHECK(messages * bytesPerExchange <= maxBytesPerSecond * 20);
}
