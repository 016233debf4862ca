#include "world.hpp"

#include <geraniumpulley/codec/claim_messages.hpp>

#include <fmt/format.h>

/// Performs the actions of the dispatch duty, as node/dispatch_duty does.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration lastAnswers = std::chrono::milliseconds(10);
constexpr Duration serviceTime = std::chrono::milliseconds(5);

core::AttemptFailure toAttemptFailure(ExchangeFailure failure)
{
    return failure == ExchangeFailure::NotSent ? core::AttemptFailure::NotSent
                                               : core::AttemptFailure::Lost;
}

// The callers' bodies are the identities of what they ask for, so that the ledger can count runs.
void runCall(World &world, TargetProcess &target, const core::Call &call,
             const std::function<void(const std::string &)> &finish)
{
    ++target.workTaken;
    const std::uint64_t run = ++target.ledger[call.body];
    world.simulation.record(fmt::format("{} runs {} (run {})", target.name, call.body, run));
    const Duration delay = world.simulation.jitter(serviceTime) + target.slowness;
    world.simulation.after(delay, [&world, &target, incarnation = target.incarnation, finish,
                                   body = "answer to " + call.body] {
        world.post(target, incarnation, [finish, body] { finish(body); });
    });
}

core::DispatchEvent claimsEvent(core::OperationId operation, core::CommitResult result)
{
    if (result == core::CommitResult::Committed)
        return core::ClaimsCommitted{operation};
    if (result == core::CommitResult::Refused)
        return core::ClaimsRefused{operation};
    return core::ClaimsUncertain{operation};
}

std::optional<std::vector<core::ClaimRow>>
decodeRows(const std::optional<std::vector<geraniumpulley::codec::TableRow>> &rows)
{
    if (!rows)
        return std::nullopt;
    std::vector<core::ClaimRow> decoded;
    for (const auto &row : *rows) {
        auto claim = codec::decodeClaimRow(row);
        if (!claim)
            return std::nullopt;
        decoded.push_back(claim.value());
    }
    return decoded;
}

core::DispatchEvent attemptResult(core::OperationId operation, AnswerFault fault,
                                  const std::string &body)
{
    if (fault == AnswerFault::Short)
        return core::AttemptFailed{operation, core::AttemptFailure::Lost};
    return core::TargetAnswered{operation, 200, "text/plain", body};
}

} // namespace

void World::call(const std::string &name, const std::string &node, core::Call call,
                 Duration timeout)
{
    CallRecord &record = this->calls[name];
    record.identity = call.body;
    const auto finish = [this, name](const std::string &outcome, const std::string &reason,
                                     const std::string &body) {
        CallRecord &finished = this->calls[name];
        finished.outcome = outcome;
        finished.reason = reason;
        finished.body = body;
        finished.runsAtAnswer = this->runsOf(finished.identity);
        this->simulation.record(fmt::format("caller: {} is {} ({})", name, outcome, reason));
    };
    this->simulation.record(fmt::format("caller -> {}: {} {} {}{}", node, name, call.method,
                                        call.service.value, call.path));
    NodeProcess &process = this->node(node);
    const Time giveUp = this->simulation.now + timeout + std::chrono::seconds(2);
    this->exchange(
            this->client, node, giveUp,
            {[this, &process, call = std::move(call), timeout, finish](const Answer &answer) {
                 const core::ReplyToken token = this->makeToken();
                 this->callReplies[token] = [answer, finish](const core::CallAnswer &reply) {
                     answer([finish, reply] {
                         finish(std::string(core::nameOf(reply.outcome)),
                                std::string(core::nameOf(reply.reason)), reply.body);
                     });
                 };
                 this->deliver(process,
                               core::DispatchEvent{core::CallReceived{
                                       token, call, this->simulation.now + timeout, false}});
             },
             [finish](ExchangeFailure failure) {
                 finish(failure == ExchangeFailure::NotSent ? "refused" : "lost", "connection", {});
             }});
}

