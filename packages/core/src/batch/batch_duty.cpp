#include <geraniumpulley/core/batch/batch_duty.hpp>

#include "batch_context.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace geraniumpulley::core {
namespace {

// Calls the function that handles the type of an event.
struct Handler
{
    BatchContext &context;

    void operator()(const BatchSubmissionReceived &event)
    {
        onBatchSubmissionReceived(this->context, event);
    }
    void operator()(const ResultsRequested &event) { onResultsRequested(this->context, event); }
    void operator()(const ItemBodyRequested &event) { onItemBodyRequested(this->context, event); }
    void operator()(const BatchProgressRequested &event)
    {
        onBatchProgressRequested(this->context, event);
    }
    void operator()(const BatchEndRequested &event) { onBatchEndRequested(this->context, event); }
    void operator()(const RequesterDisconnected &event)
    {
        onRequesterDisconnected(this->context, event);
    }
    void operator()(const RunHeadReceived &event) { onRunHeadReceived(this->context, event); }
    void operator()(const RunEventReceived &event) { onRunEventReceived(this->context, event); }
    void operator()(const RunEnded &event) { onRunEnded(this->context, event); }
    void operator()(const ScoreCompleted &event) { onScoreCompleted(this->context, event); }
    void operator()(const SubmissionStored &event) { onSubmissionStored(this->context, event); }
    void operator()(const ResultsStored &event) { onResultsStored(this->context, event); }
    void operator()(const HeadStored &event) { onHeadStored(this->context, event); }
    void operator()(const BatchLoaded &event) { onBatchLoaded(this->context, event); }
    void operator()(const ResultsRead &event) { onResultsRead(this->context, event); }

    void operator()(const BatchDirectoryChanged &event)
    {
        this->context.state.directory = event.directory;
        const TargetMap &targets = *event.directory->targets;
        retainTargets(this->context.state.permits,
                      [&](const TargetId &target) { return targets.count(target) != 0; });
        reconcileOwnership(this->context);
    }

    void operator()(const PermitsReceived &event)
    {
        recordGrant(this->context.state.permits, event, this->context.now);
    }

    void operator()(const BatchDraining &event) { onBatchDraining(this->context, event); }

    void operator()(const BatchTick &)
    {
        reconcileOwnership(this->context);
        advanceSubmissions(this->context);
        advanceStoreReaders(this->context);
        advanceBatchEnds(this->context);
        advanceLoads(this->context);
        for (auto &[id, batch] : this->context.state.ownedBatches) {
            finishExpiredItems(this->context, batch);
            advanceCommit(this->context, batch);
        }
        moveSlowRuns(this->context);
    }
};

void reportDrained(BatchContext &context)
{
    BatchState &state = context.state;
    if (!state.draining || state.drained || !state.ownedBatches.empty()
        || !state.pendingSubmissions.empty())
        return;
    state.drained = true;
    context.actions.emplace_back(BatchesDrained{});
}

// Collects times and keeps the earliest one.
struct EarliestTime
{
    std::optional<Time> due;

