#include "batch_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumpulley::core::test {
namespace {

using namespace std::chrono_literals;

constexpr Duration storeLatency = 4ms;
constexpr Duration answerTimeout = 1500ms; // After this a store call is unanswered.
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
        target.software = {i % 2 == 0 ? "v1" : "v2"};
        target.slots = engineSlots;
        target.weights["model"] = WeightVersion{3};
        targets->emplace(target.target.id, target);
    }
    return targets;
}

} // namespace

BatchSimulation::BatchSimulation(std::uint64_t seed, std::size_t count)
    : random(seed), routing(makeRouting()), targets(makeTargets())
{
    this->nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        this->nodes[i].self = {{"node-" + std::to_string(i)}, "address", "zone", 0};
        this->start(i);
    }
}

void BatchSimulation::start(std::size_t index)
{
    FakeNode &node = this->nodes[index];
    node.isRunning = true;
    ++node.self.incarnation;
    node.sentHeartbeats = 0;
    node.nextTickAt.reset();
    node.state = makeBatchState(node.self, {});
    node.presence = makePresence(node.self.id, {}, this->currentTime);
    this->sendHeartbeat(index);
    this->publishDirectory(index);
}

void BatchSimulation::schedule(Duration delay, std::function<void()> action)
{
    this->scheduledEvents.push(
            {this->currentTime + delay, this->scheduledCount++, std::move(action)});
}

void BatchSimulation::runFor(Duration duration)
{
    const Time end = this->currentTime + duration;
    while (!this->scheduledEvents.empty() && this->scheduledEvents.top().at <= end) {
        const ScheduledEvent next = this->scheduledEvents.top();
        this->scheduledEvents.pop();
        this->currentTime = next.at;
        next.action();
    }
    this->currentTime = end;
}

bool BatchSimulation::randomChance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

void BatchSimulation::deliver(std::size_t index, const BatchEvent &event)
{
    FakeNode &node = this->nodes[index];
    if (!node.isRunning)
        return;
    for (const BatchAction &action : step(node.state, event, this->currentTime))
        this->perform(index, action);
    // A tick after which the next one is due immediately would repeat endlessly.
    const std::optional<Time> due = dueAt(node.state, this->currentTime);
    if (std::holds_alternative<BatchTick>(event) && due)
        CHECK(*due > this->currentTime);
    this->scheduleTick(index);
}

// Events for a process that has ended in the meantime are lost.
void BatchSimulation::deliverAfter(std::size_t index, Duration delay, BatchEvent event)
{
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    this->schedule(delay, [this, index, incarnation, event = std::move(event)] {
        if (this->nodes[index].self.incarnation == incarnation)
            this->deliver(index, event);
    });
}

void BatchSimulation::scheduleTick(std::size_t index)
{
    FakeNode &node = this->nodes[index];
    const std::optional<Time> due = dueAt(node.state, this->currentTime);
    if (!due || (node.nextTickAt && *node.nextTickAt <= *due))
        return;
    node.nextTickAt = due;
    const std::uint64_t incarnation = node.self.incarnation;
    this->schedule(std::max<Duration>(*due - this->currentTime, 1ms),
                   [this, index, incarnation, due] {
                       FakeNode &current = this->nodes[index];
                       if (current.self.incarnation != incarnation || current.nextTickAt != due)
                           return;
                       current.nextTickAt.reset();
                       this->deliver(index, BatchTick{});
                   });
}

void BatchSimulation::sendHeartbeat(std::size_t index)
{
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    FakeNode &sender = this->nodes[index];
    const NodeHeartbeat heartbeat{sender.self, ++sender.sentHeartbeats, sender.state.draining};
    for (FakeNode &node : this->nodes) {
        if (node.isRunning)
            recordHeartbeat(node.presence, heartbeat, this->currentTime);
    }
    this->schedule(heartbeatPeriod, [this, index, incarnation] {
        const FakeNode &node = this->nodes[index];
        if (node.isRunning && node.self.incarnation == incarnation)
            this->sendHeartbeat(index);
    });
}

