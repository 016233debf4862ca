#include "batch_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumpulley::core::test {
namespace {

using namespace std::chrono_literals;

constexpr Duration storeLatency = 4ms;
constexpr Duration answerTimeout = 1500ms; // The caller of the store then reports no answer.
constexpr Duration eventInterval = 25ms;
constexpr Duration heartbeatPeriod = 600ms;
constexpr Duration publishPeriod = 100ms;
constexpr std::uint32_t engineCount = 4;
constexpr std::uint32_t engineSlots = 8;

std::shared_ptr<const RoutingTable> makeRouting()
{
    auto routing = std::make_shared<RoutingTable>();
    Route route;
    route.host = "host";
    route.pathPrefix = "/batch/";
    route.kind = RouteKind::Batch;
    route.shares = {{{"engines"}, 1}};
    route.maxAttempts = 3;
    route.dueAfter = 7500ms;
    route.giveUpAfter = 40s;
    routing->routes.push_back(route);
    routing->services.push_back({{"engines"}, 100, true});
    return routing;
}

std::shared_ptr<const TargetMap> makeTargets()
{
    auto targets = std::make_shared<TargetMap>();
    for (std::uint32_t i = 0; i < engineCount; ++i) {
        FleetTarget target;
        target.target = {{"engine-" + std::to_string(i)}, {"engines"}, "address", "zone", false};
        target.slots = engineSlots;
        target.weights["model"] = WeightVersion{3};
        targets->emplace(target.target.id, target);
    }
    return targets;
}

} // namespace

BatchWorld::BatchWorld(std::uint64_t seed, std::size_t count)
    : random(seed), routing(makeRouting()), targets(makeTargets())
{
    this->nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        this->nodes[i].self = {{"node-" + std::to_string(i)}, "address", "zone", 0};
        this->start(i);
    }
}

void BatchWorld::start(std::size_t index)
{
    WorldNode &node = this->nodes[index];
    node.up = true;
    ++node.self.incarnation;
    node.beats = 0;
    node.armed.reset();
    node.state = makeBatchState(node.self, {});
    node.presence = makePresence(node.self.id, {}, this->time);
    this->beat(index);
    this->publish(index);
}

void BatchWorld::schedule(Duration delay, std::function<void()> action)
{
    this->queue.push({this->time + delay, this->scheduled++, std::move(action)});
}

void BatchWorld::runFor(Duration duration)
{
    const Time end = this->time + duration;
    while (!this->queue.empty() && this->queue.top().at <= end) {
        const Scheduled next = this->queue.top();
        this->queue.pop();
        this->time = next.at;
        next.act();
    }
    this->time = end;
}

bool BatchWorld::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

void BatchWorld::deliver(std::size_t index, const BatchEvent &event)
{
    WorldNode &node = this->nodes[index];
    if (!node.up)
        return;
    for (const BatchAction &action : step(node.state, event, this->time))
        this->perform(index, action);
    // A tick after which the next one is due immediately would repeat endlessly.
    const std::optional<Time> due = dueAt(node.state, this->time);
    if (std::holds_alternative<BatchTick>(event) && due)
        CHECK(*due > this->time);
    this->tick(index);
}

// Events for a process that has ended in the meantime are lost.
void BatchWorld::deliverAfter(std::size_t index, Duration delay, BatchEvent event)
{
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    this->schedule(delay, [this, index, incarnation, event = std::move(event)] {
        if (this->nodes[index].self.incarnation == incarnation)
            this->deliver(index, event);
    });
}

void BatchWorld::tick(std::size_t index)
{
    WorldNode &node = this->nodes[index];
    const std::optional<Time> due = dueAt(node.state, this->time);
    if (!due || (node.armed && *node.armed <= *due))
        return;
    node.armed = due;
    const std::uint64_t incarnation = node.self.incarnation;
    this->schedule(std::max<Duration>(*due - this->time, 1ms), [this, index, incarnation, due] {
        WorldNode &current = this->nodes[index];
        if (current.self.incarnation != incarnation || current.armed != due)
            return;
        current.armed.reset();
        this->deliver(index, BatchTick{});
    });
}

