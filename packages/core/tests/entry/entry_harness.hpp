#pragma once

#include <geraniumpulley/core/entry/entry.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// A call duty with a virtual clock and a routing table for each kind of route.
namespace geraniumpulley::core::test {

using namespace std::chrono_literals;

inline const Time start{std::chrono::seconds(100)};

inline DirectoryPointer makeDirectory(std::size_t targetCount,
                                      const std::vector<SoftwareVersion> &software = {})
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
    add("/once/", RouteKind::AtMostOnce, 3);
    add("/stream/", RouteKind::Stream, 2);
    add("/resume/", RouteKind::Stream, 3);
    routing->routes.back().resumable = true;
    auto targets = std::make_shared<TargetMap>();
    for (std::size_t i = 0; i < targetCount; ++i) {
        FleetTarget target;
        target.target = {{"t" + std::to_string(i)}, {"service"}, "", "", false};
        if (i < software.size())
            target.software = software[i];
        targets->emplace(target.target.id, target);
    }
    auto directory = std::make_shared<Directory>();
    directory->routing = routing;
    directory->targets = targets;
    directory->storeClockOffset = Duration{};
    return directory;
}

struct EntryHarness
{
    EntryState state = makeEntryState({}, 7);
    Time now = start;
    std::vector<EntryAction> actions;

    explicit EntryHarness(std::size_t targets)
    {
        this->send(EntryDirectoryChanged{makeDirectory(targets)});
    }

    void send(const EntryEvent &event) { this->actions = step(this->state, event, this->now); }

    void call(std::uint64_t reply, const std::string &path, Duration timeout = 2s)
    {
        auto call = std::make_shared<EntryCall>();
        call->method = "POST";
        call->host = "host";
        call->target = path;
        call->requestId = "id" + std::to_string(reply);
        call->timeout = timeout;
        this->send(EntryCallReceived{ReplyToken{reply}, call});
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
        answered.hasSignature = !notExecuted;
        answered.signature = "stamp";
        this->send(answered);
    }

    void receiveHead(OperationId operation)
    {
        this->send(StreamHeadReceived{operation, {200}, true});
    }

    void fail(OperationId operation, EntryFailure failure)
    {
        this->send(EntryAttemptFailed{operation, failure});
    }

    void advance(Duration span)
    {
        this->now += span;
        this->send(EntryTick{});
    }
};

/// Starts a resumable stream and sends its first event to the client.
inline SendAttempt beginStream(EntryHarness &harness, std::uint64_t reply)
{
    harness.call(reply, "/resume/x");
    SendAttempt sent = *harness.find<SendAttempt>();
    harness.receiveHead(sent.operation);
    harness.send(StreamEventReceived{sent.operation, 1, "one"});
    return sent;
}

} // namespace geraniumpulley::core::test