void BatchSimulation::publishDirectory(std::size_t index)
{
    FakeNode &node = this->nodes[index];
    auto directory = std::make_shared<Directory>();
    directory->routing = this->routing;
    directory->targets = this->targets;
    directory->desiredWeights = std::make_shared<WeightMap>();
    directory->minWeights = std::make_shared<WeightMap>();
    auto heads = std::make_shared<BatchMap>();
    for (const auto &[id, stored] : this->rows)
        heads->emplace(id, stored.head);
    directory->batches = std::move(heads);
    directory->presence = node.presence;
    directory->ownershipValidUntil = this->currentTime + 1s;
    directory->storeClockOffset = Duration{};
    const std::uint64_t incarnation = node.self.incarnation;
    this->deliver(index, BatchDirectoryChanged{directory});
    this->schedule(publishPeriod, [this, index, incarnation] {
        const FakeNode &current = this->nodes[index];
        if (current.isRunning && current.self.incarnation == incarnation)
            this->publishDirectory(index);
    });
}

void BatchSimulation::restart(std::size_t index, Duration downtime)
{
    this->nodes[index].isRunning = false;
    this->schedule(downtime, [this, index] { this->start(index); });
}

void BatchSimulation::drain(std::size_t index)
{
    this->deliver(index, BatchDraining{});
}

void BatchSimulation::submit(std::size_t index, const std::shared_ptr<const BatchSpec> &spec)
{
    this->deliver(index, BatchSubmissionReceived{ReplyToken{this->nextReply++}, spec});
}

void BatchSimulation::endBatch(std::size_t index, const BatchId &batch)
{
    this->deliver(index, BatchEndRequested{ReplyToken{this->nextReply++}, batch});
}

void BatchSimulation::requestResults(std::size_t index, const BatchId &batch,
                                     std::uint64_t firstPosition, Duration maxWait)
{
    this->deliver(index,
                  ResultsRequested{ReplyToken{this->nextReply++}, batch, firstPosition, maxWait});
}

void BatchSimulation::requestItemBody(std::size_t index, const BatchId &batch, const ItemId &item)
{
    this->deliver(index, ItemBodyRequested{ReplyToken{this->nextReply++}, batch, item});
}

