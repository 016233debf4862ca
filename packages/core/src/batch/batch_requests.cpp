#include "batch_context.hpp"

#include <geraniumpulley/core/back_off.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Submissions = std::map<BatchId, PendingSubmission>;

void answer(BatchContext &context, const PendingSubmission &submission, SubmitVerdict verdict)
{
    for (const ReplyToken reply : submission.askers)
        context.actions.emplace_back(AnswerSubmit{reply, submission.order->id, verdict});
}

void answer(BatchContext &context, ReplyToken reply, const BatchId &id, std::uint32_t itemCount,
            std::uint64_t firstPosition, const std::vector<ItemResult> &results, std::size_t first)
{
    AnswerResults answer{reply, id, ReadVerdict::Found, itemCount, firstPosition, {}};
    std::size_t bytes = 0;
    for (std::size_t i = first; i < results.size(); ++i) {
        bytes += results[i].text.size();
        if (i > first && bytes > context.state.settings.bytesOfAnswer)
            break;
        answer.results.push_back(results[i]);
    }
    context.actions.emplace_back(std::move(answer));
}

void send(BatchContext &context, PendingSubmission &submission)
{
    submission.sent = true;
    context.actions.emplace_back(StoreSubmission{submission.head, submission.order});
}

// Accepting a batch requires the routes, the known batches and the store's clock.
bool canAccept(const BatchContext &context)
{
    const DirectoryPointer &directory = context.state.directory;
    return directory && directory->routing && directory->batches && directory->storeClockOffset;
}

bool isKnownBatch(const BatchContext &context, const BatchId &id)
{
    return context.state.owned.count(id) != 0 || context.state.directory->batches->count(id) != 0;
}

// All batches of a model go to one node, so that only this node keeps connections to the engines of
// the model. A draining node assigns new batches to another node.
Node chooseOwner(const BatchContext &context, const std::string &model)
{
    const BatchState &state = context.state;
    for (Node &node : rankNodes(state.directory->presence, model, context.now)) {
        if (node.id != state.self.id || !state.draining)
            return std::move(node);
    }
    return state.draining ? Node{} : state.self;
}

// Items without an estimate of the trainer count with their maximum.
std::uint64_t estimateTokens(const BatchOrder &spec)
{
    std::uint64_t tokens = 0;
    for (const BatchItem &item : spec.items)
        tokens += item.expectedTokens > 0 ? item.expectedTokens : item.tokens;
    return tokens;
}

void startRead(BatchContext &context, ReplyToken reply, StoreReader &reader)
{
    reader.reading = true;
    context.actions.emplace_back(ReadResults{reply, reader.batch, reader.after});
}

} // namespace

bool isOwnershipKnown(const BatchContext &context)
{
    return context.state.directory && context.now < context.state.directory->ownershipKnownUntil;
}

void onSubmitAsked(BatchContext &context, const SubmitAsked &event)
{
    const BatchId &id = event.order->id;
    BatchState &state = context.state;
    if (!canAccept(context)) {
        context.actions.emplace_back(
                AnswerSubmit{event.reply, id, SubmitVerdict::StoreUnavailable});
        return;
    }
    if (isKnownBatch(context, id)) {
        context.actions.emplace_back(AnswerSubmit{event.reply, id, SubmitVerdict::Accepted});
        return;
    }
    const auto pending = state.submissions.find(id);
    if (pending != state.submissions.end()) {
        pending->second.askers.push_back(event.reply);
        pending->second.answerBy = context.now + state.settings.storePatience;
        return;
    }
    if (routeOf(context, *event.order) == nullptr) {
        context.actions.emplace_back(AnswerSubmit{event.reply, id, SubmitVerdict::NoRoute});
        return;
    }
    PendingSubmission submission;
    submission.order = event.order;
    submission.head.id = id;
    const Node owner = chooseOwner(context, event.order->model);
    submission.head.owner = owner.id;
    submission.head.ownerIncarnation = owner.incarnation;
    submission.head.total = static_cast<std::uint32_t>(event.order->items.size());
    submission.head.model = event.order->model;
    submission.head.leastVersion = event.order->leastVersion;
    submission.head.expectedTokens = estimateTokens(*event.order);
    submission.head.submittedAt =
            context.now.time_since_epoch() + *state.directory->storeClockOffset;
    submission.askers.push_back(event.reply);
    submission.answerBy = context.now + state.settings.storePatience;
    send(context, state.submissions.emplace(id, std::move(submission)).first->second);
}

void onSubmissionStored(BatchContext &context, const SubmissionStored &event)
{
    BatchState &state = context.state;
    const auto position = state.submissions.find(event.batch);
    if (position == state.submissions.end())
        return;
    PendingSubmission &submission = position->second;
    submission.sent = false;
    submission.retryAt = context.now
                         + backOff(state.settings.storeRetryDelay, state.settings.longestRetryDelay,
                                   submission.failures++);
    if (event.outcome == StoreOutcome::Unknown)
        submission.maybeStored = true;
    const bool isStored = event.outcome == StoreOutcome::Done
                          || (event.outcome == StoreOutcome::Conflict && event.found);
    if (!isStored)
        return advanceSubmissions(context);
    answer(context, submission, SubmitVerdict::Accepted);
    BatchHead head = event.found.value_or(submission.head);
    if (event.outcome == StoreOutcome::Done)
        head.version = event.version;
    const std::shared_ptr<const BatchOrder> spec = submission.order;
    state.submissions.erase(position);
    const bool isOwn =
            head.owner == state.self.id && head.ownerIncarnation == state.self.incarnation;
    if (isOwn && !head.ended)
        openBatch(context, head, spec, nullptr);
}

