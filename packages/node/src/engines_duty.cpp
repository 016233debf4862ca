#include "engines_duty.hpp"

#include "platform_replies.hpp"

#include <geraniumpulley/codec/engine_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

using runtime::field;

constexpr core::Duration loadPollTimeout = std::chrono::seconds(1);
constexpr core::Duration weightOrderTimeout = std::chrono::seconds(60);
constexpr core::Duration peerTimeout = std::chrono::seconds(2);
constexpr std::uint32_t statusOk = 200;

std::uint32_t httpStatus(core::WeightsVerdict verdict)
{
    switch (verdict) {
    case core::WeightsVerdict::Accepted:
        return statusOk;
    case core::WeightsVerdict::Lower:
        return 409;
    case core::WeightsVerdict::UnknownModel:
        return 404;
    case core::WeightsVerdict::Unknown:
        return 503;
    }
    return 500;
}

struct EnginesDuty
{
    Parts &parts;
    core::EnginesState state;
    std::uint64_t requestCount = 0;

    void handle(const core::EnginesEvent &event)
    {
        for (core::EnginesAction &action : core::step(this->state, event, runtime::now()))
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
    }

    net::HttpRequest makeRequest(const core::Target &target, const char *method, const char *path)
    {
        ++this->requestCount;
        net::HttpRequest request;
        request.address = target.address;
        request.method = method;
        request.target = path;
        request.contentType = "application/json";
        request.requestId =
                fmt::format("{}-engines-{}", this->state.settings.self.value, this->requestCount);
        return request;
    }

    void perform(core::PollLoad &&poll)
    {
        net::HttpRequest request = this->makeRequest(poll.target, "GET", "/load");
        request.deadline = runtime::now() + loadPollTimeout;
        request.done = [this, target = poll.target.id](net::HttpResult &&result) {
            this->push(this->toLoadResult(target, result));
        };
        this->parts.targetClient->send(std::move(request));
    }

    core::EnginesEvent toLoadResult(const core::TargetId &target, const net::HttpResult &result)
    {
        if (result.failure == net::SendFailure::None && result.status == statusOk) {
            auto report = codec::decodeLoadReport(result.body, target);
            if (report)
                return core::LoadReportReceived{std::move(report.value())};
        }
        this->parts.metrics.count("engine_polls_failed");
        return core::LoadPollFailed{target};
    }

    void perform(core::OrderWeights &&order)
    {
        this->parts.logger.write("weights_ordered", field("target", order.target.id.value),
                                 field("version", core::number(order.version)),
                                 field("fence", core::number(order.fence)),
                                 field("source", order.source.empty() ? "store" : order.source));
        net::HttpRequest request = this->makeRequest(order.target, "POST", "/weights");
        request.body = codec::encodeWeightOrder(order);
        request.deadline = runtime::now() + weightOrderTimeout;
        request.mayWrite = [sendBefore = order.sendBefore] { return runtime::now() < sendBefore; };
        request.done = [this, target = order.target.id,
                        version = order.version](net::HttpResult &&result) {
            this->push(this->toOrderResult(target, version, result));
        };
        this->parts.targetClient->send(std::move(request));
    }

    // A request that was not sent counts as failed and not as lost: no byte of it was sent, so the
    // engine did not receive the order.
    core::EnginesEvent toOrderResult(const core::TargetId &target, core::WeightVersion version,
                                     const net::HttpResult &result)
    {
        core::WeightOrderCompleted completed{target, version, core::WeightOrderResult::Lost};
        if (result.failure == net::SendFailure::NotSent)
            completed.result = core::WeightOrderResult::Failed;
        else if (result.failure == net::SendFailure::None)
            completed.result = codec::decodeWeightOrderAnswer(result.status, result.body, version);
        const char *resultName = codec::nameOf(completed.result);
        this->parts.metrics.count(fmt::format("weight_orders_{}", resultName));
        this->parts.logger.write("weights_order_completed", field("target", target.value),
                                 field("version", core::number(version)),
                                 field("result", resultName));
        return completed;
    }

    void perform(core::RequestReports &&request)
    {
        this->parts.peerLink->send(
                {request.node.address,
                 "/engine-reports",
                 {},
                 runtime::now() + peerTimeout,
                 [this](net::PeerReply &&reply) {
                     if (reply.failure != net::SendFailure::None)
                         return;
                     auto reports = codec::decodeEngineReports(reply.body);
                     if (reports)
                         this->push(core::PeerReportsReceived{std::move(reports.value())});
                 }});
    }

