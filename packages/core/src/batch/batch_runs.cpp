#include "batch_context.hpp"

#include <geraniumpulley/core/event_sequence.hpp>
#include <geraniumpulley/core/silence_limit.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <tuple>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Urgency of a run at its engine. Engines assume 5 for a request that states none.
constexpr std::uint32_t defaultUrgency = 5;
constexpr std::uint32_t resumedUrgency = 3;
// Weight of the newest interval in the smoothed event interval.
constexpr double newIntervalWeight = 0.2;
// Time limit after the submission for routes without one.
constexpr Duration defaultTimeout = std::chrono::seconds(60);

// An item that can be started, with its sort criteria.
struct WaitingItem
{
    OwnedBatch *batch = nullptr;
    std::uint32_t index = 0;
    std::uint32_t lateness = 0; ///< Number of due times that have passed since the submission.
    /// The item was run before or has a partial text; the rest of its group may be waiting for it.
    bool isResumed = false;
    std::uint64_t expectedTokens = 0; ///< Estimated output tokens.
};

// A run with its batch and item.
struct FoundRun
{
    RunRecord *record = nullptr;
    OwnedBatch *batch = nullptr;
    ItemState *item = nullptr;
};

// Returns an active run; all pointers are null if it has ended or was cancelled.
FoundRun findRun(BatchContext &context, OperationId run)
{
    const auto position = context.state.runs.find(run);
    if (position == context.state.runs.end() || position->second.cancelled)
        return {};
    OwnedBatch &batch = context.state.ownedBatches.at(position->second.batch);
    return {&position->second, &batch, &batch.items[position->second.itemIndex]};
}

// Returns how many due times of the route have passed since the submission. Batches that can still
// be in time run first, since trainers abandon late ones.
std::uint32_t latenessOf(const BatchContext &context, const OwnedBatch &batch)
{
    const Route *route = routeOf(context, *batch.spec);
    if (route == nullptr || route->dueAfter <= Duration{} || context.now < batch.submittedAt)
        return 0;
    return static_cast<std::uint32_t>((context.now - batch.submittedAt) / route->dueAfter);
}

std::vector<WaitingItem> collectWaiting(BatchContext &context)
{
    std::vector<WaitingItem> waiting;
    for (auto &[id, batch] : context.state.ownedBatches) {
        const std::uint32_t lateness = latenessOf(context, batch);
        for (std::uint32_t i = 0; i < batch.items.size(); ++i) {
            const ItemState &item = batch.items[i];
            if (item.phase == ItemPhase::Waiting && item.notBefore <= context.now)
                waiting.push_back({&batch, i, lateness,
                                   item.startedRuns > 0 || item.lastEventId > 0,
                                   batch.spec->items[i].expectedTokens});
        }
    }
    // The longest items start first, so that they do not run alone at the end of the batch.
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) {
        return std::tuple(b.lateness, a.isResumed, a.expectedTokens)
               > std::tuple(a.lateness, b.isResumed, b.expectedTokens);
    });
    return waiting;
}

// Returns the account that targets are told, if the routing table has accounts. It is empty for a
// batch from before the table had any.
std::optional<AccountName> accountOfBatch(const BatchContext &context, const BatchId &batch)
{
    if (!context.state.directory->routing->accounts)
        return std::nullopt;
    return accountOf(batch).value_or(AccountName{});
}

