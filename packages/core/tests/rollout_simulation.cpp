#include "rollout_simulation.hpp"

#include <algorithm>
#include <sstream>

namespace rollout_simulation {
namespace {

using namespace std::chrono_literals;

constexpr Duration timeStep = 50ms;
constexpr std::uint64_t tokensPerTimeStep = 3;

NodeId nodeName(std::size_t index)
{
    return {"n" + std::to_string(index)};
}

std::string incarnationName(const FakeEngine &engine)
{
    return engine.target.id.value + "/" + std::to_string(engine.incarnation);
}

} // namespace

Simulation::Simulation(std::uint32_t seed, std::size_t nodeCount, std::size_t engineCount)
    : random(seed)
{
    this->configuration = std::make_shared<Configuration>();
    this->configuration->services = {Service{{"model"}, ServiceKind::Model, {}, {}, 4, 5s},
                                     Service{{"scorer"}, ServiceKind::Scorer, {}, {}, 8, 5s}};
    this->configuration->trainers = {Trainer{{"quotes"}, {"model"}, {"scorer"}, 1, 1},
                                     Trainer{{"orders"}, {"model"}, {"scorer"}, 2, 2}};
    this->view = std::make_shared<View>();
    for (std::size_t i = 0; i < nodeCount; ++i)
        this->view->nodes.push_back({nodeName(i), "127.0.0.1:" + std::to_string(i), "bilbao", 1});
    for (std::size_t i = 0; i < engineCount; ++i) {
        const Target target{{"e" + std::to_string(i)}, {"model"}, std::to_string(i), "", false};
        this->engines.push_back({target});
        this->view->targets.push_back(target);
    }
    this->view->targets.push_back({{"s"}, {"scorer"}, "", "", false});
    this->nodes.resize(nodeCount);
    for (std::size_t i = 0; i < nodeCount; ++i)
        this->restartNode(i);
}

void Simulation::publishLeases(std::size_t node)
{
    auto table = std::make_shared<LeaseTable>();
    table->self = nodeName(node);
    for (std::uint32_t i = 0; i < shardCount; ++i)
        table->leases[{ShardKind::Steps, i}] = {nodeName(this->holder), FencingToken{this->fence},
                                                this->now + 10s};
    this->nodes[node].inbox.push_back(RolloutLeasesChanged{table});
}

void Simulation::restartNode(std::size_t node)
{
    FakeNode &fake = this->nodes[node];
    ++fake.incarnation;
    fake.inbox.clear();
    fake.paused = false;
    fake.state = makeRolloutState(nodeName(node),
                                  nodeName(node).value + "-" + std::to_string(fake.incarnation));
    this->publishLeases(node);
    fake.inbox.push_back(RolloutConfigurationChanged{this->configuration});
    fake.inbox.push_back(RolloutViewChanged{this->view});
}

void Simulation::moveLeases(std::size_t newHolder)
{
    this->holder = newHolder;
    ++this->fence;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (!this->nodes[i].paused)
            this->publishLeases(i);
    }
}

// A resumed node continues with its old leases for some time before it receives the new ones.
void Simulation::resume(std::size_t node)
{
    this->nodes[node].paused = false;
    this->nodesAwaitingLeases.insert(node);
}

void Simulation::publishDelayedLeases()
{
    std::erase_if(this->nodesAwaitingLeases, [this](std::size_t node) {
        const bool isDelivered = this->randomChance(3);
        if (isDelivered)
            this->publishLeases(node);
        return isDelivered;
    });
}

void Simulation::crashEngine(std::size_t engine, std::uint64_t versionAfter)
{
    FakeEngine &fake = this->engines[engine];
    ++fake.incarnation;
    fake.version = versionAfter;
    std::erase_if(this->streams, [&](const FakeStream &stream) {
        if (stream.engine != engine)
            return false;
        if (this->nodes[stream.node].incarnation == stream.nodeIncarnation)
            this->nodes[stream.node].inbox.push_back(
                    GenerationFailed{stream.request.slot, stream.request.attempt});
        return true;
    });
}

ReplyToken Simulation::sendRequest(std::size_t node, StepRequest request)
{
    const ReplyToken reply{this->nextReply++};
    this->nodes[node].inbox.push_back(StepRequested{reply, std::move(request), false});
    return reply;
}

