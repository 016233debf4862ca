#include "rollout_world.hpp"

#include <algorithm>
#include <sstream>

namespace rollout_world {
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

World::World(std::uint32_t seed, std::size_t nodeCount, std::size_t engineCount) : random(seed)
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

void World::publish(std::size_t node)
{
    auto table = std::make_shared<LeaseTable>();
    table->self = nodeName(node);
    for (std::uint32_t i = 0; i < shardCount; ++i)
        table->leases[{ShardKind::Steps, i}] = {nodeName(this->holder), FencingNumber{this->fence},
                                                this->now + 10s};
    this->nodes[node].inbox.push_back(RolloutLeasesChanged{table});
}

void World::restartNode(std::size_t node)
{
    FakeNode &fake = this->nodes[node];
    ++fake.life;
    fake.inbox.clear();
    fake.frozen = false;
    fake.state = makeRolloutState(nodeName(node),
                                  nodeName(node).value + "-" + std::to_string(fake.life));
    this->publish(node);
    fake.inbox.push_back(RolloutConfigurationChanged{this->configuration});
    fake.inbox.push_back(RolloutViewChanged{this->view});
}

void World::moveLeases(std::size_t newHolder)
{
    this->holder = newHolder;
    ++this->fence;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (!this->nodes[i].frozen)
            this->publish(i);
    }
}

// A resumed node continues with its old leases for some time before it receives the new ones.
void World::thaw(std::size_t node)
{
    this->nodes[node].frozen = false;
    this->uninformed.insert(node);
}

void World::informLate()
{
    std::erase_if(this->uninformed, [this](std::size_t node) {
        const bool isDelivered = this->chance(3);
        if (isDelivered)
            this->publish(node);
        return isDelivered;
    });
}

void World::crashEngine(std::size_t engine, std::uint64_t versionAfter)
{
    FakeEngine &fake = this->engines[engine];
    ++fake.incarnation;
    fake.version = versionAfter;
    std::erase_if(this->streams, [&](const FakeStream &stream) {
        if (stream.engine != engine)
            return false;
        if (this->nodes[stream.node].life == stream.life)
            this->nodes[stream.node].inbox.push_back(
                    GenerationFailed{stream.order.slot, stream.order.attempt});
        return true;
    });
}

ReplyToken World::ask(std::size_t node, StepRequest request)
{
    const ReplyToken reply{this->nextReply++};
    this->nodes[node].inbox.push_back(StepRequested{reply, std::move(request), false});
    return reply;
}

void World::deliver(std::size_t node, const RolloutEvent &event)
{
    for (RolloutAction &action : step(this->nodes[node].state, event, this->now))
        std::visit([&](auto &content) { this->perform(node, std::move(content)); }, action);
}

void World::perform(std::size_t node, Generate &&action)
{
    FakeStream stream{node, this->nodes[node].life, 0, {}, action.resumeTokens, 0};
    stream.engine = std::stoul(action.target.address);
    const std::size_t key = action.slot.group * 31 + action.slot.index * 17;
    stream.length = std::max(1 + key % this->lengthLimit, action.resumeTokens);
    stream.order = std::move(action);
    this->streams.push_back(std::move(stream));
}

void World::perform(std::size_t node, CancelGeneration &&action)
{
    std::erase_if(this->streams, [&](const FakeStream &stream) {
        const bool isCancelled = stream.node == node && stream.order.slot == action.slot
                                 && stream.order.attempt == action.attempt;
        if (isCancelled)
            this->nodes[node].inbox.push_back(
                    GenerationFailed{stream.order.slot, stream.order.attempt});
        return isCancelled;
    });
}

void World::perform(std::size_t node, Score &&action)
{
    if (this->chance(10))
        this->nodes[node].inbox.push_back(ScoringFailed{action.slot, action.attempt});
    else
        this->nodes[node].inbox.push_back(
                SampleScored{action.slot, action.attempt, static_cast<double>(action.text.size())});
}

void World::perform(std::size_t node, ListSteps &&action)
{
    const auto &steps = this->index[action.trainer];
    StepsListed listed{action.trainer, !this->faults.down, {}};
    if (listed.answered)
        listed.steps.assign(steps.begin(), steps.end());
    this->nodes[node].inbox.push_back(std::move(listed));
}

void World::perform(std::size_t node, LoadStep &&action)
{
    StepLoaded loaded{action.id, !this->faults.down, {}};
    if (loaded.answered)
        loaded.records = this->log[action.id];
    this->nodes[node].inbox.push_back(std::move(loaded));
}

