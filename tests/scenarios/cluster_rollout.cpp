#include "cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

/// Performs the actions of the rollout duty, as `node/rollout_duty` does for a real node, and
/// simulates the trainers and the engines.
namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration timePerToken = std::chrono::milliseconds(20);
constexpr Duration scoringTime = std::chrono::milliseconds(10);
constexpr Duration generationTimeout = std::chrono::minutes(5);
constexpr Duration scoringTimeout = std::chrono::seconds(30);
constexpr Duration peerTimeout = std::chrono::seconds(5);
constexpr Duration pollPeriod = std::chrono::milliseconds(500);
constexpr Duration streamPartLatency = std::chrono::microseconds(100);
constexpr std::uint64_t tokensPerChunk = 8;
constexpr std::uint64_t samplesPerStraggler = 16; // One sample in this many has the maximum length.

std::string describe(const core::SampleSlot &slot)
{
    return fmt::format("{}/{} group {} sample {}", slot.step.trainer.value, slot.step.step,
                       slot.group, slot.index);
}

std::uint64_t drawTokenCount(Simulation &simulation, std::uint64_t maxTokens)
{
    if (simulation.random() % samplesPerStraggler == 0)
        return maxTokens;
    return 1 + simulation.random() % (maxTokens / 4 + 1);
}

struct Stream
{
    core::Generate request;
    std::uint64_t totalTokens = 0; ///< Tokens of the complete sample, with resumed ones.
    std::uint64_t generatedTokens = 0;
    bool isBroken = false; ///< A part was lost, so the stream must not complete.
    Responder respond;
};

void sendStreamPart(Cluster &cluster, NodeProcess &node, TargetProcess &engine,
                    const std::shared_ptr<Stream> &stream, const core::SampleProgressed &part)
{
    const std::uint64_t incarnation = node.incarnation;
    cluster.simulation.scheduleAfter(
            streamPartLatency, [&cluster, &node, &engine, stream, part, incarnation] {
                stream->isBroken = stream->isBroken || cluster.isPartitioned(engine, node);
                if (!stream->isBroken)
                    cluster.post(node, incarnation, [&cluster, &node, part] {
                        cluster.deliver(node, core::RolloutEvent{part});
                    });
            });
}

// Gives each chunk a unique text, from which the invariants identify the engine and the version
// that generated each token of a sample.
void generateNextChunk(Cluster &cluster, NodeProcess &node, TargetProcess &engine,
                       const std::shared_ptr<Stream> &stream)
{
    const core::Generate &request = stream->request;
    if (stream->generatedTokens >= stream->totalTokens) {
        cluster.simulation.record(fmt::format("{} made {}", engine.name, describe(request.slot)));
        if (!stream->isBroken) {
            stream->respond([&cluster, &node,
                             generated = core::SampleGenerated{request.slot, request.attempt,
                                                               stream->totalTokens}] {
                cluster.deliver(node, core::RolloutEvent{generated});
            });
        }
        return;
    }
    const std::uint64_t count =
            std::min(tokensPerChunk, stream->totalTokens - stream->generatedTokens);
    cluster.simulation.scheduleAfter(timePerToken * count, [&cluster, &node, &engine, stream, count,
                                                            incarnation = engine.incarnation] {
        cluster.post(engine, incarnation, [&cluster, &node, &engine, stream, count] {
            const core::Generate &request = stream->request;
            const core::WeightVersion version{
                    std::prev(engine.weightVersions.upper_bound(cluster.simulation.now))->second};
            const std::uint64_t first = stream->generatedTokens;
            const core::VersionSpan span{version,
                                         fmt::format("{}.{}", engine.name, engine.incarnation),
                                         first, first + count};
            const std::string text = fmt::format("#{};", cluster.generatedChunks.size());
            cluster.generatedChunks[text] = {request.slot, span};
            stream->generatedTokens += count;
            core::VersionSpan attemptSpan = span;
            attemptSpan.first -= request.resumeTokens;
            attemptSpan.last -= request.resumeTokens;
            sendStreamPart(
                    cluster, node, engine, stream,
                    core::SampleProgressed{request.slot, request.attempt, text, {attemptSpan}});
            generateNextChunk(cluster, node, engine, stream);
        });
    });
}

void generate(Cluster &cluster, NodeProcess &node, TargetProcess &engine,
              const core::Generate &request, const Responder &respond)
{
    ++engine.requestCount;
    auto stream = std::make_shared<Stream>();
    stream->request = request;
    stream->totalTokens =
            std::max(drawTokenCount(cluster.simulation, request.maxTokens), request.resumeTokens);
    stream->generatedTokens = request.resumeTokens;
    stream->respond = respond;
    generateNextChunk(cluster, node, engine, stream);
}

} // namespace

void Cluster::openStep(const std::string &name, const std::string &node, const core::StepSpec &spec)
{
    StepRecord &record = this->steps[name];
    record.spec = spec;
    record.nodeName = node;
    this->simulation.record(fmt::format("trainer -> {}: open {}", node, name));
    this->pollStep(name);
}

