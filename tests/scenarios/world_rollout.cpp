#include "world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

/// Performs the actions of the rollout duty, as node/rollout_duty does, and plays the trainers.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration timePerToken = std::chrono::milliseconds(20);
constexpr Duration scoringTime = std::chrono::milliseconds(10);
constexpr Duration generationTimeout = std::chrono::minutes(5);
constexpr Duration scoringTimeout = std::chrono::seconds(30);
constexpr Duration peerTimeout = std::chrono::seconds(5);
constexpr Duration pollPeriod = std::chrono::milliseconds(500);
constexpr Duration partLatency = std::chrono::microseconds(100);
constexpr std::uint64_t tokensPerChunk = 8;
constexpr std::uint64_t stragglerShare = 16; // One sample in so many takes the longest.

std::string describe(const core::SampleSlot &slot)
{
    return fmt::format("{}/{} group {} sample {}", slot.step.trainer.value, slot.step.step,
                       slot.group, slot.index);
}

std::uint64_t drawLength(Simulation &simulation, std::uint64_t limit)
{
    if (simulation.random() % stragglerShare == 0)
        return limit;
    return 1 + simulation.random() % (limit / 4 + 1);
}

struct Stream
{
    core::Generate order;
    std::uint64_t length = 0; ///< Of the whole sample.
    std::uint64_t made = 0;
    bool isBroken = false; ///< A part was lost, so that no end mark may come.
    Answer answer;
};

void sendPart(World &world, NodeProcess &node, TargetProcess &engine,
              const std::shared_ptr<Stream> &stream, const core::SampleProgressed &part)
{
    const std::uint64_t incarnation = node.incarnation;
    world.simulation.after(partLatency, [&world, &node, &engine, stream, part, incarnation] {
        stream->isBroken = stream->isBroken || world.isCut(engine, node);
        if (!stream->isBroken)
            world.post(node, incarnation,
                       [&world, &node, part] { world.deliver(node, core::RolloutEvent{part}); });
    });
}

// The text of a chunk is unique, so that the ledger tells what made each token of a sample.
void makeChunk(World &world, NodeProcess &node, TargetProcess &engine,
               const std::shared_ptr<Stream> &stream)
{
    const core::Generate &order = stream->order;
    if (stream->made >= stream->length) {
        world.simulation.record(fmt::format("{} made {}", engine.name, describe(order.slot)));
        if (!stream->isBroken) {
            stream->answer(
                    [&world, &node,
                     generated = core::SampleGenerated{order.slot, order.attempt, stream->length}] {
                        world.deliver(node, core::RolloutEvent{generated});
                    });
        }
        return;
    }
    const std::uint64_t count = std::min(tokensPerChunk, stream->length - stream->made);
    world.simulation.after(timePerToken * count, [&world, &node, &engine, stream, count,
                                                  incarnation = engine.incarnation] {
        world.post(engine, incarnation, [&world, &node, &engine, stream, count] {
            const core::Generate &order = stream->order;
            const core::WeightVersion version{
                    std::prev(engine.weights.upper_bound(world.simulation.now))->second};
            const std::uint64_t first = stream->made;
            const core::VersionSpan span{version,
                                         fmt::format("{}.{}", engine.name, engine.incarnation),
                                         first, first + count};
            const std::string text = fmt::format("#{};", world.chunks.size());
            world.chunks[text] = {order.slot, span};
            stream->made += count;
            core::VersionSpan ofAttempt = span;
            ofAttempt.first -= order.resumeTokens;
            ofAttempt.last -= order.resumeTokens;
            sendPart(world, node, engine, stream,
                     core::SampleProgressed{order.slot, order.attempt, text, {ofAttempt}});
            makeChunk(world, node, engine, stream);
        });
    });
}

void generate(World &world, NodeProcess &node, TargetProcess &engine, const core::Generate &order,
              const Answer &answer)
{
    ++engine.workTaken;
    auto stream = std::make_shared<Stream>();
    stream->order = order;
    stream->length = std::max(drawLength(world.simulation, order.maxTokens), order.resumeTokens);
    stream->made = order.resumeTokens;
    stream->answer = answer;
    makeChunk(world, node, engine, stream);
}

} // namespace

void World::openStep(const std::string &name, const std::string &node, const core::StepOrder &order)
{
    StepRecord &record = this->steps[name];
    record.order = order;
    record.node = node;
    this->simulation.record(fmt::format("trainer -> {}: open {}", node, name));
    this->poll(name);
}