void Simulation::deliver(std::size_t node, const RolloutEvent &event)
{
    for (RolloutAction &action : step(this->nodes[node].state, event, this->now))
        std::visit([&](auto &content) { this->perform(node, std::move(content)); }, action);
}

void Simulation::perform(std::size_t node, Generate &&action)
{
    FakeStream stream{node, this->nodes[node].incarnation, 0, {}, action.resumeTokens, 0};
    stream.engine = std::stoul(action.target.address);
    const std::size_t key = action.slot.group * 31 + action.slot.index * 17;
    stream.totalTokens = std::max(1 + key % this->maxSampleTokens, action.resumeTokens);
    stream.request = std::move(action);
    this->streams.push_back(std::move(stream));
}

void Simulation::perform(std::size_t node, CancelGeneration &&action)
{
    std::erase_if(this->streams, [&](const FakeStream &stream) {
        const bool isCancelled = stream.node == node && stream.request.slot == action.slot
                                 && stream.request.attempt == action.attempt;
        if (isCancelled)
            this->nodes[node].inbox.push_back(
                    GenerationFailed{stream.request.slot, stream.request.attempt});
        return isCancelled;
    });
}

void Simulation::perform(std::size_t node, Score &&action)
{
    if (this->randomChance(10))
        this->nodes[node].inbox.push_back(ScoringFailed{action.slot, action.attempt});
    else
        this->nodes[node].inbox.push_back(
                SampleScored{action.slot, action.attempt, static_cast<double>(action.text.size())});
}

void Simulation::perform(std::size_t node, ListSteps &&action)
{
    const auto &steps = this->openStepIndex[action.trainer];
    StepsListed listed{action.trainer, !this->storeFaults.down, {}};
    if (listed.succeeded)
        listed.steps.assign(steps.begin(), steps.end());
    this->nodes[node].inbox.push_back(std::move(listed));
}

void Simulation::perform(std::size_t node, LoadStep &&action)
{
    StepLoaded loaded{action.id, !this->storeFaults.down, {}};
    if (loaded.succeeded)
        loaded.records = this->recordLog[action.id];
    this->nodes[node].inbox.push_back(std::move(loaded));
}

AppendOutcome Simulation::append(const AppendRecord &action)
{
    auto &records = this->recordLog[action.id];
    const bool isOldFence = action.fence != FencingToken{this->fence};
    if (isOldFence || action.recordNumber != records.size())
        return AppendOutcome::Refused;
    records.push_back(action.record);
    ++this->appendCount;
    if (action.openSteps)
        this->openStepIndex[action.id.trainer] = *action.openSteps;
    return AppendOutcome::Committed;
}

void Simulation::perform(std::size_t node, AppendRecord &&action)
{
    RecordAppended appended{action.id, action.record.writeId, AppendOutcome::Unknown};
    if (this->randomChance(this->storeFaults.delayPercent)) {
        this->delayedAppends.push_back(std::move(action));
    } else if (!this->storeFaults.down
               && !this->randomChance(this->storeFaults.requestLossPercent)) {
        const AppendOutcome outcome = this->append(action);
        if (!this->randomChance(this->storeFaults.answerLossPercent))
            appended.outcome = outcome;
    }
    this->nodes[node].inbox.push_back(std::move(appended));
}

void Simulation::applyDelayedAppends()
{
    std::erase_if(this->delayedAppends, [this](const AppendRecord &action) {
        const bool takesEffect = this->randomChance(5);
        if (takesEffect)
            static_cast<void>(this->append(action));
        return takesEffect;
    });
}

void Simulation::perform(std::size_t node, ReadRecord &&action)
{
    const auto &records = this->recordLog[action.id];
    RecordRead read{action.id, action.writeId, !this->storeFaults.down, {}};
    if (read.succeeded && action.recordNumber < records.size())
        read.foundWriteId = records[action.recordNumber].writeId;
    this->nodes[node].inbox.push_back(std::move(read));
}

void Simulation::perform(std::size_t node, ForwardStep &&action)
{
    const std::size_t peer = std::stoul(action.node.id.value.substr(1));
    const ReplyToken reply{this->nextReply++};
    this->peerReplies[reply] = {node, action.operation};
    this->nodes[peer].inbox.push_back(StepRequested{reply, std::move(action.request), true});
}

