#include "dispatch_duty.hpp"

#include "platform_replies.hpp"

#include <geraniumpulley/codec/claim_messages.hpp>
#include <geraniumpulley/codec/peer_messages.hpp>
#include <geraniumpulley/codec/target_messages.hpp>
#include <geraniumpulley/net/target_probe.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

constexpr core::Duration probeTimeout = std::chrono::milliseconds(300);

core::AttemptFailure toAttemptFailure(net::SendFailure failure)
{
    return failure == net::SendFailure::NotSent ? core::AttemptFailure::NotSent
                                                : core::AttemptFailure::AnswerLost;
}

struct DispatchDuty
{
    Parts &parts;
    core::DispatchState state;

    void handle(const core::DispatchEvent &event)
    {
        for (core::DispatchAction &action : core::step(this->state, event, runtime::now()))
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
    }

    void perform(core::SendToTarget &&send)
    {
        net::HttpRequest request;
        request.address = send.target.address;
        request.method = send.call.method;
        request.target = send.call.path;
        request.contentType = send.call.contentType;
        request.body = std::move(send.call.body);
        request.requestId =
                fmt::format("{}-{}", this->state.self.value, core::number(send.operation));
        request.deadline = send.deadline;
        request.done = [this, operation = send.operation](net::HttpResult &&result) {
            this->push(toAttemptResult(operation, std::move(result)));
        };
        this->parts.targetClient->send(std::move(request));
    }

    static core::DispatchEvent toAttemptResult(core::OperationId operation,
                                               net::HttpResult &&result)
    {
        if (result.failure != net::SendFailure::None)
            return core::AttemptFailed{operation, toAttemptFailure(result.failure),
                                       result.closedByServer};
        return core::TargetAnswered{operation, result.status, std::move(result.contentType),
                                    std::move(result.body)};
    }

    void perform(core::ForwardCall &&forward)
    {
        const codec::ForwardedCall message{std::move(forward.call),
                                           forward.deadline - runtime::now()};
        this->parts.peerLink->send({forward.node.address, "/call", codec::encodePeer(message),
                                    forward.deadline,
                                    [this, operation = forward.operation](net::PeerReply &&reply) {
                                        this->push(toForwardResult(operation, reply));
                                    }});
    }

    static core::DispatchEvent toForwardResult(core::OperationId operation,
                                               const net::PeerReply &reply)
    {
        if (reply.failure != net::SendFailure::None)
            return core::AttemptFailed{operation, toAttemptFailure(reply.failure)};
        const auto answer = codec::decodeCallAnswer(reply.body);
        if (!answer)
            return core::AttemptFailed{operation, core::AttemptFailure::AnswerLost};
        return core::PeerAnswered{operation, answer.value()};
    }

    void perform(core::AnswerCall &&answer)
    {
        this->parts.metrics.count(
                fmt::format("call_answers_{}", core::nameOf(answer.answer.outcome)));
        if (answer.forwarded)
            this->parts.peerLink->reply(answer.reply, codec::encodePeer(answer.answer));
        else
            this->parts.callerServer->respond(toServerResponse(answer.reply, answer.answer));
    }

    void perform(core::CommitClaims &&commit)
    {
        this->parts.metrics.count("claim_commits");
        const std::string body = codec::encodeTransaction(codec::claimTransaction(commit));
        this->parts.platformClient->send(
                {"POST", "/table/transact", body,
                 [this, operation = commit.operation](net::PlatformReply &&reply) {
                     this->push(toCommitResult(operation, reply));
                 }});
    }

    static core::DispatchEvent toCommitResult(core::OperationId operation,
                                              const net::PlatformReply &reply)
    {
        if (isOk(reply))
            return core::ClaimsCommitted{operation};
        if (isConflict(reply))
            return core::ClaimsCommitRefused{operation};
        return core::ClaimsCommitUncertain{operation};
    }

    void perform(core::ReadClaimRow &&read)
    {
        this->parts.platformClient->send(
                {"GET",
                 "/table/rows?key=" + read.key,
                 {},
                 [this, operation = read.operation](net::PlatformReply &&reply) {
                     this->push(toReadResult(operation, reply));
                 }});
    }

    static core::DispatchEvent toReadResult(core::OperationId operation,
                                            const net::PlatformReply &reply)
    {
        if (!isOk(reply))
            return core::ClaimsCommitUncertain{operation};
        auto rows = codec::decodeClaimRows(reply.body);
        if (!rows)
            return core::ClaimsCommitUncertain{operation};
        if (rows.value().empty())
            return core::ClaimRowRead{operation, std::nullopt};
        return core::ClaimRowRead{operation, std::move(rows.value().front())};
    }

    void perform(core::LoadClaims &&load)
    {
        this->parts.platformClient->send({"GET",
                                          "/table/rows?prefix=" + codec::claimRowPrefix(load.shard),
                                          {},
                                          [this, load](net::PlatformReply &&reply) {
                                              this->push(this->toLoadResult(load, reply));
                                          }});
    }

    core::DispatchEvent toLoadResult(const core::LoadClaims &load, const net::PlatformReply &reply)
    {
        if (!isOk(reply))
            return core::ClaimsLoadFailed{load.operation, load.shard};
        auto rows = codec::decodeClaimRows(reply.body);
        if (!rows) {
            this->parts.logger.write("claims_malformed",
                                     runtime::field("shard", core::nameOf(load.shard)));
            return core::ClaimsLoadFailed{load.operation, load.shard};
        }
        return core::ClaimsLoaded{load.operation, load.shard, std::move(rows.value())};
    }

    void perform(core::ProbeTargets &&probe)
    {
        this->parts.metrics.count("crash_checks");
        net::probeTargets(*this->parts.targetClient, probe, probeTimeout,
                          [this](core::TargetsProbed &&probed) { this->push(std::move(probed)); });
    }

    void perform(core::DispatchDrained &&)
    {
        this->parts.logger.write("calls_drained");
        this->parts.callsDrained.set();
    }

    void push(core::DispatchEvent event) { this->parts.dispatch.deliver(std::move(event)); }
};

} // namespace

void startDispatchDuty(Parts &parts, const core::Node &self)
{
    const std::string writerId = fmt::format("{}-{}", self.id.value, self.incarnation);
    auto duty = std::make_shared<DispatchDuty>(
            DispatchDuty{parts, core::makeDispatchState(self.id, writerId)});
    parts.dispatch.start("dispatch", [duty](core::DispatchEvent &&event) { duty->handle(event); });
}

net::ServerResponse toServerResponse(core::ReplyToken reply, const core::CallAnswer &answer)
{
    net::ServerResponse response;
    response.token = reply;
    response.status = answer.status;
    response.headers = {{"X-Outcome", std::string(core::nameOf(answer.outcome))},
                        {"X-Reason", std::string(core::nameOf(answer.reason))}};
    if (answer.outcome == core::Outcome::Ran) {
        response.contentType = answer.contentType;
        response.body = answer.body;
    } else {
        response.body = codec::encodeRefusal(answer);
    }
    return response;
}

} // namespace geraniumpulley::node