void startRun(BatchContext &context, OwnedBatch &batch, std::uint32_t index,
              const FleetTarget &engine, const Route &route)
{
    usePermit(context.state.permits, engine.target.id, context.now);
    ItemState &item = batch.items[index];
    const OperationId run = context.state.nextOperation;
    context.state.nextOperation = next(run);
    EngineStatus &status = context.state.engines[engine.target.id];
    ++status.activeRuns;
    if (context.state.runs.empty())
        context.state.nextSlowRunCheckAt = context.now + context.state.settings.slowRunCheckPeriod;
    RunRecord record;
    record.batch = batch.head.id;
    record.itemIndex = index;
    record.target = engine.target.id;
    record.software = engine.software;
    record.startedAt = context.now;
    record.lastEventAt = context.now;
    record.silenceLimit = silenceLimit(context.state.settings.minSilenceLimit, status.eventInterval,
                                       item.silentRuns);
    record.resumedAfterEventId = item.lastEventId;
    context.state.runs.emplace(run, record);
    const Duration timeout = route.giveUpAfter > Duration{} ? route.giveUpAfter : defaultTimeout;
    const std::uint32_t urgency =
            item.nextRunCause == RunCause::First ? defaultUrgency : resumedUrgency;
    context.actions.emplace_back(
            StartRun{run, engine.target, engine.software, batch.head.id, batch.spec, index,
                     item.lastEventId, urgency, batch.submittedAt + timeout, item.nextRunCause,
                     record.silenceLimit, accountOfBatch(context, batch.head.id)});
    item.phase = ItemPhase::Running;
    item.run = run;
    item.lastTarget = engine.target.id;
    ++item.startedRuns;
}

void discardText(ItemState &item)
{
    item.text.clear();
    item.lastEventId = 0;
    item.lastStoredEventId = 0;
    item.versions.clear();
    item.software = {};
}

// Returns whether an item whose text cannot go on now may be started over: no engine runs the
// software that began the text, or waiting for one has cost as much as generating the text again.
bool isRestartDue(const BatchContext &context, const ItemState &item, const EngineSearch &search)
{
    if (item.lastEventId == 0)
        return false;
    return search.servedSoftware->count(item.software) == 0
           || context.now >= restartDueAt(item, context.state.settings);
}

// The searches for the batches and services of one event.
struct EngineSearches
{
    std::map<std::pair<BatchId, ServiceName>, EngineSearch> searches;

    EngineSearch &searchFor(BatchContext &context, const BatchSpec &spec,
                            const ServiceName &service)
    {
        const auto key = std::pair(spec.id, service);
        const auto position = this->searches.find(key);
        if (position != this->searches.end())
            return position->second;
        return this->searches.emplace(key, makeEngineSearch(context, spec, service)).first->second;
    }
};

void startWaiting(BatchContext &context)
{
    clearAwaiting(context.state.permits);
    EngineSearches searches;
    for (const WaitingItem &waiting : collectWaiting(context)) {
        OwnedBatch &batch = *waiting.batch;
        const Route *route = routeOf(context, *batch.spec);
        if (route == nullptr)
            continue;
        ItemState &item = batch.items[waiting.index];
        const std::string &itemId = batch.spec->items[waiting.index].id.value;
        const ServiceName *service = pickService(*route, XXH3_64bits(itemId.data(), itemId.size()));
        if (service == nullptr)
            continue;
        EngineSearch &search = searches.searchFor(context, *batch.spec, *service);
        const FleetTarget *engine = chooseEngine(context, search, item);
        if (engine == nullptr && isRestartDue(context, item, search)) {
            ItemState restarted = item;
            discardText(restarted);
            engine = chooseEngine(context, search, restarted);
            if (engine != nullptr)
                item = std::move(restarted);
        }
        if (engine != nullptr)
            startRun(context, batch, waiting.index, *engine, *route);
    }
}

void startScores(BatchContext &context)
{
    for (auto &[id, batch] : context.state.ownedBatches) {
        for (std::size_t i = 0; i < batch.items.size(); ++i) {
            ItemState &item = batch.items[i];
            if (item.phase != ItemPhase::Unscored || item.notBefore > context.now)
                continue;
            item.phase = ItemPhase::Scoring;
            context.actions.emplace_back(
                    ScoreRequested{id, batch.spec->items[i].id, *batch.spec->items[i].scoring});
        }
    }
}