void BatchWorld::beat(std::size_t index)
{
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    WorldNode &sender = this->nodes[index];
    const NodeBeat heartbeat{sender.self, ++sender.beats, sender.state.draining};
    for (WorldNode &node : this->nodes) {
        if (node.up)
            noteBeat(node.presence, heartbeat, this->time);
    }
    this->schedule(heartbeatPeriod, [this, index, incarnation] {
        const WorldNode &node = this->nodes[index];
        if (node.up && node.self.incarnation == incarnation)
            this->beat(index);
    });
}

void BatchWorld::publish(std::size_t index)
{
    WorldNode &node = this->nodes[index];
    auto directory = std::make_shared<Directory>();
    directory->routing = this->routing;
    directory->targets = this->targets;
    directory->desiredWeights = std::make_shared<WeightMap>();
    directory->leastWeights = std::make_shared<WeightMap>();
    directory->shares = std::make_shared<EngineShares>();
    auto heads = std::make_shared<BatchMap>();
    for (const auto &[id, stored] : this->rows)
        heads->emplace(id, stored.head);
    directory->batches = std::move(heads);
    directory->presence = node.presence;
    directory->ownershipKnownUntil = this->time + 1s;
    directory->storeClockOffset = Duration{};
    const std::uint64_t incarnation = node.self.incarnation;
    this->deliver(index, BatchDirectoryChanged{directory});
    this->schedule(publishPeriod, [this, index, incarnation] {
        const WorldNode &current = this->nodes[index];
        if (current.up && current.self.incarnation == incarnation)
            this->publish(index);
    });
}

void BatchWorld::restart(std::size_t index, Duration downtime)
{
    this->nodes[index].up = false;
    this->schedule(downtime, [this, index] { this->start(index); });
}

void BatchWorld::drain(std::size_t index)
{
    this->deliver(index, BatchDraining{});
}

void BatchWorld::submit(std::size_t index, const std::shared_ptr<const BatchOrder> &spec)
{
    this->deliver(index, SubmitAsked{ReplyToken{this->nextReply++}, spec});
}

void BatchWorld::end(std::size_t index, const BatchId &batch)
{
    this->deliver(index, EndAsked{ReplyToken{this->nextReply++}, batch});
}

void BatchWorld::read(std::size_t index, const BatchId &batch, std::uint64_t firstPosition,
                      Duration maxWait)
{
    this->deliver(index,
                  ResultsAsked{ReplyToken{this->nextReply++}, batch, firstPosition, maxWait});
}

void BatchWorld::readBody(std::size_t index, const BatchId &batch, const ItemId &item)
{
    this->deliver(index, ItemBodyAsked{ReplyToken{this->nextReply++}, batch, item});
}

void BatchWorld::write(std::size_t index, const BatchEvent &unanswered,
                       const std::function<BatchEvent(bool)> &apply)
{
    if (this->chance(this->faults.refusals))
        return this->deliverAfter(index, storeLatency, apply(false));
    const bool isLost = this->chance(this->faults.lostAnswers);
    const bool isLate = isLost && this->chance(this->faults.lateWrites);
    const Duration delay = isLate ? Duration(2s) : storeLatency;
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    if (isLost)
        this->deliverAfter(index, answerTimeout, unanswered);
    this->schedule(delay, [this, index, apply, isLost, incarnation] {
        const BatchEvent event = apply(true);
        if (!isLost && this->nodes[index].self.incarnation == incarnation)
            this->deliver(index, event);
    });
}

void BatchWorld::storeSubmission(std::size_t index, const StoreSubmission &action)
{
    const BatchId id = action.head.id;
    const auto unanswered = [id](StoreOutcome outcome) {
        return SubmissionStored{id, outcome, {}, std::nullopt};
    };
    this->write(index, unanswered(StoreOutcome::Unknown),
                [this, action, id, unanswered](bool accepted) -> BatchEvent {
                    if (!accepted)
                        return unanswered(StoreOutcome::NotDone);
                    const auto known = this->rows.find(id);
                    if (known != this->rows.end())
                        return SubmissionStored{id, StoreOutcome::Conflict, {}, known->second.head};
                    BatchHead head = action.head;
                    head.version = RowVersion{++this->version};
                    this->rows.emplace(id, StoredRows{head, action.order, {}, {}});
                    return SubmissionStored{id, StoreOutcome::Done, head.version, std::nullopt};
                });
}

