#include "batch_context.hpp"

#include <utility>

namespace geraniumpulley::core {
namespace {

void answer(BatchContext &context, const BatchId &id, ReadVerdict verdict)
{
    const auto entry = context.state.pendingEnds.extract(id);
    if (entry.empty())
        return;
    for (const ReplyToken reply : entry.mapped().pendingReplies)
        context.actions.emplace_back(AnswerBatchEnd{reply, id, verdict});
}

std::optional<BatchHead> findKnownHead(const BatchContext &context, const BatchId &id)
{
    const auto owned = context.state.ownedBatches.find(id);
    if (owned != context.state.ownedBatches.end())
        return owned->second.head;
    if (!context.state.directory || !context.state.directory->batches)
        return std::nullopt;
    const auto listed = context.state.directory->batches->find(id);
    if (listed == context.state.directory->batches->end())
        return std::nullopt;
    return listed->second;
}

void send(BatchContext &context, const BatchId &id, PendingBatchEnd &end)
{
    if (!end.head)
        return loadBatch(context, id, false);
    end.inFlight = true;
    BatchHead head = *end.head;
    head.ended = true;
    context.actions.emplace_back(StoreHead{std::move(head), end.head->version, {}});
}

} // namespace

void onBatchEndRequested(BatchContext &context, const BatchEndRequested &event)
{
    const std::optional<BatchHead> head = findKnownHead(context, event.batch);
    if (head && head->ended) {
        context.actions.emplace_back(AnswerBatchEnd{event.reply, event.batch, ReadVerdict::Found});
        return;
    }
    const auto [position, isNew] =
            context.state.pendingEnds.emplace(event.batch, PendingBatchEnd{});
    PendingBatchEnd &end = position->second;
    end.pendingReplies.push_back(event.reply);
    end.answerDeadline = latestAnswerAt(context, context.state.settings.storeTimeout);
    if (!isNew)
        return;
    end.head = head;
    send(context, event.batch, end);
}

void onBatchEndStored(BatchContext &context, const HeadStored &event)
{
    const BatchId &id = event.head.id;
    const auto position = context.state.pendingEnds.find(id);
    const bool isEnded =
            event.outcome == StoreOutcome::Committed
            || (event.outcome == StoreOutcome::Conflict && event.found && event.found->ended);
    if (isEnded) {
        const RowVersion version =
                event.outcome == StoreOutcome::Committed ? event.version : event.found->version;
        answer(context, id, ReadVerdict::Found);
        noteClosed(context, id, version);
        return closeBatch(context, id, OwnershipChange::Ended);
    }
    if (position == context.state.pendingEnds.end())
        return;
    if (event.outcome == StoreOutcome::Rejected)
        return answer(context, id, ReadVerdict::StoreUnavailable);
    PendingBatchEnd &end = position->second;
    end.inFlight = false;
    if (event.outcome != StoreOutcome::Conflict) {
        end.retryAt = context.now + context.state.settings.storeRetryDelay;
        return;
    }
    if (!event.found)
        return answer(context, id, ReadVerdict::Unknown);
    // The head has changed, for example by a takeover; the write is repeated with the new version.
    end.head = event.found;
    send(context, id, end);
}

void resumeBatchEnd(BatchContext &context, const BatchLoaded &event)
{
    const auto position = context.state.pendingEnds.find(event.batch);
    if (position == context.state.pendingEnds.end() || position->second.head)
        return;
    if (!event.succeeded) {
        position->second.retryAt = context.now + context.state.settings.storeRetryDelay;
        return;
    }
    if (!event.stored)
        return answer(context, event.batch, ReadVerdict::Unknown);
    if (event.stored->head.ended)
        return answer(context, event.batch, ReadVerdict::Found);
    position->second.head = event.stored->head;
    send(context, event.batch, position->second);
}

void advanceBatchEnds(BatchContext &context)
{
    std::vector<BatchId> expired;
    for (auto &[id, end] : context.state.pendingEnds) {
        if (end.answerDeadline <= context.now)
            expired.push_back(id);
        else if (!end.inFlight && end.head && end.retryAt <= context.now)
            send(context, id, end);
    }
    for (const BatchId &id : expired)
        answer(context, id, ReadVerdict::StoreUnavailable);
}

} // namespace geraniumpulley::core
