#include "batch_context.hpp"

#include <geraniumpulley/core/backoff.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Submissions = std::map<BatchId, PendingBatchSubmission>;

void answer(BatchContext &context, const PendingBatchSubmission &submission, SubmitVerdict verdict)
{
    for (const ReplyToken reply : submission.pendingReplies)
        context.actions.emplace_back(AnswerBatchSubmission{reply, submission.spec->id, verdict});
}

void answer(BatchContext &context, ReplyToken reply, const BatchId &id, std::uint32_t itemCount,
            std::uint64_t firstPosition, const std::vector<ItemResult> &results, std::size_t first)
{
    AnswerResults answer{reply, id, ReadVerdict::Found, itemCount, firstPosition, {}};
    std::size_t bytes = 0;
    for (std::size_t i = first; i < results.size(); ++i) {
        bytes += results[i].text.size();
        if (i > first && bytes > context.state.settings.maxAnswerBytes)
            break;
        answer.results.push_back(results[i]);
    }
    context.actions.emplace_back(std::move(answer));
}

void send(BatchContext &context, PendingBatchSubmission &submission)
{
    submission.inFlight = true;
    context.actions.emplace_back(StoreSubmission{submission.head, submission.spec});
}

// Accepting a batch requires the routes, the known batches and the store's clock.
bool canAccept(const BatchContext &context)
{
    const DirectoryPointer &directory = context.state.directory;
    return directory && directory->routing && directory->batches && directory->storeClockOffset;
}

bool isKnownBatch(const BatchContext &context, const BatchId &id)
{
    return context.state.ownedBatches.count(id) != 0
           || context.state.directory->batches->count(id) != 0;
}

// All batches of a model go to one node, so that only that node keeps connections to the engines of
// the model. A draining node assigns new batches to another node, or to none if it is the only one.
Node chooseOwner(const BatchContext &context, const std::string &model)
{
    const BatchState &state = context.state;
    for (Node &node : rankNodes(state.directory->presence, model, context.now)) {
        if (node.id != state.self.id || !state.draining)
            return std::move(node);
    }
    return state.draining ? Node{} : state.self;
}

// An item without an estimate from the trainer counts with its maximum number of tokens.
std::uint64_t estimateTokens(const BatchSpec &spec)
{
    std::uint64_t tokens = 0;
    for (const BatchItem &item : spec.items)
        tokens += item.expectedTokens > 0 ? item.expectedTokens : item.maxTokens;
    return tokens;
}

// A reader that may not wait is answered with the results that there are.
Time readDeadline(const BatchContext &context, Duration maxWait)
{
    const BatchState &state = context.state;
    std::size_t waiting = state.storeReaders.size();
    for (const auto &[id, batch] : state.ownedBatches)
        waiting += batch.waiters.size();
    return waiting < state.settings.maxWaitingReaders
                   ? latestAnswerAt(context, std::min(maxWait, state.settings.maxResultsWait))
                   : context.now;
}

void startRead(BatchContext &context, ReplyToken reply, StoreReader &reader)
{
    ++context.state.readsInFlight;
    reader.readInFlight = true;
    context.actions.emplace_back(ReadResults{reply, reader.batch, reader.firstPosition});
}

} // namespace

bool isOwnershipValid(const BatchContext &context)
{
    return context.state.directory && context.now < context.state.directory->ownershipValidUntil;
}

Time latestAnswerAt(const BatchContext &context, Duration maxWait)
{
    return std::min(context.now + maxWait, context.state.answersDueAt);
}

void onBatchDraining(BatchContext &context, const BatchDraining &event)
{
    BatchState &state = context.state;
    state.draining = true;
    state.answersDueAt = event.answersDueAt;
    const auto limit = [&](Time &deadline) { deadline = std::min(deadline, event.answersDueAt); };
    for (auto &[id, submission] : state.pendingSubmissions)
        limit(submission.answerDeadline);
    for (auto &[id, end] : state.pendingEnds)
        limit(end.answerDeadline);
    for (auto &[reply, reader] : state.storeReaders)
        limit(reader.deadline);
    for (auto &[id, batch] : state.ownedBatches) {
        for (ResultWaiter &waiter : batch.waiters)
            limit(waiter.deadline);
    }
}