    void perform(core::SendReports &&answer)
    {
        this->parts.peerLink->reply(answer.reply, codec::encodePeer(answer.reports));
    }

    // A full ring drops the reports, because the next publication replaces them.
    void perform(core::PublishReports &&publish)
    {
        static_cast<void>(this->parts.dispatch.inbox().tryPush(
                core::DispatchEnginesChanged{publish.reports}));
        static_cast<void>(
                this->parts.rollout.inbox().tryPush(core::RolloutEnginesChanged{publish.reports}));
    }

    void perform(core::CommitWeights &&commit)
    {
        const std::string body = codec::encodeTransaction(codec::weightsTransaction(commit));
        this->parts.platformClient->send(
                {"POST", "/table/transact", body, [this, commit](net::PlatformReply &&reply) {
                     if (!isOk(reply))
                         return this->perform(core::ReadWeights{commit.model});
                     this->push(core::WeightsCommitted{commit.model, commit.version,
                                                       commit.rowVersion + 1});
                 }});
    }

    void perform(core::ReadWeights &&read)
    {
        this->parts.platformClient->send({"GET",
                                          codec::rowPath(codec::weightsRowKey(read.model)),
                                          {},
                                          [this, model = read.model](net::PlatformReply &&reply) {
                                              if (!isOk(reply))
                                                  return;
                                              const auto row = codec::decodeWeightsRow(reply.body);
                                              if (row)
                                                  this->push(core::WeightsRead{model, row.value()});
                                          }});
    }

    void perform(core::AnswerWeights &&answer)
    {
        this->parts.logger.write("weight_update_answered",
                                 field("verdict", codec::nameOf(answer.verdict)),
                                 field("desired", core::number(answer.desired)));
        net::ServerResponse response;
        response.token = answer.reply;
        response.status = httpStatus(answer.verdict);
        response.body = codec::encodeWeightsAnswer(answer);
        this->parts.callerServer->respond(std::move(response));
    }

    void perform(core::SendDesiredWeights &&send)
    {
        const core::DesiredWeightsReceived message{send.model, send.version};
        this->parts.peerLink->send({send.to.address, "/weights", codec::encodePeer(message),
                                    runtime::now() + peerTimeout, [](net::PeerReply &&) {}});
    }

    void perform(core::ReadGroupClaim &&read)
    {
        this->parts.platformClient->send({"GET",
                                          codec::rowPath(codec::groupClaimRowKey(read.key)),
                                          {},
                                          [this, key = read.key](net::PlatformReply &&reply) {
                                              this->push(toClaimResult(key, reply));
                                          }});
    }

    static core::EnginesEvent toClaimResult(const std::string &key, const net::PlatformReply &reply)
    {
        if (!isOk(reply))
            return core::GroupClaimReadFailed{key};
        auto row = codec::decodeClaimRow(reply.body, key);
        if (!row)
            return core::GroupClaimReadFailed{key};
        return std::move(row.value());
    }

    void perform(core::WriteGroupClaim &&write)
    {
        this->parts.logger.write("engine_group_claim_sent", field("group", write.key),
                                 field("claim", write.claim));
        const std::string body = codec::encodeTransaction(codec::claimTransaction(write));
        this->parts.platformClient->send(
                {"POST", "/table/transact", body, [this, key = write.key](net::PlatformReply &&) {
                     this->perform(core::ReadGroupClaim{key});
                 }});
    }

    void perform(core::EngineGivenUp &&engine)
    {
        this->parts.metrics.count("engines_given_up");
        this->parts.logger.write("weight_load_deferred", field("target", engine.target.value),
                                 field("version", core::number(engine.version)),
                                 field("failures", engine.failures));
    }

    void push(core::EnginesEvent event) { this->parts.engines.deliver(std::move(event)); }
};

} // namespace

void startEnginesDuty(Parts &parts, const core::Node &self)
{
    core::EnginesSettings settings;
    settings.self = self.id;
    settings.processIncarnation = fmt::format("{}", self.incarnation);
    auto duty = std::make_shared<EnginesDuty>(
            EnginesDuty{parts, core::makeEnginesState(std::move(settings))});
    parts.engines.start("engines", [duty](core::EnginesEvent &&event) { duty->handle(event); });
}

} // namespace geraniumpulley::node
