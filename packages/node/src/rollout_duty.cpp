#include "rollout_duty.hpp"

#include "step_store.hpp"

#include <geraniumpulley/codec/peer_messages.hpp>
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

// Write ids must never repeat, also not after a restart under the same name.
std::string makeWriter(const core::NodeId &self)
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

    void perform(core::Generate &&order)
    {
        net::HttpRequest request = makeRequest(order.slot, order.attempt, order.target);
        request.target = "/generate";
        request.body = codec::encodeGenerate(order, nameOf(order.slot));
        request.deadline = runtime::now() + generationTimeout;
        auto stream = std::make_shared<codec::GenerationStream>();
        auto isBroken = std::make_shared<bool>(false); // Used on the caller's thread, as `stream`.
        request.onPart = [this, slot = order.slot, attempt = order.attempt, stream,
                          isBroken](std::string &&bytes) {
            if (*isBroken)
                return;
            auto part = codec::feed(*stream, bytes);
            *isBroken = !part;
            if (part && !part.value().spans.empty())
                this->push(core::SampleProgressed{slot, attempt, std::move(part.value().text),
                                                  std::move(part.value().spans)});
        };
        request.done = [this, slot = order.slot, attempt = order.attempt, stream,
                        isBroken](net::HttpResult &&result) {
            const bool isWhole = result.failure == net::SendFailure::None
                                 && result.status == statusOk && !*isBroken
                                 && codec::isEnded(*stream);
            if (isWhole)
                this->push(core::SampleGenerated{slot, attempt, *stream->total});
            else
                this->push(core::GenerationFailed{slot, attempt});
        };
        this->parts.targets->send(std::move(request));
    }

    void perform(core::CancelGeneration &&order)
    {
        net::HttpRequest request = makeRequest(order.slot, 0, order.target);
        request.target = "/cancel";
        request.body = codec::encodeCancel(nameOf(order.slot));
        request.deadline = runtime::now() + cancelTimeout;
        request.done = [](net::HttpResult &&) {}; // The stream's own end tells what came of it.
        this->parts.targets->send(std::move(request));
    }

    void perform(core::Score &&order)
    {
        net::HttpRequest request = makeRequest(order.slot, order.attempt, order.target);
        request.target = "/score";
        request.body = codec::encodeScore(order);
        request.deadline = runtime::now() + scoringTimeout;
        request.done = [this, slot = order.slot,
                        attempt = order.attempt](net::HttpResult &&result) {
            this->push(scoringResult(slot, attempt, result));
        };
        this->parts.targets->send(std::move(request));
    }

    static core::RolloutEvent scoringResult(const core::SampleSlot &slot, std::uint32_t attempt,
                                            const net::HttpResult &result)
    {
        if (result.failure != net::SendFailure::None || result.status != statusOk)
            return core::ScoringFailed{slot, attempt};
        const auto reward = codec::decodeScore(result.body);
        if (!reward)
            return core::ScoringFailed{slot, attempt};
        return core::SampleScored{slot, attempt, reward.value()};
    }

    static std::string nameOf(const core::SampleSlot &slot)
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
        request.requestId = fmt::format("{}-{}", nameOf(slot), attempt);
        return request;
    }

    void perform(core::ListSteps &&order) { listSteps(this->parts, std::move(order)); }

    void perform(core::LoadStep &&order) { loadStep(this->parts, std::move(order)); }

    void perform(core::AppendRecord &&append) { appendRecord(this->parts, std::move(append)); }

    void perform(core::ReadRecord &&order) { readRecord(this->parts, std::move(order)); }

    void perform(core::ForwardStep &&forward)
    {
        this->parts.peers->send({forward.node.address, "/step", codec::encodePeer(forward.request),
                                 runtime::now() + peerTimeout + waitOf(forward.request),
                                 [this, operation = forward.operation](net::PeerReply &&reply) {
                                     this->push(peerResult(operation, reply));
                                 }});
    }

    static core::Duration waitOf(const core::StepRequest &request)
    {
        const auto *fetch = std::get_if<core::FetchStep>(&request);
        return fetch == nullptr ? core::Duration{} : fetch->wait;
    }

    static core::RolloutEvent peerResult(core::OperationId operation, const net::PeerReply &reply)
    {
        core::StepAnswer lost;
        lost.verdict = core::StepVerdict::OwnerLost;
        if (reply.failure != net::SendFailure::None)
            return core::StepPeerAnswered{operation, lost};
        auto answer = codec::decodeStepAnswer(reply.body);
        return core::StepPeerAnswered{operation, answer ? std::move(answer.value()) : lost};
    }

    void perform(core::AnswerStep &&answer)
    {
        if (answer.forwarded)
            return this->parts.peers->reply(answer.reply, codec::encodePeer(answer.answer));
        net::DoorAnswer door;
        door.token = answer.reply;
        door.status = httpStatus(answer.answer.verdict);
        door.body = codec::encodeStepAnswer(answer.answer);
        this->parts.callers->answer(std::move(door));
    }

    void push(core::RolloutEvent event) { this->parts.rollout.deliver(std::move(event)); }
};

} // namespace

void startRollout(Parts &parts, const core::NodeId &self)
{
    auto duty = std::make_shared<RolloutDuty>(
            RolloutDuty{parts, core::makeRolloutState(self, makeWriter(self))});
    parts.rollout.start("rollout", [duty](core::RolloutEvent &&event) { duty->handle(event); });
}

} // namespace geraniumpulley::node
