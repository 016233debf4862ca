#include "rollout_duty.hpp"

#include "step_store.hpp"

#include <geraniumpulley/codec/peer_messages.hpp>
#include <geraniumpulley/codec/step_messages.hpp>
#include <geraniumpulley/codec/target_messages.hpp>
#include <geraniumpulley/codec/trainer_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <memory>
#include <random>
#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

constexpr core::Duration generationTimeout = std::chrono::minutes(5);
constexpr core::Duration scoringTimeout = std::chrono::seconds(30);
constexpr core::Duration cancelTimeout = std::chrono::seconds(5);
constexpr core::Duration peerTimeout = std::chrono::seconds(5);
constexpr std::uint32_t statusOk = 200;

std::uint32_t httpStatus(core::StepVerdict verdict)
{
    switch (verdict) {
    case core::StepVerdict::Running:
        return 202;
    case core::StepVerdict::Ready:
    case core::StepVerdict::Acknowledged:
        return statusOk;
    case core::StepVerdict::Differs:
    case core::StepVerdict::Stale:
    case core::StepVerdict::WrongDigest:
        return 409;
    case core::StepVerdict::UnknownStep:
    case core::StepVerdict::UnknownTrainer:
        return 404;
    case core::StepVerdict::NotReady:
    case core::StepVerdict::OwnerLost:
        return 503;
    }
    return 500;
}

// Write ids must be unique, also after a restart under the same node name.
std::string makeWriterId(const core::NodeId &self)
{
    std::random_device random;
    return fmt::format("{}-{:08x}{:08x}", self.value, random(), random());
}

struct RolloutDuty
{
    Parts &parts;
    core::RolloutState state;

    void handle(const core::RolloutEvent &event)
    {
        for (core::RolloutAction &action : core::step(this->state, event, runtime::now()))
            std::visit([this](auto &content) { this->perform(std::move(content)); }, action);
    }

    void perform(core::Generate &&generate)
    {
        net::HttpRequest request = makeRequest(generate.slot, generate.attempt, generate.target);
        request.target = "/generate";
        request.body = codec::encodeGenerate(generate, sampleName(generate.slot));
        request.deadline = runtime::now() + generationTimeout;
        auto stream = std::make_shared<codec::GenerationStream>();
        // Like `stream`, accessed by the HTTP client's thread only.
        auto isBroken = std::make_shared<bool>(false);
        request.onBodyPart = [this, slot = generate.slot, attempt = generate.attempt, stream,
                              isBroken](std::string &&bytes) {
            if (*isBroken)
                return false;
            auto part = codec::decodeGenerationBytes(*stream, bytes);
            *isBroken = !part;
            if (!part || part.value().spans.empty())
                return false;
            this->push(core::SampleProgressed{slot, attempt, std::move(part.value().text),
                                              std::move(part.value().spans)});
            return true;
        };
        request.done = [this, slot = generate.slot, attempt = generate.attempt, stream,
                        isBroken](net::HttpResult &&result) {
            const bool isComplete = result.failure == net::SendFailure::None
                                    && result.status == statusOk && !*isBroken
                                    && codec::isEnded(*stream);
            if (isComplete)
                this->push(core::SampleGenerated{slot, attempt, *stream->declaredTokens});
            else
                this->push(core::GenerationFailed{slot, attempt});
        };
        this->parts.targetClient->send(std::move(request));
    }

    void perform(core::CancelGeneration &&cancel)
    {
        net::HttpRequest request = makeRequest(cancel.slot, cancel.attempt, cancel.target);
        request.target = "/cancel";
        request.body = codec::encodeCancel(cancel, sampleName(cancel.slot));
        request.deadline = runtime::now() + cancelTimeout;
        request.done = [](net::HttpResult &&) {}; // The generate request reports the outcome.
        this->parts.targetClient->send(std::move(request));
    }

