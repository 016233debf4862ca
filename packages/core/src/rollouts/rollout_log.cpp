#include "rollout_context.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Delay before a record with an uncertain append is read back.
constexpr Duration appendRetryDelay = std::chrono::milliseconds(500);

// Returns whether the record changes the trainer's list of open steps.
bool changesIndex(const StepRecordContent &content)
{
    return std::holds_alternative<StepOpened>(content)
           || std::holds_alternative<BatchAcknowledged>(content);
}

std::set<std::uint64_t> updatedIndex(const OwnedTrainer &owned, const StepId &id,
                                     const StepRecordContent &content)
{
    std::set<std::uint64_t> openSteps = owned.openSteps;
    if (std::holds_alternative<StepOpened>(content))
        openSteps.insert(id.step);
    else
        openSteps.erase(id.step);
    return openSteps;
}

void sendAppend(RolloutContext &context, StepState &step, const OwnedTrainer &owned)
{
    const StepId &id = step.spec.id;
    PendingRecord &pending = *step.pendingRecord;
    pending.inFlight = true;
    AppendRecord append;
    append.id = id;
    append.recordNumber = step.nextRecordNumber;
    append.record = pending.record;
    append.shard = shardOf(ShardKind::Steps, id.trainer.value);
    append.fence = owned.fence;
    if (changesIndex(pending.record.content))
        append.openSteps = updatedIndex(owned, id, pending.record.content);
    context.actions.push_back(std::move(append));
}

// Applies the pending record, which is now in the log, and continues with the step.
void onCommitted(RolloutContext &context, StepState &step)
{
    OwnedTrainer &owned = context.state.ownedTrainers.at(step.spec.id.trainer);
    const StepRecordContent content = std::move(step.pendingRecord->record.content);
    step.pendingRecord.reset();
    ++step.nextRecordNumber;
    if (changesIndex(content)) {
        owned.openSteps = updatedIndex(owned, step.spec.id, content);
        owned.indexUpdateInFlight = false;
    }
    applyRecord(step, content, context.now);
    answerWaiters(context, step);
    advanceLog(context, step);
    startRequests(context);
}

StepState *findPending(RolloutContext &context, const StepId &id, const std::string &writeId)
{
    const auto position = context.state.steps.find(id);
    if (position == context.state.steps.end() || !position->second.pendingRecord
        || position->second.pendingRecord->record.writeId != writeId)
        return nullptr;
    return &position->second;
}

// Discards the state of a step and reads its log again, because another owner has appended to it.
void reload(RolloutContext &context, const StepId &id)
{
    const StepState &step = context.state.steps.at(id);
    if (step.pendingRecord && changesIndex(step.pendingRecord->record.content))
        context.state.ownedTrainers.at(id.trainer).indexUpdateInFlight = false;
    dropStep(context, id);
    loadStep(context, id);
}

} // namespace

void advanceLog(RolloutContext &context, StepState &step)
{
    const auto position = context.state.ownedTrainers.find(step.spec.id.trainer);
    if (position == context.state.ownedTrainers.end() || !position->second.stepsListed
        || !step.logLoaded)
        return;
    OwnedTrainer &owned = position->second;
    if (step.pendingRecord) {
        PendingRecord &pending = *step.pendingRecord;
        if (pending.inFlight || pending.retryAt > context.now)
            return;
        pending.inFlight = true;
        context.actions.push_back(
                ReadRecord{step.spec.id, step.nextRecordNumber, pending.record.writeId});
        return;
    }
    auto content = nextRecordContent(step, !step.fetchWaiters.empty(), context.now);
    if (!content || (changesIndex(*content) && owned.indexUpdateInFlight))
        return;
    if (std::holds_alternative<BatchSealed>(*content))
        step.phase = StepPhase::Sealing;
    owned.indexUpdateInFlight = owned.indexUpdateInFlight || changesIndex(*content);
    const std::string writeId =
            context.state.writerId + "-" + std::to_string(context.state.nextWriteNumber++);
    step.pendingRecord = PendingRecord{{writeId, step.dueAt - context.now, std::move(*content)}};
    sendAppend(context, step, owned);
}

void onRecordAppended(RolloutContext &context, const RecordAppended &event)
{
    StepState *step = findPending(context, event.id, event.writeId);
    if (step == nullptr)
        return;
    if (event.outcome == AppendOutcome::Committed)
        return onCommitted(context, *step);
    // The store may refuse a repeated append because the first one took effect, so a refused record
    // is read back as well.
    step->pendingRecord->inFlight = false;
    step->pendingRecord->retryAt =
            event.outcome == AppendOutcome::Refused ? context.now : context.now + appendRetryDelay;
    step->pendingRecord->refused = event.outcome == AppendOutcome::Refused;
    advanceLog(context, *step);
}

void onRecordRead(RolloutContext &context, const RecordRead &event)
{
    StepState *step = findPending(context, event.id, event.writeId);
    if (step == nullptr)
        return;
    PendingRecord &pending = *step->pendingRecord;
    pending.inFlight = false;
    if (!event.succeeded) {
        pending.retryAt = context.now + appendRetryDelay;
    } else if (event.foundWriteId == event.writeId) {
        onCommitted(context, *step);
    } else if (!event.foundWriteId.empty()) {
        reload(context, event.id);
    } else if (pending.refused) {
        // The append was refused although the record number is free, so the lease is lost.
        markLeaseLost(context, event.id.trainer);
    } else {
        sendAppend(context, *step, context.state.ownedTrainers.at(event.id.trainer));
    }
}

} // namespace geraniumpulley::core
