#include "cluster.hpp"

#include <geraniumpulley/codec/claim_messages.hpp>

#include <fmt/format.h>

/// Performs the actions of the dispatch duty, as `node/dispatch_duty` does for a real node.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration finalAnswerDelay = std::chrono::milliseconds(10);
constexpr Duration minServiceTime = std::chrono::milliseconds(5);

core::AttemptFailure toAttemptFailure(ExchangeFailure failure)
{
    return failure == ExchangeFailure::NotSent ? core::AttemptFailure::NotSent
                                               : core::AttemptFailure::AnswerLost;
}

// The body of a call is its identity, under which the target counts the runs.
void runCall(Cluster &cluster, TargetProcess &target, const core::Call &call,
             const std::function<void(const std::string &)> &finish)
{
    ++target.requestCount;
    const std::uint64_t runNumber = ++target.runCounts[call.body];
    cluster.simulation.record(
            fmt::format("{} runs {} (run {})", target.name, call.body, runNumber));
    const Duration delay = cluster.simulation.jitter(minServiceTime) + target.extraLatency;
    cluster.simulation.scheduleAfter(delay, [&cluster, &target, incarnation = target.incarnation,
                                             finish, body = "answer to " + call.body] {
        cluster.post(target, incarnation, [finish, body] { finish(body); });
    });
}

core::DispatchEvent toClaimsEvent(core::OperationId operation, core::CommitResult result)
{
    if (result == core::CommitResult::Committed)
        return core::ClaimsCommitted{operation};
    if (result == core::CommitResult::Refused)
        return core::ClaimsCommitRefused{operation};
    return core::ClaimsCommitUncertain{operation};
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

core::DispatchEvent toAttemptEvent(core::OperationId operation, AnswerFault fault,
                                   const std::string &body)
{
    if (fault == AnswerFault::Truncated)
        return core::AttemptFailed{operation, core::AttemptFailure::AnswerLost};
    return core::TargetAnswered{operation, 200, "text/plain", body};
}

} // namespace