void perform(World &world, NodeProcess &node, const core::SendToTarget &action)
{
    TargetProcess &target = world.target(action.target.id.value);
    const auto report = [&world, &node, operation = action.operation](AnswerFault fault,
                                                                      const std::string &body) {
        world.deliver(node, attemptResult(operation, fault, body));
        if (fault == AnswerFault::Doubled)
            world.deliver(node, attemptResult(operation, fault, body));
    };
    world.simulation.record(fmt::format("{} -> {}: {}", node.name, target.name, action.call.body));
    world.exchange(
            node, target.name, action.deadline,
            {[&world, &target, call = action.call, report](const Answer &answer) {
                 runCall(world, target, call, [&target, answer, report](const auto &body) {
                     if (target.fault != AnswerFault::Lost)
                         answer([report, fault = target.fault, body] { report(fault, body); });
                 });
             },
             [&world, &node, operation = action.operation](ExchangeFailure failure) {
                 world.deliver(node, core::DispatchEvent{core::AttemptFailed{
                                             operation, toAttemptFailure(failure)}});
             }});
}

void perform(World &world, NodeProcess &node, const core::ForwardCall &action)
{
    world.simulation.record(
            fmt::format("{} -> {}: forward {}", node.name, action.node.address, action.call.body));
    NodeProcess &peer = world.node(action.node.address);
    const auto report = [&world, &node, operation = action.operation](const auto &answer) {
        world.deliver(node, core::DispatchEvent{core::PeerAnswered{operation, answer}});
    };
    world.exchange(node, peer.name, action.deadline,
                   {[&world, &peer, call = action.call, deadline = action.deadline,
                     report](const Answer &answer) {
                        const core::ReplyToken token = world.makeToken();
                        world.callReplies[token] = [answer, report](const core::CallAnswer &reply) {
                            answer([report, reply] { report(reply); });
                        };
                        world.deliver(peer, core::DispatchEvent{core::CallReceived{
                                                    token, call, deadline, true}});
                    },
                    [&world, &node, operation = action.operation](ExchangeFailure failure) {
                        world.deliver(node, core::DispatchEvent{core::AttemptFailed{
                                                    operation, toAttemptFailure(failure)}});
                    }});
}

void perform(World &world, NodeProcess &node, const core::AnswerCall &action)
{
    world.simulation.record(fmt::format("{} answers {} ({})", node.name,
                                        core::nameOf(action.answer.outcome),
                                        core::nameOf(action.answer.reason)));
    const auto reply = world.callReplies.extract(action.reply);
    if (!reply.empty())
        reply.mapped()(action.answer);
}

void perform(World &world, NodeProcess &node, const core::CommitClaims &action)
{
    world.simulation.record(fmt::format("{} -> store: {} claims and {} answers of {}", node.name,
                                        action.row.claims.size(), action.row.answers.size(),
                                        core::nameOf(action.shard)));
    world.store.transact(codec::claimTransaction(action),
                         [&world, &node, operation = action.operation,
                          incarnation = node.incarnation](core::CommitResult result) {
                             world.post(node, incarnation, [&world, &node, operation, result] {
                                 world.deliver(node, claimsEvent(operation, result));
                             });
                         });
}

void perform(World &world, NodeProcess &node, const core::ReadClaimRow &action)
{
    world.store.readRow(action.key, [&world, &node, operation = action.operation,
                                     incarnation = node.incarnation](const auto &rows) {
        core::DispatchEvent event = core::ClaimsUncertain{operation};
        const auto decoded = decodeRows(rows);
        if (decoded && decoded->empty())
            event = core::ClaimRowRead{operation, std::nullopt};
        else if (decoded)
            event = core::ClaimRowRead{operation, decoded->front()};
        world.post(node, incarnation, [&world, &node, event] { world.deliver(node, event); });
    });
}

void perform(World &world, NodeProcess &node, const core::LoadClaims &action)
{
    world.store.read(codec::claimPrefix(action.shard), [&world, &node, action,
                                                        incarnation = node.incarnation](
                                                               const auto &rows) {
        core::DispatchEvent event = core::ClaimsLoadFailed{action.operation, action.shard};
        if (const auto decoded = decodeRows(rows))
            event = core::ClaimsLoaded{action.operation, action.shard, *decoded};
        world.post(node, incarnation, [&world, &node, event] { world.deliver(node, event); });
    });
}

// The process ends once the answers that are decided have left.
void perform(World &world, NodeProcess &node, const core::DispatchDrained &)
{
    world.simulation.record(node.name + " log: event=calls_drained");
    node.drained = true;
    world.simulation.after(lastAnswers, [&world, &node, incarnation = node.incarnation] {
        world.post(node, incarnation, [&world, &node] { world.kill(node.name); });
    });
}

} // namespace scenario