    void perform(core::Score &&score)
    {
        net::HttpRequest request = makeRequest(score.slot, score.attempt, score.target);
        request.target = "/score";
        request.body = codec::encodeScore(score);
        request.deadline = runtime::now() + scoringTimeout;
        request.done = [this, slot = score.slot,
                        attempt = score.attempt](net::HttpResult &&result) {
            this->push(toScoringResult(slot, attempt, result));
        };
        this->parts.targetClient->send(std::move(request));
    }

    static core::RolloutEvent toScoringResult(const core::SampleSlot &slot, std::uint32_t attempt,
                                              const net::HttpResult &result)
    {
        if (result.failure != net::SendFailure::None || result.status != statusOk)
            return core::ScoringFailed{slot, attempt};
        const auto reward = codec::decodeScore(result.body);
        if (!reward)
            return core::ScoringFailed{slot, attempt};
        return core::SampleScored{slot, attempt, reward.value()};
    }

    static std::string sampleName(const core::SampleSlot &slot)
    {
        return fmt::format("{}-{}-{}-{}", slot.step.trainer.value, slot.step.step, slot.group,
                           slot.index);
    }

    static net::HttpRequest makeRequest(const core::SampleSlot &slot, std::uint32_t attempt,
                                        const core::Target &target)
    {
        net::HttpRequest request;
        request.address = target.address;
        request.method = "POST";
        request.contentType = "application/json";
        request.requestId = fmt::format("{}-{}", sampleName(slot), attempt);
        return request;
    }

    void perform(core::ListSteps &&list) { listSteps(this->parts, std::move(list)); }

    void perform(core::LoadStep &&load) { loadStep(this->parts, std::move(load)); }

    void perform(core::AppendRecord &&append)
    {
        this->parts.logger.write("step_record_append_sent",
                                 runtime::field("trainer", append.id.trainer.value),
                                 runtime::field("step", append.id.step),
                                 runtime::field("number", append.recordNumber),
                                 runtime::field("kind", codec::recordKind(append.record.content)));
        appendRecord(this->parts, std::move(append));
    }

    void perform(core::ReadRecord &&read) { readRecord(this->parts, std::move(read)); }

    void perform(core::ForwardStep &&forward)
    {
        this->parts.peerLink->send({forward.node.address, "/step",
                                    codec::encodePeer(forward.request),
                                    runtime::now() + peerTimeout + maxWaitOf(forward.request),
                                    [this, operation = forward.operation](net::PeerReply &&reply) {
                                        this->push(toForwardResult(operation, reply));
                                    }});
    }

    static core::Duration maxWaitOf(const core::StepRequest &request)
    {
        const auto *fetch = std::get_if<core::FetchStep>(&request);
        return fetch == nullptr ? core::Duration{} : fetch->maxWait;
    }

    static core::RolloutEvent toForwardResult(core::OperationId operation,
                                              const net::PeerReply &reply)
    {
        core::StepAnswer ownerLost;
        ownerLost.verdict = core::StepVerdict::OwnerLost;
        if (reply.failure != net::SendFailure::None)
            return core::ForwardedStepCompleted{operation, ownerLost};
        auto answer = codec::decodeStepAnswer(reply.body);
        return core::ForwardedStepCompleted{operation,
                                            answer ? std::move(answer.value()) : ownerLost};
    }

    void perform(core::AnswerStep &&answer)
    {
        if (answer.forwarded)
            return this->parts.peerLink->reply(answer.reply, codec::encodePeer(answer.answer));
        net::ServerResponse response;
        response.token = answer.reply;
        response.status = httpStatus(answer.answer.verdict);
        response.body = codec::encodeStepAnswer(answer.answer);
        this->parts.callerServer->respond(std::move(response));
    }

    void push(core::RolloutEvent event) { this->parts.rollout.deliver(std::move(event)); }
};

} // namespace

void startRolloutDuty(Parts &parts, const core::NodeId &self)
{
    auto duty = std::make_shared<RolloutDuty>(
            RolloutDuty{parts, core::makeRolloutState(self, makeWriterId(self))});
    parts.rollout.start("rollout", [duty](core::RolloutEvent &&event) { duty->handle(event); });
}

} // namespace geraniumpulley::node