void BatchWorld::storeResults(std::size_t index, const StoreResults &action)
{
    const auto answer = [action](CommitVerdict verdict) {
        return ResultsStored{action.batch, action.fence, verdict};
    };
    this->write(index, answer(CommitVerdict::Unknown),
                [this, action, answer](bool accepted) -> BatchEvent {
                    if (!accepted)
                        return answer(CommitVerdict::NotDone);
                    StoredRows &stored = this->rows.at(action.batch);
                    if (stored.head.version != action.fence)
                        return answer(CommitVerdict::Superseded);
                    // An earlier attempt of the same commit has been applied.
                    if (!action.results.empty() && stored.results.size() > action.first)
                        return answer(CommitVerdict::Done);
                    CHECK((action.results.empty() || stored.results.size() == action.first));
                    ++this->version;
                    stored.results.insert(stored.results.end(), action.results.begin(),
                                          action.results.end());
                    for (const PartialText &partial : action.partials)
                        stored.partials[partial.item] = partial;
                    return answer(CommitVerdict::Done);
                });
}

void BatchWorld::storeHead(std::size_t index, const StoreHead &action)
{
    const auto answer = [head = action.head](StoreOutcome outcome) {
        return HeadStored{head, outcome, {}, std::nullopt};
    };
    this->write(index, answer(StoreOutcome::Unknown),
                [this, action, answer](bool accepted) -> BatchEvent {
                    if (!accepted)
                        return answer(StoreOutcome::NotDone);
                    StoredRows &stored = this->rows.at(action.head.id);
                    if (stored.head.version != action.expected)
                        return HeadStored{action.head, StoreOutcome::Conflict, {}, stored.head};
                    stored.head = action.head;
                    stored.head.version = RowVersion{++this->version};
                    for (const PartialText &partial : action.partials)
                        stored.partials[partial.item] = partial;
                    return HeadStored{action.head, StoreOutcome::Done, stored.head.version,
                                      std::nullopt};
                });
}

void BatchWorld::run(std::size_t index, const StartRun &action)
{
    ++this->runs[action.batch];
    this->lastRun[action.batch] = this->time;
    const std::uint64_t id = number(action.run);
    const auto isCancelled = [this, index, id] { return this->cancelled[{index, id}]; };
    if (this->chance(this->faults.refusedRuns))
        return this->deliverAfter(index, 3ms, RunEnded{action.run, RunEnd::Refused});
    this->deliverAfter(index, 5ms, RunOpened{action.run, WeightVersion{3}});
    const ItemId item = action.order->items[action.item].id;
    const std::uint64_t count = eventCount(item);
    const bool isBroken = this->chance(this->faults.brokenRuns);
    const std::uint64_t last =
            isBroken ? action.resumeAfter + (count - action.resumeAfter) / 2 : count;
    Duration delay = 5ms;
    for (std::uint64_t event = action.resumeAfter + 1; event <= last; ++event) {
        delay += eventInterval;
        this->deliverAfter(index, delay,
                           RunProgressed{action.run, event, eventText(item, event), std::nullopt});
    }
    const RunEnd end = isBroken ? RunEnd::Broken : RunEnd::Complete;
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    this->schedule(delay + 1ms, [this, index, incarnation, isCancelled, run = action.run, end] {
        if (this->nodes[index].self.incarnation == incarnation && !isCancelled())
            this->deliver(index, RunEnded{run, end});
    });
}

void BatchWorld::noteResults(const AnswerResults &answer)
{
    this->reads.push_back(answer);
    if (answer.verdict != ReadVerdict::Found)
        return;
    for (std::size_t i = 0; i < answer.results.size(); ++i) {
        const auto [position, isNew] =
                this->seen[answer.batch].emplace(answer.after + i, answer.results[i]);
        CHECK(position->second == answer.results[i]);
        static_cast<void>(isNew);
    }
}

