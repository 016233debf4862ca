#include "world.hpp"

#include <geraniumpulley/codec/platform_messages.hpp>

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

std::vector<core::VersionSpan> makeSpans(const TargetProcess &engine, Time start,
                                         std::uint64_t length)
{
    std::vector<core::VersionSpan> spans;
    const std::string incarnation = fmt::format("{}.{}", engine.name, engine.incarnation);
    for (std::uint64_t first = 0; first < length; first += tokensPerChunk) {
        const Time time = start + timePerToken * first;
        const auto weights = std::prev(engine.weights.upper_bound(time));
        const core::WeightVersion version{weights->second};
        const std::uint64_t last = std::min(length, first + tokensPerChunk);
        if (spans.empty() || spans.back().version != version)
            spans.push_back({version, incarnation, first, last});
        spans.back().last = last;
    }
    return spans;
}

// The text is unique for each generation, so that the ledger tells which one a sample came from.
void generate(World &world, TargetProcess &engine, const core::Generate &order,
              std::function<void(core::SampleGenerated)> finish)
{
    ++engine.workTaken;
    const Time start = world.simulation.now;
    const std::uint64_t length = drawLength(world.simulation, order.maxTokens);
    world.simulation.after(
            timePerToken * length + engine.slowness,
            [&world, &engine, slot = order.slot, start, length, incarnation = engine.incarnation,
             finish = std::move(finish)] {
                world.post(engine, incarnation, [&world, &engine, slot, start, length, finish] {
                    const std::string text =
                            fmt::format("{} #{}", describe(slot), world.generations.size());
                    const auto spans = makeSpans(engine, start, length);
                    world.generations[text] = {slot, spans};
                    world.simulation.record(fmt::format("{} made {} with version {}", engine.name,
                                                        text, core::number(spans[0].version)));
                    finish({slot, text, spans});
                });
            });
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
    if (record.state == "delivered")
        request = core::AcknowledgeStep{record.order.id};
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
    if (answer.verdict == core::StepVerdict::Ready) {
        const auto &batches = record.handedOver;
        if (batches.empty() || batches.back().size() != answer.samples.size())
            this->simulation.record(
                    fmt::format("trainer: {} is whole, {} samples", name, answer.samples.size()));
        record.handedOver.push_back(answer.samples);
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
    world.exchange(node, engine.name, world.simulation.now + generationTimeout,
                   {[&world, &engine, &node, action](const Answer &answer) {
                        generate(world, engine, action,
                                 [&world, &node, answer](const core::SampleGenerated &sample) {
                                     answer([&world, &node, sample] {
                                         world.deliver(node, core::RolloutEvent{sample});
                                     });
                                 });
                    },
                    [&world, &node, slot = action.slot](ExchangeFailure) {
                        world.deliver(node, core::RolloutEvent{core::GenerationFailed{slot}});
                    }});
}

void perform(World &world, NodeProcess &node, const core::Score &action)
{
    TargetProcess &scorer = world.target(action.target.id.value);
    const core::SampleScored scored{action.slot, 0.5};
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
             [&world, &node, slot = action.slot](ExchangeFailure) {
                 world.deliver(node, core::RolloutEvent{core::ScoringFailed{slot}});
             }});
}

void perform(World &world, NodeProcess &node, const core::StoreBatch &action)
{
    const std::string key = fmt::format("batches/{}/{}", action.id.trainer.value, action.id.step);
    world.simulation.record(fmt::format("{} -> store: batch {}", node.name, key));
    world.store.putObject(
            key, codec::encodeBatch(action),
            [&world, &node, incarnation = node.incarnation, id = action.id](bool answered) {
                world.post(node, incarnation, [&world, &node, id, answered] {
                    if (answered)
                        world.deliver(node, core::RolloutEvent{core::BatchStored{id}});
                    else
                        world.deliver(node, core::RolloutEvent{core::BatchStoreFailed{id}});
                });
            });
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
