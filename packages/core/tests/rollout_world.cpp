#include "rollout_world.hpp"

#include <algorithm>
#include <sstream>

namespace rollout_world {
namespace {

using namespace std::chrono_literals;

constexpr Duration slice = 50ms;
constexpr std::uint64_t tokensOfSlice = 3;

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

// A node that wakes handles what waited in its ring before it hears of the new leases.
void World::thaw(std::size_t node)
{
    this->nodes[node].frozen = false;
    this->publish(node);
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

void World::perform(std::size_t node, Generate &&order)
{
    FakeStream stream{node, this->nodes[node].life, 0, {}, order.resumeTokens, 0};
    stream.engine = std::stoul(order.target.address);
    const std::size_t key = order.slot.group * 31 + order.slot.index * 17;
    stream.length = std::max(1 + key % this->lengthLimit, order.resumeTokens);
    stream.order = std::move(order);
    this->streams.push_back(std::move(stream));
}

void World::perform(std::size_t node, CancelGeneration &&order)
{
    std::erase_if(this->streams, [&](const FakeStream &stream) {
        const bool isIt = stream.node == node && stream.order.slot == order.slot
                          && stream.order.target.id == order.target.id;
        if (isIt)
            this->nodes[node].inbox.push_back(
                    GenerationFailed{stream.order.slot, stream.order.attempt});
        return isIt;
    });
}

void World::perform(std::size_t node, Score &&order)
{
    if (this->chance(10))
        this->nodes[node].inbox.push_back(ScoringFailed{order.slot, order.attempt});
    else
        this->nodes[node].inbox.push_back(
                SampleScored{order.slot, order.attempt, static_cast<double>(order.text.size())});
}

void World::perform(std::size_t node, ListSteps &&order)
{
    const auto &steps = this->index[order.trainer];
    StepsListed listed{order.trainer, !this->faults.down, {}};
    if (listed.answered)
        listed.steps.assign(steps.begin(), steps.end());
    this->nodes[node].inbox.push_back(std::move(listed));
}

void World::perform(std::size_t node, LoadStep &&order)
{
    StepLoaded loaded{order.id, !this->faults.down, {}};
    if (loaded.answered)
        loaded.records = this->log[order.id];
    this->nodes[node].inbox.push_back(std::move(loaded));
}

void World::perform(std::size_t node, AppendRecord &&order)
{
    RecordAppended appended{order.id, order.record.writeId, AppendOutcome::Unknown};
    auto &records = this->log[order.id];
    if (!this->faults.down && !this->chance(this->faults.losesBefore)) {
        const bool isFenced = order.fence != FencingNumber{this->fence};
        if (isFenced || order.number != records.size()) {
            appended.outcome = AppendOutcome::Refused;
        } else {
            appended.outcome = AppendOutcome::Committed;
            records.push_back(std::move(order.record));
            ++this->appends;
            if (order.openSteps)
                this->index[order.id.trainer] = *order.openSteps;
        }
        if (this->chance(this->faults.losesAfter))
            appended.outcome = AppendOutcome::Unknown;
    }
    this->nodes[node].inbox.push_back(std::move(appended));
}

void World::perform(std::size_t node, ReadRecord &&order)
{
    const auto &records = this->log[order.id];
    RecordRead read{order.id, order.writeId, !this->faults.down, {}};
    if (read.answered && order.number < records.size())
        read.foundWriteId = records[order.number].writeId;
    this->nodes[node].inbox.push_back(std::move(read));
}

void World::perform(std::size_t node, ForwardStep &&order)
{
    const std::size_t peer = std::stoul(order.node.id.value.substr(1));
    const ReplyToken reply{this->nextReply++};
    this->peerReplies[reply] = {node, order.operation};
    this->nodes[peer].inbox.push_back(StepRequested{reply, std::move(order.request), true});
}

void World::perform(std::size_t /*node*/, AnswerStep &&order)
{
    const auto peer = this->peerReplies.find(order.reply);
    if (peer == this->peerReplies.end()) {
        this->answers[order.reply] = std::move(order.answer);
        return;
    }
    const auto [asker, operation] = peer->second;
    this->nodes[asker].inbox.push_back(StepPeerAnswered{operation, std::move(order.answer)});
}

void World::advanceStreams()
{
    for (FakeStream &stream : this->streams) {
        const FakeEngine &engine = this->engines[stream.engine];
        SampleProgressed progress{stream.order.slot, stream.order.attempt, {}, {}};
        const std::uint64_t end = std::min(stream.length, stream.made + tokensOfSlice);
        const std::uint64_t count = end - stream.made;
        for (; stream.made < end; ++stream.made) {
            const std::uint64_t token = this->nextToken++;
            this->ledger[token] = {stream.order.slot, engine.version, incarnationName(engine)};
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

void World::run(Duration time)
{
    const Time end = this->now + time;
    while (this->now < end) {
        this->now += slice;
        this->advanceStreams();
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if ((this->now.time_since_epoch() / slice) % 10 == 0 && !this->nodes[i].frozen)
                this->nodes[i].inbox.push_back(RolloutTick{});
            while (!this->nodes[i].frozen && !this->nodes[i].inbox.empty()) {
                const RolloutEvent event = std::move(this->nodes[i].inbox.front());
                this->nodes[i].inbox.pop_front();
                this->deliver(i, event);
            }
        }
    }
}

bool World::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Time end = this->now + limit;
    while (this->now < end && !condition())
        this->run(slice);
    return condition();
}

std::string World::check(const StepOrder &order, const StepAnswer &batch,
                         std::uint64_t trainerVersion, std::uint64_t bound) const
{
    std::set<SampleSlot> seen;
    for (const auto &[slot, sample] : batch.samples) {
        if (slot.step != order.id || !seen.insert(slot).second)
            return "a slot of another step or twice";
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
                || span->incarnation != entry.incarnation || entry.slot != slot)
                return "label differs from the engine's ledger at token "
                       + std::to_string(position);
            if (entry.version + bound < trainerVersion)
                return "older than the bound";
        }
        if (sample.spans.empty() || sample.spans.back().last != position)
            return "spans do not cover the sample";
        if (sample.reward != static_cast<double>(sample.text.size()))
            return "reward of another text";
    }
    const std::size_t total = order.prompts.size() * order.groupSize;
    return seen.size() == total ? "" : "not whole";
}

} // namespace rollout_world