AppendOutcome World::append(const AppendRecord &action)
{
    auto &records = this->log[action.id];
    const bool isOldFence = action.fence != FencingNumber{this->fence};
    if (isOldFence || action.number != records.size())
        return AppendOutcome::Refused;
    records.push_back(action.record);
    ++this->appends;
    if (action.openSteps)
        this->index[action.id.trainer] = *action.openSteps;
    return AppendOutcome::Committed;
}

void World::perform(std::size_t node, AppendRecord &&action)
{
    RecordAppended appended{action.id, action.record.writeId, AppendOutcome::Unknown};
    if (this->chance(this->faults.delays)) {
        this->lateAppends.push_back(std::move(action));
    } else if (!this->faults.down && !this->chance(this->faults.losesBefore)) {
        const AppendOutcome outcome = this->append(action);
        if (!this->chance(this->faults.losesAfter))
            appended.outcome = outcome;
    }
    this->nodes[node].inbox.push_back(std::move(appended));
}

void World::landLateAppends()
{
    std::erase_if(this->lateAppends, [this](const AppendRecord &action) {
        const bool takesEffect = this->chance(5);
        if (takesEffect)
            static_cast<void>(this->append(action));
        return takesEffect;
    });
}

void World::perform(std::size_t node, ReadRecord &&action)
{
    const auto &records = this->log[action.id];
    RecordRead read{action.id, action.writeId, !this->faults.down, {}};
    if (read.answered && action.number < records.size())
        read.foundWriteId = records[action.number].writeId;
    this->nodes[node].inbox.push_back(std::move(read));
}

void World::perform(std::size_t node, ForwardStep &&action)
{
    const std::size_t peer = std::stoul(action.node.id.value.substr(1));
    const ReplyToken reply{this->nextReply++};
    this->peerReplies[reply] = {node, action.operation};
    this->nodes[peer].inbox.push_back(StepRequested{reply, std::move(action.request), true});
}

void World::perform(std::size_t /*node*/, AnswerStep &&action)
{
    const auto peer = this->peerReplies.find(action.reply);
    if (peer == this->peerReplies.end()) {
        this->answers[action.reply] = std::move(action.answer);
        return;
    }
    const auto [requester, operation] = peer->second;
    this->nodes[requester].inbox.push_back(StepPeerAnswered{operation, std::move(action.answer)});
}

void World::advanceStreams()
{
    for (FakeStream &stream : this->streams) {
        const FakeEngine &engine = this->engines[stream.engine];
        SampleProgressed progress{stream.order.slot, stream.order.attempt, {}, {}};
        const std::uint64_t end = std::min(stream.length, stream.made + tokensPerTimeStep);
        const std::uint64_t count = end - stream.made;
        for (; stream.made < end; ++stream.made) {
            const std::uint64_t token = this->nextToken++;
            this->ledger[token] = {stream.order.slot, engine.version, incarnationName(engine),
                                   stream.made};
            progress.text += std::to_string(token) + " ";
        }
        progress.spans = {{WeightVersion{engine.version}, incarnationName(engine), 0, count}};
        if (this->nodes[stream.node].life != stream.life)
            continue;
        auto &inbox = this->nodes[stream.node].inbox;
        if (count > 0)
            inbox.push_back(std::move(progress));
        if (stream.made == stream.length)
            inbox.push_back(SampleGenerated{stream.order.slot, stream.order.attempt, stream.made});
    }
    std::erase_if(this->streams,
                  [](const FakeStream &stream) { return stream.made == stream.length; });
}

void World::run(Duration duration)
{
    const Time end = this->now + duration;
    while (this->now < end) {
        this->now += timeStep;
        this->advanceStreams();
        this->landLateAppends();
        this->informLate();
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if ((this->now.time_since_epoch() / timeStep) % 10 == 0 && !this->nodes[i].frozen)
                this->nodes[i].inbox.push_back(RolloutTick{});
            while (!this->nodes[i].frozen && !this->nodes[i].inbox.empty()) {
                const RolloutEvent event = std::move(this->nodes[i].inbox.front());
                this->nodes[i].inbox.pop_front();
                this->deliver(i, event);
            }
        }
    }
}

bool World::runUntil(const std::function<bool()> &condition, Duration timeout)
{
    const Time end = this->now + timeout;
    while (this->now < end && !condition())
        this->run(timeStep);
    return condition();
}

std::string World::check(const StepOrder &spec, const StepAnswer &batch,
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
            const LedgerEntry &entry = this->ledger.at(token);
            if (span == sample.spans.end() || number(span->version) != entry.version
                || span->incarnation != entry.incarnation || entry.slot != slot
                || entry.position != position)
                return "the version label differs from the token's origin at position "
                       + std::to_string(position);
            if (entry.version + bound < trainerVersion)
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

} // namespace rollout_world