void BatchSimulation::write(std::size_t index, const BatchEvent &unanswered,
                            const std::function<BatchEvent(bool)> &apply)
{
    if (this->randomChance(this->faults.refusalRate))
        return this->deliverAfter(index, storeLatency, apply(false));
    const bool isLost = this->randomChance(this->faults.lostAnswerRate);
    const bool isLate = isLost && this->randomChance(this->faults.lateWriteRate);
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

void BatchSimulation::storeSubmission(std::size_t index, const StoreSubmission &action)
{
    const BatchId id = action.head.id;
    const auto unanswered = [id](StoreOutcome outcome) {
        return SubmissionStored{id, outcome, {}, std::nullopt};
    };
    this->write(
            index, unanswered(StoreOutcome::Unknown),
            [this, action, id, unanswered](bool accepted) -> BatchEvent {
                if (!accepted)
                    return unanswered(StoreOutcome::NotCommitted);
                const auto known = this->rows.find(id);
                if (known != this->rows.end())
                    return SubmissionStored{id, StoreOutcome::Conflict, {}, known->second.head};
                BatchHead head = action.head;
                head.version = RowVersion{++this->lastVersion};
                this->rows.emplace(id, StoredRows{head, action.spec, {}, {}});
                return SubmissionStored{id, StoreOutcome::Committed, head.version, std::nullopt};
            });
}

void BatchSimulation::storeResults(std::size_t index, const StoreResults &action)
{
    const auto answer = [action](CommitVerdict verdict) {
        return ResultsStored{action.batch, action.fencingToken, verdict};
    };
    this->write(
            index, answer(CommitVerdict::Unknown),
            [this, action, answer](bool accepted) -> BatchEvent {
                if (!accepted)
                    return answer(CommitVerdict::NotCommitted);
                StoredRows &stored = this->rows.at(action.batch);
                if (stored.head.version != action.fencingToken)
                    return answer(CommitVerdict::Superseded);
                // An earlier attempt of the same commit has been applied.
                if (!action.results.empty() && stored.results.size() > action.firstPosition)
                    return answer(CommitVerdict::Committed);
                CHECK((action.results.empty() || stored.results.size() == action.firstPosition));
                ++this->lastVersion;
                stored.results.insert(stored.results.end(), action.results.begin(),
                                      action.results.end());
                for (const PartialText &partial : action.partials)
                    stored.partials[partial.itemIndex] = partial;
                return answer(CommitVerdict::Committed);
            });
}

void BatchSimulation::storeHead(std::size_t index, const StoreHead &action)
{
    const auto answer = [head = action.head](StoreOutcome outcome) {
        return HeadStored{head, outcome, {}, std::nullopt};
    };
    this->write(index, answer(StoreOutcome::Unknown),
                [this, action, answer](bool accepted) -> BatchEvent {
                    if (!accepted)
                        return answer(StoreOutcome::NotCommitted);
                    StoredRows &stored = this->rows.at(action.head.id);
                    if (stored.head.version != action.expectedVersion)
                        return HeadStored{action.head, StoreOutcome::Conflict, {}, stored.head};
                    stored.head = action.head;
                    stored.head.version = RowVersion{++this->lastVersion};
                    for (const PartialText &partial : action.partials)
                        stored.partials[partial.itemIndex] = partial;
                    return HeadStored{action.head, StoreOutcome::Committed, stored.head.version,
                                      std::nullopt};
                });
}

void BatchSimulation::run(std::size_t index, const StartRun &action)
{
    ++this->startedRuns[action.batch];
    this->lastRunAt[action.batch] = this->currentTime;
    const std::uint64_t id = number(action.run);
    const auto isCancelled = [this, index, id] { return this->cancelledRuns[{index, id}]; };
    if (this->randomChance(this->faults.refusedRunRate))
        return this->deliverAfter(index, 3ms, RunEnded{action.run, RunEnd::Refused});
    this->deliverAfter(index, 5ms, RunHeadReceived{action.run, WeightVersion{3}});
    const ItemId item = action.spec->items[action.itemIndex].id;
    if (action.lastEventId > 0) {
        ++this->continuedRuns;
        if (this->generators[{item, action.lastEventId}].count(action.software) == 0)
            ++this->joinedRuns;
    }
    const std::uint64_t count = eventCount(item);
    const bool isBroken = this->randomChance(this->faults.brokenRunRate);
    const std::uint64_t last =
            isBroken ? action.lastEventId + (count - action.lastEventId) / 2 : count;
    Duration delay = 5ms;
    for (std::uint64_t event = action.lastEventId + 1; event <= last; ++event) {
        delay += eventInterval;
        this->generators[{item, event}].insert(action.software);
        this->deliverAfter(
                index, delay,
                RunEventReceived{action.run, event, eventText(item, event), std::nullopt});
    }
    const RunEnd end = isBroken ? RunEnd::Broken : RunEnd::Complete;
    const std::uint64_t incarnation = this->nodes[index].self.incarnation;
    this->schedule(delay + 1ms, [this, index, incarnation, isCancelled, run = action.run, end] {
        if (this->nodes[index].self.incarnation == incarnation && !isCancelled())
            this->deliver(index, RunEnded{run, end});
    });
}

void BatchSimulation::recordResults(const AnswerResults &answer)
{
    this->resultAnswers.push_back(answer);
    if (answer.verdict != ReadVerdict::Found)
        return;
    for (std::size_t i = 0; i < answer.results.size(); ++i) {
        const auto [position, isNew] = this->knownResults[answer.batch].emplace(
                answer.firstPosition + i, answer.results[i]);
        CHECK(position->second == answer.results[i]);
        static_cast<void>(isNew);
    }
}

void BatchSimulation::perform(std::size_t index, const BatchAction &action)
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
            batch->spec = found->spec;
            batch->results = found->results;
            for (const auto &[item, partial] : found->partials)
                batch->partials.push_back(partial);
            loaded.stored = std::move(batch);
        }
        this->deliverAfter(index, storeLatency, std::move(loaded));
    } else if (const auto *read = std::get_if<ReadResults>(&action)) {
        ResultsRead result;
        result.reply = read->reply;
        result.succeeded = true;
        if (const StoredRows *found = this->stored(read->batch)) {
            result.exists = true;
            result.ended = found->head.ended;
            result.itemCount = found->head.itemCount;
            const auto first = std::min<std::size_t>(read->firstPosition, found->results.size());
            result.results.assign(found->results.begin() + static_cast<std::ptrdiff_t>(first),
                                  found->results.end());
        }
        this->deliverAfter(index, storeLatency, std::move(result));
    } else if (const auto *start = std::get_if<StartRun>(&action)) {
        this->run(index, *start);
    } else if (const auto *cancel = std::get_if<CancelRun>(&action)) {
        this->cancelledRuns[{index, number(cancel->run)}] = true;
        this->deliverAfter(index, 1ms, RunEnded{cancel->run, RunEnd::Broken});
    } else if (const auto *score = std::get_if<ScoreRequested>(&action)) {
        ScoreCompleted ended;
        ended.batch = score->batch;
        ended.item = score->item;
        ended.maxFailures = 100;
        if (!this->randomChance(this->faults.failedScoreRate)) {
            ended.outcome = ScoreCompleted::Outcome::Scored;
            ended.score = "score-" + score->item.value;
        }
        this->deliverAfter(index, 10ms, std::move(ended));
    } else if (const auto *submitted = std::get_if<AnswerBatchSubmission>(&action)) {
        this->submitVerdicts[submitted->batch].push_back(submitted->verdict);
    } else if (const auto *ended = std::get_if<AnswerBatchEnd>(&action)) {
        this->endVerdicts[ended->batch].push_back(ended->verdict);
    } else if (const auto *answer = std::get_if<AnswerResults>(&action)) {
        this->recordResults(*answer);
    } else if (const auto *body = std::get_if<AnswerItemBody>(&action)) {
        this->bodyAnswers.push_back(*body);
    } else if (const auto *change = std::get_if<OwnershipChanged>(&action)) {
        this->ownershipChanges.push_back(*change);
        this->takeoverCount += change->change == OwnershipChange::TakenOver ? 1 : 0;
    }
}

const StoredRows *BatchSimulation::stored(const BatchId &batch) const
{
    const auto position = this->rows.find(batch);
    return position == this->rows.end() ? nullptr : &position->second;
}

bool BatchSimulation::isComplete(const BatchId &batch) const
{
    const StoredRows *found = this->stored(batch);
    if (found == nullptr || found->results.size() != found->spec->items.size())
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

std::shared_ptr<const BatchSpec>
BatchSimulation::makeSpec(const std::string &id, std::uint32_t groups, std::uint32_t groupSize)
{
    auto spec = std::make_shared<BatchSpec>();
    spec->id = {id};
    spec->host = "host";
    spec->path = "/batch/" + id;
    spec->model = "model";
    spec->minVersion = WeightVersion{2};
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

std::string BatchSimulation::eventText(const ItemId &item, std::uint64_t eventId)
{
    return item.value + ":" + std::to_string(eventId);
}

std::uint64_t BatchSimulation::eventCount(const ItemId &item)
{
    return 3 + std::hash<std::string>{}(item.value) % 40;
}

} // namespace geraniumpulley::core::test