void finish(BatchContext &context, OwnedBatch &batch, std::uint32_t index, ItemOutcome outcome,
            std::string score)
{
    ItemState &item = batch.items[index];
    item.phase = ItemPhase::Finished;
    ItemResult result;
    result.id = batch.spec->items[index].id;
    result.outcome = outcome;
    if (outcome == ItemOutcome::Completed) {
        result.text = item.text;
        result.versions = item.versions;
        result.score = std::move(score);
    }
    batch.uncommittedResults.push_back(std::move(result));
    item.text.clear();
    item.text.shrink_to_fit();
    advanceCommit(context, batch);
}

void requeueItem(ItemState &item, RunCause cause, Time notBefore)
{
    item.phase = ItemPhase::Waiting;
    item.run = {};
    item.nextRunCause = cause;
    item.notBefore = notBefore;
    item.waitingSince = notBefore;
}

void finishText(BatchContext &context, OwnedBatch &batch, std::uint32_t index)
{
    ItemState &item = batch.items[index];
    item.run = {};
    item.notBefore = context.now;
    if (batch.spec->items[index].scoring)
        item.phase = ItemPhase::Unscored;
    else
        finish(context, batch, index, ItemOutcome::Completed, {});
}

// Cancels a run whose text cannot be continued on its engine, and queues its item again.
void cancelAndRequeue(BatchContext &context, OperationId run, RunCause cause, Duration backoff)
{
    const FoundRun found = findRun(context, run);
    assert(found.record != nullptr);
    context.state.engines[found.record->target].notBefore = context.now + backoff;
    requeueItem(*found.item, cause, context.now);
    cancelRun(context, run);
}

void recordEventInterval(BatchContext &context, RunRecord &record)
{
    EngineStatus &engine = context.state.engines[record.target];
    const Duration interval = context.now - record.lastEventAt;
    record.lastEventAt = context.now;
    engine.lastEventAt = context.now;
    // The time to the first event includes the processing of the prompt and is left out.
    if (record.receivedEvents++ == 0)
        return;
    if (engine.eventInterval == Duration{})
        engine.eventInterval = interval;
    else
        engine.eventInterval = std::chrono::duration_cast<Duration>(
                interval * newIntervalWeight + engine.eventInterval * (1 - newIntervalWeight));
}

// Records the version that an engine states. Returns false if the run was cancelled because of it.
bool recordVersion(BatchContext &context, OperationId run, WeightVersion version)
{
    const FoundRun found = findRun(context, run);
    assert(found.record != nullptr);
    found.record->version = version;
    found.record->hasVersion = true;
    const BatchSpec &spec = *found.batch->spec;
    WeightVersion &engineVersion = context.state.engines[found.record->target].versions[spec.model];
    engineVersion = std::max(engineVersion, version);
    if (version < spec.minVersion) {
        engineVersion = {};
        cancelAndRequeue(context, run, RunCause::AfterRefusal,
                         context.state.settings.failureBackoff);
        return false;
    }
    const Route *route = routeOf(context, spec);
    const auto &versions = found.item->versions;
    if (route != nullptr && route->singleVersion && !versions.empty() && versions[0] != version) {
        discardText(*found.item);
        cancelAndRequeue(context, run, RunCause::AfterLoss, Duration{});
        return false;
    }
    return true;
}

void noteRateLimit(BatchContext &context, const TargetId &target,
                   const std::optional<RequestRate> &limit)
{
    if (recordRateLimit(context.state.permits, target, limit))
        context.actions.emplace_back(RateLimitChanged{target, limit});
}

} // namespace

Time restartDueAt(const ItemState &item, const BatchSettings &settings)
{
    return item.waitingSince
           + settings.usualEventTime * static_cast<std::int64_t>(item.lastEventId);
}

const Route *routeOf(const BatchContext &context, const BatchSpec &spec)
{
    const DirectoryPointer &directory = context.state.directory;
    if (!directory || !directory->routing)
        return nullptr;
    const Route *route = findRoute(*directory->routing, spec.host, spec.path);
    return route != nullptr && route->kind == RouteKind::Batch ? route : nullptr;
}

void startRuns(BatchContext &context)
{
    if (context.state.directory && !releasesBatches(context.state, context.now))
        startWaiting(context);
    startScores(context);
}