void onBatchSubmissionReceived(BatchContext &context, const BatchSubmissionReceived &event)
{
    const BatchId &id = event.spec->id;
    BatchState &state = context.state;
    if (!canAccept(context)) {
        context.actions.emplace_back(
                AnswerBatchSubmission{event.reply, id, SubmitVerdict::StoreUnavailable});
        return;
    }
    if (isKnownBatch(context, id)) {
        context.actions.emplace_back(
                AnswerBatchSubmission{event.reply, id, SubmitVerdict::Accepted});
        return;
    }
    const auto pending = state.pendingSubmissions.find(id);
    if (pending != state.pendingSubmissions.end()) {
        pending->second.pendingReplies.push_back(event.reply);
        pending->second.answerDeadline = latestAnswerAt(context, state.settings.storeTimeout);
        return;
    }
    if (routeOf(context, *event.spec) == nullptr) {
        context.actions.emplace_back(
                AnswerBatchSubmission{event.reply, id, SubmitVerdict::NoRoute});
        return;
    }
    if (!event.hasRoom) {
        context.actions.emplace_back(AnswerBatchSubmission{event.reply, id, SubmitVerdict::NoRoom});
        return;
    }
    PendingBatchSubmission submission;
    submission.spec = event.spec;
    submission.head.id = id;
    const Node owner = chooseOwner(context, event.spec->model);
    submission.head.owner = owner.id;
    submission.head.ownerIncarnation = owner.incarnation;
    submission.head.itemCount = static_cast<std::uint32_t>(event.spec->items.size());
    submission.head.model = event.spec->model;
    submission.head.minVersion = event.spec->minVersion;
    submission.head.expectedTokens = estimateTokens(*event.spec);
    submission.head.submittedAt =
            context.now.time_since_epoch() + *state.directory->storeClockOffset;
    submission.pendingReplies.push_back(event.reply);
    submission.answerDeadline = latestAnswerAt(context, state.settings.storeTimeout);
    send(context, state.pendingSubmissions.emplace(id, std::move(submission)).first->second);
}

void onSubmissionStored(BatchContext &context, const SubmissionStored &event)
{
    BatchState &state = context.state;
    const auto position = state.pendingSubmissions.find(event.batch);
    if (position == state.pendingSubmissions.end())
        return;
    PendingBatchSubmission &submission = position->second;
    submission.inFlight = false;
    submission.retryAt = context.now
                         + backoffDelay(state.settings.storeRetryDelay,
                                        state.settings.maxStoreRetryDelay, submission.failures++);
    if (event.outcome == StoreOutcome::Unknown)
        submission.maybeStored = true;
    if (event.outcome == StoreOutcome::Rejected) {
        answer(context, submission,
               submission.maybeStored ? SubmitVerdict::Uncertain : SubmitVerdict::StoreUnavailable);
        state.pendingSubmissions.erase(position);
        return;
    }
    const bool isStored = event.outcome == StoreOutcome::Committed
                          || (event.outcome == StoreOutcome::Conflict && event.found);
    if (!isStored)
        return advanceSubmissions(context);
    answer(context, submission, SubmitVerdict::Accepted);
    BatchHead head = event.found.value_or(submission.head);
    if (event.outcome == StoreOutcome::Committed)
        head.version = event.version;
    const std::shared_ptr<const BatchSpec> spec = submission.spec;
    state.pendingSubmissions.erase(position);
    const bool isOwn =
            head.owner == state.self.id && head.ownerIncarnation == state.self.incarnation;
    if (isOwn && !head.ended)
        openBatch(context, head, spec, nullptr);
}

void advanceSubmissions(BatchContext &context)
{
    Submissions &submissions = context.state.pendingSubmissions;
    for (auto position = submissions.begin(); position != submissions.end();) {
        PendingBatchSubmission &submission = position->second;
        const bool isExpired = submission.answerDeadline <= context.now;
        const bool isUncertain = submission.maybeStored || submission.inFlight;
        if (isExpired && !submission.pendingReplies.empty()) {
            answer(context, submission,
                   isUncertain ? SubmitVerdict::Uncertain : SubmitVerdict::StoreUnavailable);
            submission.pendingReplies.clear();
        }
        // A submission that may be stored is retried until its outcome is known.
        if (isExpired && !isUncertain) {
            position = submissions.erase(position);
            continue;
        }
        if (!submission.inFlight && submission.retryAt <= context.now)
            send(context, submission);
        ++position;
    }
}