void Simulation::perform(std::size_t /*node*/, AnswerStep &&action)
{
    const auto peer = this->peerReplies.find(action.reply);
    if (peer == this->peerReplies.end()) {
        this->answers[action.reply] = std::move(action.answer);
        return;
    }
    const auto [requester, operation] = peer->second;
    this->nodes[requester].inbox.push_back(
            ForwardedStepCompleted{operation, std::move(action.answer)});
}

void Simulation::advanceStreams()
{
    for (FakeStream &stream : this->streams) {
        const FakeEngine &engine = this->engines[stream.engine];
        SampleProgressed progress{stream.request.slot, stream.request.attempt, {}, {}};
        const std::uint64_t end =
                std::min(stream.totalTokens, stream.generatedTokens + tokensPerTimeStep);
        const std::uint64_t count = end - stream.generatedTokens;
        for (; stream.generatedTokens < end; ++stream.generatedTokens) {
            const std::uint64_t token = this->nextToken++;
            this->tokenOrigins[token] = {stream.request.slot, engine.version,
                                         incarnationName(engine), stream.generatedTokens};
            progress.text += std::to_string(token) + " ";
        }
        progress.spans = {{WeightVersion{engine.version}, incarnationName(engine), 0, count}};
        if (this->nodes[stream.node].incarnation != stream.nodeIncarnation)
            continue;
        auto &inbox = this->nodes[stream.node].inbox;
        if (count > 0)
            inbox.push_back(std::move(progress));
        if (stream.generatedTokens == stream.totalTokens)
            inbox.push_back(SampleGenerated{stream.request.slot, stream.request.attempt,
                                            stream.generatedTokens});
    }
    std::erase_if(this->streams, [](const FakeStream &stream) {
        return stream.generatedTokens == stream.totalTokens;
    });
}

void Simulation::run(Duration duration)
{
    const Time end = this->now + duration;
    while (this->now < end) {
        this->now += timeStep;
        this->advanceStreams();
        this->applyDelayedAppends();
        this->publishDelayedLeases();
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if ((this->now.time_since_epoch() / timeStep) % 10 == 0 && !this->nodes[i].paused)
                this->nodes[i].inbox.push_back(RolloutTick{});
            while (!this->nodes[i].paused && !this->nodes[i].inbox.empty()) {
                const RolloutEvent event = std::move(this->nodes[i].inbox.front());
                this->nodes[i].inbox.pop_front();
                this->deliver(i, event);
            }
        }
    }
}

bool Simulation::runUntil(const std::function<bool()> &condition, Duration timeout)
{
    const Time end = this->now + timeout;
    while (this->now < end && !condition())
        this->run(timeStep);
    return condition();
}

std::string Simulation::validateBatch(const StepSpec &spec, const StepAnswer &batch,
                                      std::uint64_t trainerVersion, std::uint64_t bound) const
{
    std::set<SampleSlot> seen;
    for (const auto &[slot, sample] : batch.samples) {
        if (slot.step != spec.id || !seen.insert(slot).second)
            return "the batch holds a slot of another step or a slot twice";
        std::istringstream tokens(sample.text);
        std::uint64_t token = 0;
        std::uint64_t position = 0;
        for (; tokens >> token; ++position) {
            const auto span = std::find_if(
                    sample.spans.begin(), sample.spans.end(), [&](const VersionSpan &candidate) {
                        return candidate.first <= position && position < candidate.last;
                    });
            const TokenOrigin &origin = this->tokenOrigins.at(token);
            if (span == sample.spans.end() || number(span->version) != origin.version
                || span->incarnation != origin.incarnation || origin.slot != slot
                || origin.position != position)
                return "the version label differs from the token's origin at position "
                       + std::to_string(position);
            if (origin.version + bound < trainerVersion)
                return "a token is older than the staleness bound";
        }
        if (sample.spans.empty() || sample.spans.back().last != position)
            return "the version spans do not cover the sample";
        if (sample.reward != static_cast<double>(sample.text.size()))
            return "the reward belongs to another text";
    }
    const std::size_t total = spec.prompts.size() * spec.groupSize;
    return seen.size() == total ? "" : "the batch is incomplete";
}

} // namespace rollout_simulation
