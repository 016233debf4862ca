#include "batch_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumpulley::core::test {
namespace {

using namespace std::chrono_literals;

constexpr Duration storeTime = 4ms;
constexpr Duration answerLimit = 1500ms; // Then the caller gives a lost answer up.
constexpr Duration eventTime = 25ms;
constexpr Duration beatPeriod = 600ms;
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

void BatchWorld::schedule(Duration after, std::function<void()> act)
{
    this->queue.push({this->time + after, this->scheduled++, std::move(act)});
}

void BatchWorld::runFor(Duration span)
{
    const Time end = this->time + span;
    while (!this->queue.empty() && this->queue.top().at <= end) {
        const Scheduled next = this->queue.top();
        this->queue.pop();
        this->time = next.at;
        next.act();
    }
    this->time = end;
}

bool BatchWorld::chance(double share)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

void BatchWorld::deliver(std::size_t index, const BatchEvent &event)
{
    WorldNode &node = this->nodes[index];
    if (!node.up)
        return;
    for (const BatchAction &action : step(node.state, event, this->time))
        this->perform(index, action);
    // A tick that leaves something due at once would be followed by the next one, without end.
    const std::optional<Time> due = dueAt(node.state, this->time);
    if (std::holds_alternative<BatchTick>(event) && due)
        CHECK(*due > this->time);
    this->tick(index);
}

// Answers to a process that has ended since are lost with it.
void BatchWorld::deliverAfter(std::size_t index, Duration after, BatchEvent event)
{
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    this->schedule(after, [this, index, incarnation, event = std::move(event)] {
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
        WorldNode &later = this->nodes[index];
        if (later.self.incarnation != incarnation || later.armed != due)
            return;
        later.armed.reset();
        this->deliver(index, BatchTick{});
    });
}

void BatchWorld::beat(std::size_t index)
{
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    WorldNode &sender = this->nodes[index];
    const NodeBeat beat{sender.self, ++sender.beats, sender.state.draining};
    for (WorldNode &node : this->nodes) {
        if (node.up)
            noteBeat(node.presence, beat, this->time);
    }
    this->schedule(beatPeriod, [this, index, incarnation] {
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
        const WorldNode &later = this->nodes[index];
        if (later.up && later.self.incarnation == incarnation)
            this->publish(index);
    });
}

void BatchWorld::restart(std::size_t index, Duration downFor)
{
    this->nodes[index].up = false;
    this->schedule(downFor, [this, index] { this->start(index); });
}

void BatchWorld::drain(std::size_t index)
{
    this->deliver(index, BatchDraining{});
}

void BatchWorld::submit(std::size_t index, const std::shared_ptr<const BatchOrder> &order)
{
    this->deliver(index, SubmitAsked{ReplyToken{this->nextReply++}, order});
}

void BatchWorld::end(std::size_t index, const BatchId &batch)
{
    this->deliver(index, EndAsked{ReplyToken{this->nextReply++}, batch});
}

void BatchWorld::read(std::size_t index, const BatchId &batch, std::uint64_t after, Duration wait)
{
    this->deliver(index, ResultsAsked{ReplyToken{this->nextReply++}, batch, after, wait});
}

void BatchWorld::readBody(std::size_t index, const BatchId &batch, const ItemId &item)
{
    this->deliver(index, ItemBodyAsked{ReplyToken{this->nextReply++}, batch, item});
}

void BatchWorld::write(std::size_t index, const BatchEvent &unanswered,
                       const std::function<BatchEvent(bool)> &apply)
{
    if (this->chance(this->faults.refusals))
        return this->deliverAfter(index, storeTime, apply(false));
    const bool isLost = this->chance(this->faults.lostAnswers);
    const bool isLate = isLost && this->chance(this->faults.lateWrites);
    const Duration after = isLate ? Duration(2s) : storeTime;
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    if (isLost)
        this->deliverAfter(index, answerLimit, unanswered);
    this->schedule(after, [this, index, apply, isLost, incarnation] {
        const BatchEvent event = apply(true);
        if (!isLost && this->nodes[index].self.incarnation == incarnation)
            this->deliver(index, event);
    });
}

void BatchWorld::storeSubmission(std::size_t index, const StoreSubmission &order)
{
    const BatchId id = order.head.id;
    const auto unanswered = [id](StoreOutcome outcome) {
        return SubmissionStored{id, outcome, {}, std::nullopt};
    };
    this->write(index, unanswered(StoreOutcome::Unknown),
                [this, order, id, unanswered](bool reached) -> BatchEvent {
                    if (!reached)
                        return unanswered(StoreOutcome::NotDone);
                    const auto known = this->rows.find(id);
                    if (known != this->rows.end())
                        return SubmissionStored{id, StoreOutcome::Conflict, {}, known->second.head};
                    BatchHead head = order.head;
                    head.version = RowVersion{++this->version};
                    this->rows.emplace(id, StoredRows{head, order.order, {}, {}});
                    return SubmissionStored{id, StoreOutcome::Done, head.version, std::nullopt};
                });
}

void BatchWorld::storeResults(std::size_t index, const StoreResults &order)
{
    const auto answer = [order](CommitVerdict verdict) {
        return ResultsStored{order.batch, order.fence, verdict};
    };
    this->write(index, answer(CommitVerdict::Unknown),
                [this, order, answer](bool reached) -> BatchEvent {
                    if (!reached)
                        return answer(CommitVerdict::NotDone);
                    StoredRows &stored = this->rows.at(order.batch);
                    if (stored.head.version != order.fence)
                        return answer(CommitVerdict::Superseded);
                    if (!order.results.empty() && stored.results.size() > order.first)
                        return answer(CommitVerdict::Done); // An earlier try of the same commit.
                    CHECK((order.results.empty() || stored.results.size() == order.first));
                    ++this->version;
                    stored.results.insert(stored.results.end(), order.results.begin(),
                                          order.results.end());
                    for (const PartialText &partial : order.partials)
                        stored.partials[partial.item] = partial;
                    return answer(CommitVerdict::Done);
                });
}

void BatchWorld::storeHead(std::size_t index, const StoreHead &order)
{
    const auto answer = [head = order.head](StoreOutcome outcome) {
        return HeadStored{head, outcome, {}, std::nullopt};
    };
    this->write(index, answer(StoreOutcome::Unknown),
                [this, order, answer](bool reached) -> BatchEvent {
                    if (!reached)
                        return answer(StoreOutcome::NotDone);
                    StoredRows &stored = this->rows.at(order.head.id);
                    if (stored.head.version != order.expected)
                        return HeadStored{order.head, StoreOutcome::Conflict, {}, stored.head};
                    stored.head = order.head;
                    stored.head.version = RowVersion{++this->version};
                    for (const PartialText &partial : order.partials)
                        stored.partials[partial.item] = partial;
                    return HeadStored{order.head, StoreOutcome::Done, stored.head.version,
                                      std::nullopt};
                });
}

void BatchWorld::run(std::size_t index, const StartRun &order)
{
    ++this->runs[order.batch];
    this->lastRun[order.batch] = this->time;
    const std::uint64_t id = number(order.run);
    const auto isCancelled = [this, index, id] { return this->cancelled[{index, id}]; };
    if (this->chance(this->faults.refusedRuns))
        return this->deliverAfter(index, 3ms, RunEnded{order.run, RunEnd::Refused});
    this->deliverAfter(index, 5ms, RunOpened{order.run, WeightVersion{3}});
    const ItemId item = order.order->items[order.item].id;
    const std::uint64_t count = eventCount(item);
    const bool breaks = this->chance(this->faults.brokenRuns);
    const std::uint64_t last = breaks ? order.resumeAfter + (count - order.resumeAfter) / 2 : count;
    Duration after = 5ms;
    for (std::uint64_t event = order.resumeAfter + 1; event <= last; ++event) {
        after += eventTime;
        this->deliverAfter(index, after,
                           RunProgressed{order.run, event, eventText(item, event), std::nullopt});
    }
    const RunEnd ended = breaks ? RunEnd::Broken : RunEnd::Complete;
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    this->schedule(after + 1ms, [this, index, incarnation, isCancelled, run = order.run, ended] {
        if (this->nodes[index].self.incarnation == incarnation && !isCancelled())
            this->deliver(index, RunEnded{run, ended});
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
    if (const auto *order = std::get_if<StoreSubmission>(&action)) {
        this->storeSubmission(index, *order);
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
        this->deliverAfter(index, storeTime, std::move(loaded));
    } else if (const auto *read = std::get_if<ReadResults>(&action)) {
        ResultsRead answer;
        answer.reply = read->reply;
        answer.answered = true;
        if (const StoredRows *found = this->stored(read->batch)) {
            answer.exists = true;
            answer.ended = found->head.ended;
            answer.total = found->head.total;
            const auto first = std::min<std::size_t>(read->after, found->results.size());
            answer.results.assign(found->results.begin() + static_cast<std::ptrdiff_t>(first),
                                  found->results.end());
        }
        this->deliverAfter(index, storeTime, std::move(answer));
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
    std::set<ItemId> listed;
    for (const ItemResult &result : found->results) {
        std::string text;
        for (std::uint64_t event = 1; event <= eventCount(result.id); ++event)
            text += (event == 1 ? "" : "\n") + eventText(result.id, event);
        const bool isRight = result.outcome == ItemOutcome::Completed && result.text == text
                             && result.versions == std::vector{WeightVersion{3}}
                             && result.score == "score-" + result.id.value;
        if (!isRight || !listed.insert(result.id).second)
            return false;
    }
    return true;
}

std::shared_ptr<const BatchOrder> BatchWorld::makeOrder(const std::string &id, std::uint32_t groups,
                                                        std::uint32_t size)
{
    auto order = std::make_shared<BatchOrder>();
    order->id = {id};
    order->host = "host";
    order->path = "/batch/" + id;
    order->model = "model";
    order->leastVersion = WeightVersion{2};
    for (std::uint32_t i = 0; i < groups * size; ++i) {
        BatchItem item;
        item.id = {id + "-" + std::to_string(i)};
        item.path = "/batch/run";
        item.body = "body of " + item.id.value;
        item.group = std::to_string(i / size);
        item.scoring = ScoringRequest{"s" + item.id.value, "host", "/score", "x"};
        order->items.push_back(std::move(item));
    }
    return order;
}

std::string BatchWorld::eventText(const ItemId &item, std::uint64_t number)
{
    return item.value + ":" + std::to_string(number);
}

std::uint64_t BatchWorld::eventCount(const ItemId &item)
{
    return 3 + std::hash<std::string>{}(item.value) % 40;
}

} // namespace geraniumpulley::core::test