// The trainer opens its step again and again: the same order is the same step.
void World::poll(const std::string &step)
{
    const StepRecord &record = this->steps[step];
    if (record.state == "acknowledged")
        return;
    this->simulation.after(pollPeriod, [this, step] { this->poll(step); });
    core::StepRequest request = core::OpenStep{record.order};
    if (record.isOpened)
        request = core::FetchStep{record.order.id, record.order.trainerVersion, {}};
    if (record.state == "delivered")
        request = core::AcknowledgeStep{record.order.id, record.digest};
    NodeProcess &process = this->node(record.node);
    this->exchange(
            this->client, record.node, this->simulation.now + peerTimeout,
            {[this, &process, request, step](const Answer &answer) {
                 const core::ReplyToken token = this->makeToken();
                 this->stepReplies[token] = [this, answer, step](const core::StepAnswer &reply) {
                     answer([this, step, reply] { this->onStepAnswer(step, reply); });
                 };
                 this->deliver(process,
                               core::RolloutEvent{core::StepRequested{token, request, false}});
             },
             [](ExchangeFailure) {}});
}

void World::onStepAnswer(const std::string &name, const core::StepAnswer &answer)
{
    StepRecord &record = this->steps[name];
    if (answer.verdict == core::StepVerdict::Running)
        record.isOpened = record.isOpened || answer.durable;
    if (answer.verdict == core::StepVerdict::UnknownStep)
        record.isOpened = false;
    if (answer.verdict == core::StepVerdict::Ready && !answer.samples.empty()) {
        const auto &batches = record.handedOver;
        if (batches.empty() || batches.back().size() != answer.samples.size())
            this->simulation.record(
                    fmt::format("trainer: {} is whole, {} samples", name, answer.samples.size()));
        record.handedOver.push_back(answer.samples);
        record.digest = answer.digest;
        if (record.state == "open")
            record.state = "delivered";
    } else if (answer.verdict == core::StepVerdict::Acknowledged) {
        if (record.state == "open")
            this->violations.push_back(name + " is acknowledged, but its trainer has no batch");
        record.state = "acknowledged";
        this->simulation.recordChange(name, fmt::format("trainer: {} is acknowledged", name));
    }
}

void perform(World &world, NodeProcess &node, const core::Generate &action)
{
    TargetProcess &engine = world.target(action.target.id.value);
    world.simulation.record(
            fmt::format("{} -> {}: generate {}", node.name, engine.name, describe(action.slot)));
    world.exchange(
            node, engine.name, world.simulation.now + generationTimeout,
            {[&world, &engine, &node, action](const Answer &answer) {
                 generate(world, node, engine, action, answer);
             },
             [&world, &node, slot = action.slot, attempt = action.attempt](ExchangeFailure) {
                 world.deliver(node, core::RolloutEvent{core::GenerationFailed{slot, attempt}});
             }});
}

// The engine goes on, as one that does not hear the order; its stream is of no more use.
void perform(World &world, NodeProcess &node, const core::CancelGeneration &action)
{
    world.simulation.record(fmt::format("{} -> {}: cancel {}", node.name, action.target.id.value,
                                        describe(action.slot)));
}

void perform(World &world, NodeProcess &node, const core::Score &action)
{
    TargetProcess &scorer = world.target(action.target.id.value);
    const core::SampleScored scored{action.slot, action.attempt, 0.5};
    world.exchange(
            node, scorer.name, world.simulation.now + scoringTimeout,
            {[&world, &node, &scorer, scored](const Answer &answer) {
                 ++scorer.workTaken;
                 world.simulation.after(
                         scoringTime + scorer.slowness, [&world, &node, &scorer, scored, answer,
                                                         incarnation = scorer.incarnation] {
                             world.post(scorer, incarnation, [&world, &node, scored, answer] {
                                 answer([&world, &node, scored] {
                                     world.deliver(node, core::RolloutEvent{scored});
                                 });
                             });
                         });
             },
             [&world, &node, slot = action.slot, attempt = action.attempt](ExchangeFailure) {
                 world.deliver(node, core::RolloutEvent{core::ScoringFailed{slot, attempt}});
             }});
}

void perform(World &world, NodeProcess &node, const core::ForwardStep &action)
{
    NodeProcess &peer = world.node(action.node.address);
    const auto report = [&world, &node, operation = action.operation](const auto &answer) {
        world.deliver(node, core::RolloutEvent{core::StepPeerAnswered{operation, answer}});
    };
    world.exchange(
            node, peer.name, world.simulation.now + peerTimeout,
            {[&world, &peer, request = action.request, report](const Answer &answer) {
                 const core::ReplyToken token = world.makeToken();
                 world.stepReplies[token] = [answer, report](const core::StepAnswer &reply) {
                     answer([report, reply] { report(reply); });
                 };
                 world.deliver(peer, core::RolloutEvent{core::StepRequested{token, request, true}});
             },
             [report](ExchangeFailure) {
                 report(core::StepAnswer{core::StepVerdict::OwnerLost});
             }});
}

void perform(World &world, NodeProcess &, const core::AnswerStep &action)
{
    const auto reply = world.stepReplies.extract(action.reply);
    if (!reply.empty())
        reply.mapped()(action.answer);
}

} // namespace scenario