void Cluster::call(const std::string &name, const std::string &node, core::Call call,
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
        finished.runCountAtAnswer = this->runCount(finished.identity);
        this->simulation.record(fmt::format("caller: {} is {} ({})", name, outcome, reason));
    };
    this->simulation.record(fmt::format("caller -> {}: {} {} {}{}", node, name, call.method,
                                        call.service.value, call.path));
    NodeProcess &process = this->node(node);
    const Time clientDeadline = this->simulation.now + timeout + std::chrono::seconds(2);
    this->sendRequest(
            this->client, node, clientDeadline,
            {[this, &process, call = std::move(call), timeout, finish](const Responder &respond) {
                 const core::ReplyToken token = this->makeReplyToken();
                 this->callReplies[token] = [respond, finish](const core::CallAnswer &reply) {
                     respond([finish, reply] {
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

void perform(Cluster &cluster, NodeProcess &node, const core::SendToTarget &action)
{
    TargetProcess &target = cluster.target(action.target.id.value);
    const auto report = [&cluster, &node, operation = action.operation](AnswerFault fault,
                                                                        const std::string &body) {
        cluster.deliver(node, toAttemptEvent(operation, fault, body));
        if (fault == AnswerFault::Duplicated)
            cluster.deliver(node, toAttemptEvent(operation, fault, body));
    };
    cluster.simulation.record(
            fmt::format("{} -> {}: {}", node.name, target.name, action.call.body));
    cluster.sendRequest(node, target.name, action.deadline,
                        {[&cluster, &target, call = action.call, report](const Responder &respond) {
                             runCall(cluster, target, call,
                                     [&target, respond, report](const auto &body) {
                                         if (target.answerFault != AnswerFault::Lost)
                                             respond([report, fault = target.answerFault, body] {
                                                 report(fault, body);
                                             });
                                     });
                         },
                         [&cluster, &node, operation = action.operation](ExchangeFailure failure) {
                             cluster.deliver(node, core::DispatchEvent{core::AttemptFailed{
                                                           operation, toAttemptFailure(failure)}});
                         }});
}

void perform(Cluster &cluster, NodeProcess &node, const core::ForwardCall &action)
{
    cluster.simulation.record(
            fmt::format("{} -> {}: forward {}", node.name, action.node.address, action.call.body));
    NodeProcess &peer = cluster.node(action.node.address);
    const auto report = [&cluster, &node, operation = action.operation](const auto &answer) {
        cluster.deliver(node, core::DispatchEvent{core::PeerAnswered{operation, answer}});
    };
    cluster.sendRequest(
            node, peer.name, action.deadline,
            {[&cluster, &peer, call = action.call, deadline = action.deadline,
              report](const Responder &respond) {
                 const core::ReplyToken token = cluster.makeReplyToken();
                 cluster.callReplies[token] = [respond, report](const core::CallAnswer &reply) {
                     respond([report, reply] { report(reply); });
                 };
                 cluster.deliver(peer, core::DispatchEvent{
                                               core::CallReceived{token, call, deadline, true}});
             },
             [&cluster, &node, operation = action.operation](ExchangeFailure failure) {
                 cluster.deliver(node, core::DispatchEvent{core::AttemptFailed{
                                               operation, toAttemptFailure(failure)}});
             }});
}

void perform(Cluster &cluster, NodeProcess &node, const core::AnswerCall &action)
{
    cluster.simulation.record(fmt::format("{} answers {} ({})", node.name,
                                          core::nameOf(action.answer.outcome),
                                          core::nameOf(action.answer.reason)));
    const auto reply = cluster.callReplies.extract(action.reply);
    if (!reply.empty())
        reply.mapped()(action.answer);
}

void perform(Cluster &cluster, NodeProcess &node, const core::CommitClaims &action)
{
    cluster.simulation.record(fmt::format("{} -> store: {} claims and {} answers of {}", node.name,
                                          action.row.claims.size(), action.row.answers.size(),
                                          core::nameOf(action.shard)));
    cluster.store.transact(codec::claimTransaction(action),
                           [&cluster, &node, operation = action.operation,
                            incarnation = node.incarnation](core::CommitResult result) {
                               cluster.post(
                                       node, incarnation, [&cluster, &node, operation, result] {
                                           cluster.deliver(node, toClaimsEvent(operation, result));
                                       });
                           });
}

void perform(Cluster &cluster, NodeProcess &node, const core::ReadClaimRow &action)
{
    cluster.store.readRow(action.key, [&cluster, &node, operation = action.operation,
                                       incarnation = node.incarnation](const auto &rows) {
        core::DispatchEvent event = core::ClaimsCommitUncertain{operation};
        const auto decoded = decodeRows(rows);
        if (decoded && decoded->empty())
            event = core::ClaimRowRead{operation, std::nullopt};
        else if (decoded)
            event = core::ClaimRowRead{operation, decoded->front()};
        cluster.post(node, incarnation, [&cluster, &node, event] { cluster.deliver(node, event); });
    });
}

// Targets of these scenarios close no connections.
void perform(Cluster &, NodeProcess &, const core::ProbeTargets &) { }

void perform(Cluster &cluster, NodeProcess &node, const core::LoadClaims &action)
{
    cluster.store.readPrefix(codec::claimRowPrefix(action.shard), [&cluster, &node, action,
                                                                   incarnation = node.incarnation](
                                                                          const auto &rows) {
        core::DispatchEvent event = core::ClaimsLoadFailed{action.operation, action.shard};
        if (const auto decoded = decodeRows(rows))
            event = core::ClaimsLoaded{action.operation, action.shard, *decoded};
        cluster.post(node, incarnation, [&cluster, &node, event] { cluster.deliver(node, event); });
    });
}

// Ends the process after a delay, so that answers that are already decided are still sent.
void perform(Cluster &cluster, NodeProcess &node, const core::DispatchDrained &)
{
    cluster.simulation.record(node.name + " log: event=calls_drained");
    node.drained = true;
    cluster.simulation.scheduleAfter(
            finalAnswerDelay, [&cluster, &node, incarnation = node.incarnation] {
                cluster.post(node, incarnation, [&cluster, &node] { cluster.kill(node.name); });
            });
}

} // namespace scenario