void cancelRun(BatchContext &context, OperationId run)
{
    const auto position = context.state.runs.find(run);
    if (position == context.state.runs.end() || std::exchange(position->second.cancelled, true))
        return;
    context.actions.emplace_back(CancelRun{run});
}

void onRunHeadReceived(BatchContext &context, const RunHeadReceived &event)
{
    const FoundRun found = findRun(context, event.run);
    if (found.record == nullptr)
        return;
    context.state.engines[found.record->target].probing = false;
    noteRateLimit(context, found.record->target, event.rateLimit);
    if (event.version)
        recordVersion(context, event.run, *event.version);
}

void onRunEventReceived(BatchContext &context, const RunEventReceived &event)
{
    const FoundRun found = findRun(context, event.run);
    if (found.record == nullptr)
        return;
    const EventPlace place = placeOf(event.eventId, found.item->lastEventId);
    if (place == EventPlace::Repeated)
        return;
    if (event.version && !recordVersion(context, event.run, *event.version))
        return;
    ItemState &item = *found.item;
    // Each event needs a known weight version, and a gap would lose a part of the text.
    if (!found.record->hasVersion || place != EventPlace::Next)
        return cancelAndRequeue(context, event.run, RunCause::AfterLoss,
                                context.state.settings.failureBackoff);
    // An engine that does not end a text must not fill the memory.
    if (item.text.size() + event.text.size() > context.state.settings.maxTextBytes) {
        discardText(item);
        return cancelAndRequeue(context, event.run, RunCause::AfterFailure,
                                context.state.settings.failureBackoff);
    }
    recordEventInterval(context, *found.record);
    // A run that brings one event only may have stalled behind it.
    if (found.record->receivedEvents > 1)
        item.silentRuns = 0;
    if (item.lastEventId == 0)
        item.software = found.record->software;
    else
        item.text += '\n';
    item.text += event.text;
    item.lastEventId = event.eventId;
    auto &versions = item.versions;
    const auto position = std::lower_bound(versions.begin(), versions.end(), found.record->version);
    if (position == versions.end() || *position != found.record->version)
        versions.insert(position, found.record->version);
}

void onRunEnded(BatchContext &context, const RunEnded &event)
{
    const auto entry = context.state.runs.extract(event.run);
    if (entry.empty())
        return;
    const RunRecord &record = entry.mapped();
    EngineStatus &engine = context.state.engines[record.target];
    --engine.activeRuns;
    if (event.rateStatement)
        noteRateLimit(context, record.target, event.rateStatement->limit);
    if (record.cancelled)
        return;
    if (event.hasConnectionFailed)
        context.actions.emplace_back(EngineUnreached{record.target});
    OwnedBatch &batch = context.state.ownedBatches.at(record.batch);
    ItemState &item = batch.items[record.itemIndex];
    const BatchSettings &settings = context.state.settings;
    const Route *route = routeOf(context, *batch.spec);
    const std::uint32_t attempts = route == nullptr ? 1 : route->maxAttempts;
    switch (event.end) {
    case RunEnd::Complete:
        if (item.lastEventId > 0)
            return finishText(context, batch, record.itemIndex);
        engine.notBefore = context.now + settings.failureBackoff;
        return requeueItem(item, RunCause::AfterLoss, context.now);
    case RunEnd::WithoutEndMarker:
        // The item is resumed once more after its last event. A run that then ends without a new
        // event shows that the text was already complete.
        if (record.receivedEvents == 0 && item.lastEventId > 0)
            return finishText(context, batch, record.itemIndex);
        return requeueItem(item, RunCause::AfterLoss, context.now);
    case RunEnd::Broken:
        if (context.now - record.lastEventAt >= record.silenceLimit)
            ++item.silentRuns;
        if (record.receivedEvents == 0)
            engine.notBefore = context.now + settings.failureBackoff;
        return requeueItem(item, RunCause::AfterLoss, context.now);
    case RunEnd::Refused:
        engine.probing = true;
        engine.notBefore = context.now + settings.refusalBackoff;
        return requeueItem(item, RunCause::AfterRefusal, context.now);
    case RunEnd::WrongTarget:
        engine.notBefore = context.now + settings.failureBackoff;
        return requeueItem(item, RunCause::AfterRefusal, context.now);
    case RunEnd::Failed:
        if (++item.failures >= attempts)
            return finish(context, batch, record.itemIndex, ItemOutcome::Lost, {});
        return requeueItem(item, RunCause::AfterFailure, context.now);
    case RunEnd::Unprocessable:
        if (++item.unprocessableAnswers >= settings.maxUnprocessableAnswers)
            return finish(context, batch, record.itemIndex, ItemOutcome::Lost, {});
        return requeueItem(item, RunCause::AfterFailure, context.now);
    }
}