    void add(Time time) { this->due = std::min(this->due.value_or(time), time); }
};

// While a commit is in flight no other write of the batch is due: the store's answer triggers the
// next one. Only times at which a tick can act may count, otherwise ticks would repeat immediately.
void addBatchTimes(const OwnedBatch &batch, bool isReleasing, EarliestTime &earliest)
{
    if (batch.commit && !batch.commit->inFlight)
        earliest.add(batch.commit->retryAt);
    if (isReleasing && !batch.releaseInFlight && !batch.commit)
        earliest.add(batch.releaseRetryAt);
    for (const ResultWaiter &waiter : batch.waiters)
        earliest.add(waiter.deadline);
    bool isRunning = false;
    for (const ItemState &item : batch.items) {
        isRunning = isRunning || item.phase == ItemPhase::Running;
        if (item.phase == ItemPhase::Unscored)
            earliest.add(item.notBefore);
    }
    if (isRunning && !batch.commit && !batch.releaseInFlight)
        earliest.add(batch.nextPartialsAt);
}

bool hasWaitingItem(const OwnedBatch &batch)
{
    for (const ItemState &item : batch.items) {
        if (item.phase == ItemPhase::Waiting)
            return true;
    }
    return false;
}

// Waiting items can start on an engine again when its backoff ends.
void addBackoffTimes(const BatchState &state, Time now, EarliestTime &earliest)
{
    bool hasWaiting = false;
    for (const auto &[id, batch] : state.ownedBatches)
        hasWaiting = hasWaiting || hasWaitingItem(batch);
    if (!hasWaiting)
        return;
    for (const auto &[target, engine] : state.engines) {
        if (engine.notBefore > now)
            earliest.add(engine.notBefore);
    }
}

// Waiting items can be started over after a while.
void addRestartTimes(const BatchState &state, Time now, EarliestTime &earliest)
{
    for (const auto &[id, batch] : state.ownedBatches) {
        for (const ItemState &item : batch.items) {
            const Time restartAt = restartDueAt(item, state.settings);
            if (item.phase == ItemPhase::Waiting && item.lastEventId > 0 && restartAt > now)
                earliest.add(restartAt);
        }
    }
}

// Waiting items can start when a permit that they claimed becomes usable.
void addPermitTimes(const BatchState &state, Time now, EarliestTime &earliest)
{
    if (const auto requestDueAt = dueAt(state.permits))
        earliest.add(*requestDueAt);
    for (const auto &[target, permits] : state.permits.targets) {
        for (std::size_t i = 0;
             i < std::min<std::size_t>(permits.claimed, permits.usableFrom.size()); ++i) {
            if (permits.usableFrom[i] > now)
                earliest.add(permits.usableFrom[i]);
        }
    }
}

} // namespace

BatchState makeBatchState(Node self, BatchSettings settings)
{
    BatchState state;
    state.self = std::move(self);
    state.settings = settings;
    return state;
}

std::vector<BatchAction> step(BatchState &state, const BatchEvent &event, Time now)
{
    BatchContext context{state, now, {}};
    std::visit(Handler{context}, event);
    // A text event frees no engine slot unless it cancels a run. Such events are frequent, so the
    // search for engines is skipped.
    if (!std::holds_alternative<RunEventReceived>(event) || !context.actions.empty())
        startRuns(context);
    for (const RequestPermits &request : duePermitRequests(state.permits, now))
        context.actions.emplace_back(request);
    reportDemand(context);
    advanceReleases(context);
    reportDrained(context);
    return std::move(context.actions);
}

std::optional<Time> dueAt(const BatchState &state, Time now)
{
    EarliestTime earliest;
    const bool isReleasing = releasesBatches(state, now);
    for (const auto &[id, batch] : state.ownedBatches)
        addBatchTimes(batch, isReleasing, earliest);
    for (const auto &[id, submission] : state.pendingSubmissions) {
        if (!submission.inFlight)
            earliest.add(submission.retryAt);
        if (!submission.pendingReplies.empty())
            earliest.add(submission.answerDeadline);
    }
    for (const auto &[id, end] : state.pendingEnds) {
        earliest.add(end.answerDeadline);
        if (!end.inFlight && end.head)
            earliest.add(end.retryAt);
    }
    for (const auto &[reply, reader] : state.storeReaders) {
        if (!reader.readInFlight && state.readsInFlight < state.settings.maxReadsInFlight)
            earliest.add(reader.nextReadAt);
    }
    for (const auto &[id, load] : state.pendingLoads) {
        if (!load.inFlight)
            earliest.add(load.retryAt);
    }
    for (const auto &[id, takeover] : state.pendingTakeovers) {
        if (!takeover.writeInFlight)
            earliest.add(now + state.settings.takeoverDelayPerRank);
    }
    if (!state.runs.empty())
        earliest.add(state.nextSlowRunCheckAt);
    if (state.nextDemandReportAt)
        earliest.add(*state.nextDemandReportAt);
    addBackoffTimes(state, now, earliest);
    addRestartTimes(state, now, earliest);
    addPermitTimes(state, now, earliest);
    return earliest.due;
}

} // namespace geraniumpulley::core