void BatchWorld::perform(std::size_t index, const BatchAction &action)
{
    if (const auto *submission = std::get_if<StoreSubmission>(&action)) {
        this->storeSubmission(index, *submission);
    } else if (const auto *results = std::get_if<StoreResults>(&action)) {
        this->storeResults(index, *results);
    } else if (const auto *head = std::get_if<StoreHead>(&action)) {
        this->storeHead(index, *head);
    } else if (const auto *load = std::get_if<LoadBatch>(&action)) {
        BatchLoaded loaded{load->batch, true, nullptr};
        if (const StoredRows *found = this->stored(load->batch)) {
            auto batch = std::make_shared<StoredBatch>();
            batch->head = found->head;
            batch->order = *found->order;
            batch->results = found->results;
            for (const auto &[item, partial] : found->partials)
                batch->partials.push_back(partial);
            loaded.stored = std::move(batch);
        }
        this->deliverAfter(index, storeLatency, std::move(loaded));
    } else if (const auto *read = std::get_if<ReadResults>(&action)) {
        ResultsRead result;
        result.reply = read->reply;
        result.answered = true;
        if (const StoredRows *found = this->stored(read->batch)) {
            result.exists = true;
            result.ended = found->head.ended;
            result.total = found->head.total;
            const auto first = std::min<std::size_t>(read->after, found->results.size());
            result.results.assign(found->results.begin() + static_cast<std::ptrdiff_t>(first),
                                  found->results.end());
        }
        this->deliverAfter(index, storeLatency, std::move(result));
    } else if (const auto *start = std::get_if<StartRun>(&action)) {
        this->run(index, *start);
    } else if (const auto *cancel = std::get_if<CancelRun>(&action)) {
        this->cancelled[{index, number(cancel->run)}] = true;
        this->deliverAfter(index, 1ms, RunEnded{cancel->run, RunEnd::Broken});
    } else if (const auto *score = std::get_if<ScoreAsked>(&action)) {
        ScoreEnded ended;
        ended.batch = score->batch;
        ended.item = score->item;
        ended.failuresAllowed = 100;
        if (!this->chance(this->faults.failedScores)) {
            ended.outcome = ScoreEnded::Outcome::Scored;
            ended.score = "score-" + score->item.value;
        }
        this->deliverAfter(index, 10ms, std::move(ended));
    } else if (const auto *submitted = std::get_if<AnswerSubmit>(&action)) {
        this->verdicts[submitted->batch].push_back(submitted->verdict);
    } else if (const auto *ended = std::get_if<AnswerEnd>(&action)) {
        this->ends[ended->batch].push_back(ended->verdict);
    } else if (const auto *answer = std::get_if<AnswerResults>(&action)) {
        this->noteResults(*answer);
    } else if (const auto *body = std::get_if<AnswerItemBody>(&action)) {
        this->bodies.push_back(*body);
    } else if (const auto *change = std::get_if<OwnershipChanged>(&action)) {
        this->changes.push_back(*change);
        this->takeovers += change->change == OwnershipChange::TakenOver ? 1 : 0;
    }
}

const StoredRows *BatchWorld::stored(const BatchId &batch) const
{
    const auto position = this->rows.find(batch);
    return position == this->rows.end() ? nullptr : &position->second;
}

bool BatchWorld::isWhole(const BatchId &batch) const
{
    const StoredRows *found = this->stored(batch);
    if (found == nullptr || found->results.size() != found->order->items.size())
        return false;
    std::set<ItemId> itemIds;
    for (const ItemResult &result : found->results) {
        std::string text;
        for (std::uint64_t event = 1; event <= eventCount(result.id); ++event)
            text += (event == 1 ? "" : "\n") + eventText(result.id, event);
        const bool isExpected = result.outcome == ItemOutcome::Completed && result.text == text
                                && result.versions == std::vector{WeightVersion{3}}
                                && result.score == "score-" + result.id.value;
        if (!isExpected || !itemIds.insert(result.id).second)
            return false;
    }
    return true;
}

std::shared_ptr<const BatchOrder> BatchWorld::makeOrder(const std::string &id, std::uint32_t groups,
                                                        std::uint32_t groupSize)
{
    auto spec = std::make_shared<BatchOrder>();
    spec->id = {id};
    spec->host = "host";
    spec->path = "/batch/" + id;
    spec->model = "model";
    spec->leastVersion = WeightVersion{2};
    for (std::uint32_t i = 0; i < groups * groupSize; ++i) {
        BatchItem item;
        item.id = {id + "-" + std::to_string(i)};
        item.path = "/batch/run";
        item.body = "body of " + item.id.value;
        item.group = std::to_string(i / groupSize);
        item.scoring = ScoringRequest{"s" + item.id.value, "host", "/score", "x"};
        spec->items.push_back(std::move(item));
    }
    return spec;
}

std::string BatchWorld::eventText(const ItemId &item, std::uint64_t eventId)
{
    return item.value + ":" + std::to_string(eventId);
}

std::uint64_t BatchWorld::eventCount(const ItemId &item)
{
    return 3 + std::hash<std::string>{}(item.value) % 40;
}

} // namespace geraniumpulley::core::test