void onScoreCompleted(BatchContext &context, const ScoreCompleted &event)
{
    const auto position = context.state.ownedBatches.find(event.batch);
    if (position == context.state.ownedBatches.end())
        return;
    OwnedBatch &batch = position->second;
    const auto &items = batch.spec->items;
    const auto found = std::find_if(items.begin(), items.end(), [&](const BatchItem &candidate) {
        return candidate.id == event.item;
    });
    if (found == items.end())
        return;
    const auto index = static_cast<std::uint32_t>(found - items.begin());
    ItemState &item = batch.items[index];
    if (item.phase != ItemPhase::Scoring)
        return;
    if (event.outcome == ScoreCompleted::Outcome::Scored)
        return finish(context, batch, index, ItemOutcome::Completed, event.score);
    if (event.outcome == ScoreCompleted::Outcome::Failed
        && ++item.scoreFailures >= event.maxFailures)
        return finish(context, batch, index, ItemOutcome::Lost, {});
    item.phase = ItemPhase::Unscored;
    item.notBefore = context.now + context.state.settings.scoreRetryDelay;
}

void moveSlowRuns(BatchContext &context)
{
    BatchState &state = context.state;
    if (state.runs.empty() || context.now < state.nextSlowRunCheckAt || !state.directory)
        return;
    state.nextSlowRunCheckAt = context.now + state.settings.slowRunCheckPeriod;
    const Duration usualInterval = usualEventInterval(context);
    std::vector<OperationId> slowRuns;
    for (const auto &[run, record] : state.runs) {
        if (!record.cancelled && context.now - record.startedAt >= state.settings.minRunTime
            && isSlow(context, state.engines.at(record.target), usualInterval))
            slowRuns.push_back(run);
    }
    EngineSearches searches;
    for (const OperationId run : slowRuns) {
        const FoundRun found = findRun(context, run);
        assert(found.record != nullptr);
        const Route *route = routeOf(context, *found.batch->spec);
        const ServiceName *service = route == nullptr ? nullptr : pickService(*route, 0);
        if (service == nullptr)
            continue;
        EngineSearch &search = searches.searchFor(context, *found.batch->spec, *service);
        const FleetTarget *engine = chooseEngine(context, search, *found.item);
        if (engine == nullptr
            || isSlow(context, state.engines.at(engine->target.id), usualInterval))
            continue;
        requeueItem(*found.item, RunCause::Moved, context.now);
        const std::uint32_t index = found.record->itemIndex;
        cancelRun(context, run);
        startRun(context, *found.batch, index, *engine, *route);
    }
}

void finishExpiredItems(BatchContext &context, OwnedBatch &batch)
{
    const Route *route = routeOf(context, *batch.spec);
    if (route == nullptr || route->giveUpAfter == Duration{}
        || context.now < batch.submittedAt + route->giveUpAfter)
        return;
    for (std::uint32_t i = 0; i < batch.items.size(); ++i) {
        ItemState &item = batch.items[i];
        if (item.phase == ItemPhase::Finished)
            continue;
        if (item.phase == ItemPhase::Running)
            cancelRun(context, item.run);
        finish(context, batch, i, ItemOutcome::Lost, {});
    }
}

} // namespace geraniumpulley::core
