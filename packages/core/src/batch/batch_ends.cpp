#include "batch_context.hpp"

#include <utility>

namespace geraniumpulley::core {
namespace {

void answer(BatchContext &context, const BatchId &id, ReadVerdict verdict)
{
    const auto entry = context.state.ends.extract(id);
    if (entry.empty())
        return;
    for (const ReplyToken reply : entry.mapped().askers)
        context.actions.emplace_back(AnswerEnd{reply, id, verdict});
}

std::optional<BatchHead> findKnownHead(const BatchContext &context, const BatchId &id)
{
    const auto owned = context.state.owned.find(id);
    if (owned != context.state.owned.end())
        return owned->second.head;
    if (!context.state.directory || !context.state.directory->batches)
        return std::nullopt;
    const auto listed = context.state.directory->batches->find(id);
    if (listed == context.state.directory->batches->end())
        return std::nullopt;
    return listed->second;
}

void send(BatchContext &context, const BatchId &id, PendingEnd &end)
{
    if (!end.head)
        return loadBatch(context, id, false);
    end.sent = true;
    BatchHead head = *end.head;
    head.ended = true;
    context.actions.emplace_back(StoreHead{std::move(head), end.head->version, {}});
}

} // namespace

void onEndAsked(BatchContext &context, const EndAsked &event)
{
    const std::optional<BatchHead> head = findKnownHead(context, event.batch);
    if (head && head->ended) {
        context.actions.emplace_back(AnswerEnd{event.reply, event.batch, ReadVerdict::Found});
        return;
    }
    const auto [position, isNew] = context.state.ends.emplace(event.batch, PendingEnd{});
    PendingEnd &end = position->second;
    end.askers.push_back(event.reply);
    end.answerBy = context.now + context.state.settings.storePatience;
    if (!isNew)
        return;
    end.head = head;
    send(context, event.batch, end);
}

void onEndStored(BatchContext &context, const HeadStored &event)
{
    const BatchId &id = event.head.id;
    const auto position = context.state.ends.find(id);
    const bool isEnded =
            event.outcome == StoreOutcome::Done
            || (event.outcome == StoreOutcome::Conflict && event.found && event.found->ended);
    if (isEnded) {
        const RowVersion version =
                event.outcome == StoreOutcome::Done ? event.version : event.found->version;
        answer(context, id, ReadVerdict::Found);
        context.state.dropped[id] = version;
        return dropBatch(context, id, OwnershipChange::Ended);
    }
    if (position == context.state.ends.end())
        return;
    PendingEnd &end = position->second;
    end.sent = false;
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

void resumeEnd(BatchContext &context, const BatchLoaded &event)
{
    const auto position = context.state.ends.find(event.batch);
    if (position == context.state.ends.end() || position->second.head)
        return;
    if (!event.answered) {
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

void advanceEnds(BatchContext &context)
{
    std::vector<BatchId> expired;
    for (auto &[id, end] : context.state.ends) {
        if (end.answerBy <= context.now)
            expired.push_back(id);
        else if (!end.sent && end.head && end.retryAt <= context.now)
            send(context, id, end);
    }
    for (const BatchId &id : expired)
        answer(context, id, ReadVerdict::StoreUnavailable);
}

} // namespace geraniumpulley::core