void onResultsRequested(BatchContext &context, const ResultsRequested &event)
{
    const auto position = context.state.ownedBatches.find(event.batch);
    if (position != context.state.ownedBatches.end() && isOwnershipValid(context)) {
        position->second.waiters.push_back(
                {event.reply, event.firstPosition, readDeadline(context, event.maxWait)});
        return answerWaiters(context, position->second);
    }
    if (context.state.readsInFlight >= context.state.settings.maxReadsInFlight) {
        context.actions.emplace_back(
                AnswerResults{event.reply, event.batch, ReadVerdict::StoreUnavailable, 0, 0, {}});
        return;
    }
    StoreReader reader;
    reader.batch = event.batch;
    reader.firstPosition = event.firstPosition;
    reader.deadline = readDeadline(context, event.maxWait);
    startRead(context, event.reply,
              context.state.storeReaders.emplace(event.reply, std::move(reader)).first->second);
}

void answerWaiters(BatchContext &context, OwnedBatch &batch)
{
    std::erase_if(batch.waiters, [&](const ResultWaiter &waiter) {
        const bool hasResults = waiter.firstPosition < batch.committedResults.size();
        const bool isComplete = batch.committedResults.size() == batch.items.size();
        if (!hasResults && !isComplete && waiter.deadline > context.now)
            return false;
        const std::size_t first =
                std::min<std::size_t>(waiter.firstPosition, batch.committedResults.size());
        answer(context, waiter.reply, batch.head.id, batch.head.itemCount, waiter.firstPosition,
               batch.committedResults, first);
        return true;
    });
}

void onResultsRead(BatchContext &context, const ResultsRead &event)
{
    --context.state.readsInFlight;
    const auto position = context.state.storeReaders.find(event.reply);
    if (position == context.state.storeReaders.end())
        return;
    StoreReader &reader = position->second;
    reader.readInFlight = false;
    const bool keepsWaiting = event.succeeded && event.exists && event.results.empty()
                              && !event.ended && reader.firstPosition < event.itemCount
                              && reader.deadline > context.now;
    if (keepsWaiting) {
        reader.nextReadAt = context.now + context.state.settings.readPeriod;
        return;
    }
    // While a submission of the batch is pending, the batch may be stored shortly after this read.
    const bool isPending = context.state.pendingSubmissions.count(reader.batch) != 0;
    if (!event.succeeded || (!event.exists && isPending))
        context.actions.emplace_back(
                AnswerResults{event.reply, reader.batch, ReadVerdict::StoreUnavailable, 0, 0, {}});
    else if (!event.exists)
        context.actions.emplace_back(
                AnswerResults{event.reply, reader.batch, ReadVerdict::Unknown, 0, 0, {}});
    else
        answer(context, event.reply, reader.batch, event.itemCount, reader.firstPosition,
               event.results, 0);
    context.state.storeReaders.erase(position);
}

void advanceStoreReaders(BatchContext &context)
{
    for (auto &[reply, reader] : context.state.storeReaders) {
        if (!reader.readInFlight && reader.nextReadAt <= context.now
            && context.state.readsInFlight < context.state.settings.maxReadsInFlight)
            startRead(context, reply, reader);
    }
    for (auto &[id, batch] : context.state.ownedBatches)
        answerWaiters(context, batch);
}

void onItemBodyRequested(BatchContext &context, const ItemBodyRequested &event)
{
    const auto position = context.state.ownedBatches.find(event.batch);
    if (position == context.state.ownedBatches.end()) {
        context.state.itemBodyReaders[event.batch].push_back({event.reply, event.item});
        return loadBatch(context, event.batch, false);
    }
    const auto &items = position->second.spec->items;
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const BatchItem &item) { return item.id == event.item; });
    if (found == items.end())
        context.actions.emplace_back(
                AnswerItemBody{event.reply, event.batch, ReadVerdict::Unknown, {}});
    else
        context.actions.emplace_back(
                AnswerItemBody{event.reply, event.batch, ReadVerdict::Found, found->body});
}

void onRequesterDisconnected(BatchContext &context, const RequesterDisconnected &event)
{
    const auto isDisconnected = [&](const auto &request) { return request.reply == event.reply; };
    context.state.storeReaders.erase(event.reply);
    for (auto &[id, batch] : context.state.ownedBatches)
        std::erase_if(batch.waiters, isDisconnected);
    for (auto &[id, submission] : context.state.pendingSubmissions)
        std::erase(submission.pendingReplies, event.reply);
    for (auto &[id, readers] : context.state.itemBodyReaders)
        std::erase_if(readers, isDisconnected);
}

} // namespace geraniumpulley::core