// Polls until the step is acknowledged. An open request can be repeated, since an equal
// specification denotes the same step.
void Cluster::pollStep(const std::string &step)
{
    const StepRecord &record = this->steps[step];
    if (record.state == "acknowledged")
        return;
    this->simulation.scheduleAfter(pollPeriod, [this, step] { this->pollStep(step); });
    core::StepRequest request = core::OpenStep{record.spec};
    if (record.openConfirmed)
        request = core::FetchStep{record.spec.id, record.spec.trainerVersion, {}};
    if (record.state == "delivered")
        request = core::AcknowledgeStep{record.spec.id, record.digest};
    NodeProcess &process = this->node(record.nodeName);
    this->sendRequest(
            this->client, record.nodeName, this->simulation.now + peerTimeout,
            {[this, &process, request, step](const Responder &respond) {
                 const core::ReplyToken token = this->makeReplyToken();
                 this->stepReplies[token] = [this, respond, step](const core::StepAnswer &reply) {
                     respond([this, step, reply] { this->onStepAnswer(step, reply); });
                 };
                 this->deliver(process,
                               core::RolloutEvent{core::StepRequested{token, request, false}});
             },
             [](ExchangeFailure) {}});
}

void Cluster::onStepAnswer(const std::string &name, const core::StepAnswer &answer)
{
    StepRecord &record = this->steps[name];
    if (answer.verdict == core::StepVerdict::Running)
        record.openConfirmed = record.openConfirmed || answer.durable;
    if (answer.verdict == core::StepVerdict::UnknownStep)
        record.openConfirmed = false;
    if (answer.verdict == core::StepVerdict::Ready && !answer.samples.empty()) {
        const auto &batches = record.deliveredBatches;
        if (batches.empty() || batches.back().size() != answer.samples.size())
            this->simulation.record(
                    fmt::format("trainer: {} is whole, {} samples", name, answer.samples.size()));
        record.deliveredBatches.push_back(answer.samples);
        record.digest = answer.digest;
        if (record.state == "open")
            record.state = "delivered";
    } else if (answer.verdict == core::StepVerdict::Acknowledged) {
        if (record.state == "open")
            this->violations.push_back(
                    name + " is acknowledged, but its trainer has not received the batch");
        record.state = "acknowledged";
        this->simulation.recordChange(name, fmt::format("trainer: {} is acknowledged", name));
    }
}

void perform(Cluster &cluster, NodeProcess &node, const core::Generate &action)
{
    TargetProcess &engine = cluster.target(action.target.id.value);
    cluster.simulation.record(
            fmt::format("{} -> {}: generate {}", node.name, engine.name, describe(action.slot)));
    cluster.sendRequest(
            node, engine.name, cluster.simulation.now + generationTimeout,
            {[&cluster, &engine, &node, action](const Responder &respond) {
                 generate(cluster, node, engine, action, respond);
             },
             [&cluster, &node, slot = action.slot, attempt = action.attempt](ExchangeFailure) {
                 cluster.deliver(node, core::RolloutEvent{core::GenerationFailed{slot, attempt}});
             }});
}

// The engine goes on generating, as if the cancellation were lost; its stream is no longer used.
void perform(Cluster &cluster, NodeProcess &node, const core::CancelGeneration &action)
{
    cluster.simulation.record(fmt::format("{} -> {}: cancel {}", node.name, action.target.id.value,
                                          describe(action.slot)));
}

void perform(Cluster &cluster, NodeProcess &node, const core::Score &action)
{
    TargetProcess &scorer = cluster.target(action.target.id.value);
    const core::SampleScored scored{action.slot, action.attempt, 0.5};
    cluster.sendRequest(
            node, scorer.name, cluster.simulation.now + scoringTimeout,
            {[&cluster, &node, &scorer, scored](const Responder &respond) {
                 ++scorer.requestCount;
                 cluster.simulation.scheduleAfter(
                         scoringTime + scorer.extraLatency,
                         [&cluster, &node, &scorer, scored, respond,
                          incarnation = scorer.incarnation] {
                             cluster.post(scorer, incarnation, [&cluster, &node, scored, respond] {
                                 respond([&cluster, &node, scored] {
                                     cluster.deliver(node, core::RolloutEvent{scored});
                                 });
                             });
                         });
             },
             [&cluster, &node, slot = action.slot, attempt = action.attempt](ExchangeFailure) {
                 cluster.deliver(node, core::RolloutEvent{core::ScoringFailed{slot, attempt}});
             }});
}

void perform(Cluster &cluster, NodeProcess &node, const core::ForwardStep &action)
{
    NodeProcess &peer = cluster.node(action.node.address);
    const auto report = [&cluster, &node, operation = action.operation](const auto &answer) {
        cluster.deliver(node, core::RolloutEvent{core::ForwardedStepCompleted{operation, answer}});
    };
    cluster.sendRequest(
            node, peer.name, cluster.simulation.now + peerTimeout,
            {[&cluster, &peer, request = action.request, report](const Responder &respond) {
                 const core::ReplyToken token = cluster.makeReplyToken();
                 cluster.stepReplies[token] = [respond, report](const core::StepAnswer &reply) {
                     respond([report, reply] { report(reply); });
                 };
                 cluster.deliver(peer,
                                 core::RolloutEvent{core::StepRequested{token, request, true}});
             },
             [report](ExchangeFailure) {
                 report(core::StepAnswer{core::StepVerdict::OwnerLost});
             }});
}

void perform(Cluster &cluster, NodeProcess &, const core::AnswerStep &action)
{
    const auto reply = cluster.stepReplies.extract(action.reply);
    if (!reply.empty())
        reply.mapped()(action.answer);
}

} // namespace scenario