void advanceSubmissions(BatchContext &context)
{
    Submissions &submissions = context.state.submissions;
    for (auto position = submissions.begin(); position != submissions.end();) {
        PendingSubmission &submission = position->second;
        const bool isExpired = submission.answerBy <= context.now;
        const bool isUncertain = submission.maybeStored || submission.sent;
        if (isExpired && !submission.askers.empty()) {
            answer(context, submission,
                   isUncertain ? SubmitVerdict::Uncertain : SubmitVerdict::StoreUnavailable);
            submission.askers.clear();
        }
        // A submission that may be stored is retried until its outcome is known.
        if (isExpired && !isUncertain) {
            position = submissions.erase(position);
            continue;
        }
        if (!submission.sent && submission.retryAt <= context.now)
            send(context, submission);
        ++position;
    }
}

void onResultsAsked(BatchContext &context, const ResultsAsked &event)
{
    const auto position = context.state.owned.find(event.batch);
    if (position != context.state.owned.end() && isOwnershipKnown(context)) {
        position->second.waiters.push_back({event.reply, event.after, context.now + event.wait});
        return answerWaiters(context, position->second);
    }
    StoreReader reader;
    reader.batch = event.batch;
    reader.after = event.after;
    reader.until = context.now + event.wait;
    startRead(context, event.reply,
              context.state.readers.emplace(event.reply, std::move(reader)).first->second);
}

void answerWaiters(BatchContext &context, OwnedBatch &batch)
{
    std::erase_if(batch.waiters, [&](const BatchWaiter &waiter) {
        const bool hasResults = waiter.after < batch.listed.size();
        const bool isComplete = batch.listed.size() == batch.items.size();
        if (!hasResults && !isComplete && waiter.until > context.now)
            return false;
        const std::size_t first = std::min<std::size_t>(waiter.after, batch.listed.size());
        answer(context, waiter.reply, batch.head.id, batch.head.total, waiter.after, batch.listed,
               first);
        return true;
    });
}

void onResultsRead(BatchContext &context, const ResultsRead &event)
{
    const auto position = context.state.readers.find(event.reply);
    if (position == context.state.readers.end())
        return;
    StoreReader &reader = position->second;
    reader.reading = false;
    const bool keepsWaiting = event.answered && event.exists && event.results.empty()
                              && !event.ended && reader.after < event.total
                              && reader.until > context.now;
    if (keepsWaiting) {
        reader.nextRead = context.now + context.state.settings.readPeriod;
        return;
    }
    // The submission of the batch is still pending, so the batch may exist shortly after.
    const bool isPending = context.state.submissions.count(reader.batch) != 0;
    if (!event.answered || (!event.exists && isPending))
        context.actions.emplace_back(
                AnswerResults{event.reply, reader.batch, ReadVerdict::StoreUnavailable, 0, 0, {}});
    else if (!event.exists)
        context.actions.emplace_back(
                AnswerResults{event.reply, reader.batch, ReadVerdict::Unknown, 0, 0, {}});
    else
        answer(context, event.reply, reader.batch, event.total, reader.after, event.results, 0);
    context.state.readers.erase(position);
}

void advanceReaders(BatchContext &context)
{
    for (auto &[reply, reader] : context.state.readers) {
        if (!reader.reading && reader.nextRead <= context.now)
            startRead(context, reply, reader);
    }
    for (auto &[id, batch] : context.state.owned)
        answerWaiters(context, batch);
}

void onItemBodyAsked(BatchContext &context, const ItemBodyAsked &event)
{
    const auto position = context.state.owned.find(event.batch);
    if (position == context.state.owned.end()) {
        context.state.itemReaders[event.batch].push_back({event.reply, event.item});
        return loadBatch(context, event.batch, false);
    }
    const auto &items = position->second.order->items;
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const BatchItem &item) { return item.id == event.item; });
    if (found == items.end())
        context.actions.emplace_back(
                AnswerItemBody{event.reply, event.batch, ReadVerdict::Unknown, {}});
    else
        context.actions.emplace_back(
                AnswerItemBody{event.reply, event.batch, ReadVerdict::Found, found->body});
}

void onAskerLeft(BatchContext &context, const AskerLeft &event)
{
    const auto isDisconnected = [&](const auto &request) { return request.reply == event.reply; };
    context.state.readers.erase(event.reply);
    for (auto &[id, batch] : context.state.owned)
        std::erase_if(batch.waiters, isDisconnected);
    for (auto &[id, submission] : context.state.submissions)
        std::erase(submission.askers, event.reply);
    for (auto &[id, readers] : context.state.itemReaders)
        std::erase_if(readers, isDisconnected);
}

} // namespace geraniumpulley::core
