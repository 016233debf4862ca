#include "batch_context.hpp"

#include <geraniumpulley/core/backoff.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

std::size_t countCommittable(const OwnedBatch &batch, const BatchSettings &settings)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < batch.uncommittedResults.size() && count < settings.maxCommitResults) {
        bytes += batch.uncommittedResults[count].text.size();
        if (count > 0 && bytes > settings.maxCommitBytes)
            break;
        ++count;
    }
    return count;
}

void send(BatchContext &context, OwnedBatch &batch)
{
    PendingCommit &commit = *batch.commit;
    commit.inFlight = true;
    const auto end =
            batch.uncommittedResults.begin() + static_cast<std::ptrdiff_t>(commit.resultCount);
    context.actions.emplace_back(StoreResults{batch.head.id,
                                              batch.head.version,
                                              batch.committedResults.size(),
                                              {batch.uncommittedResults.begin(), end},
                                              commit.partials});
}

void applyCommit(BatchContext &context, OwnedBatch &batch)
{
    const PendingCommit commit = std::move(*batch.commit);
    batch.commit.reset();
    const auto end =
            batch.uncommittedResults.begin() + static_cast<std::ptrdiff_t>(commit.resultCount);
    std::move(batch.uncommittedResults.begin(), end, std::back_inserter(batch.committedResults));
    batch.uncommittedResults.erase(batch.uncommittedResults.begin(), end);
    for (const PartialText &partial : commit.partials) {
        ItemState &item = batch.items[partial.itemIndex];
        item.lastStoredEventId = std::max(item.lastStoredEventId, partial.lastEventId);
    }
    if (batch.committedResults.size() == batch.items.size()
        && !std::exchange(batch.completionReported, true))
        context.actions.emplace_back(OwnershipChanged{
                batch.head.id, OwnershipChange::Complete, batch.head.version,
                static_cast<std::uint32_t>(batch.committedResults.size()), batch.head.itemCount});
    answerWaiters(context, batch);
}

} // namespace

std::vector<PartialText> collectPartials(const OwnedBatch &batch, std::uint64_t newEvents)
{
    std::vector<PartialText> partials;
    for (std::uint32_t i = 0; i < batch.items.size(); ++i) {
        const ItemState &item = batch.items[i];
        if (item.phase != ItemPhase::Finished
            && item.lastEventId >= item.lastStoredEventId + newEvents)
            partials.push_back({i, item.text, item.lastEventId, item.versions, item.software});
    }
    return partials;
}

void advanceCommit(BatchContext &context, OwnedBatch &batch)
{
    if (batch.releaseInFlight)
        return;
    const BatchSettings &settings = context.state.settings;
    if (batch.commit) {
        if (!batch.commit->inFlight && batch.commit->retryAt <= context.now)
            send(context, batch);
        return;
    }
    PendingCommit commit;
    commit.resultCount = countCommittable(batch, settings);
    if (batch.nextPartialsAt <= context.now) {
        batch.nextPartialsAt = context.now + settings.partialPeriod;
        commit.partials = collectPartials(batch, settings.minPartialEvents);
        std::size_t bytes = 0;
        std::erase_if(commit.partials, [&](const PartialText &partial) {
            bytes += partial.text.size();
            return bytes > settings.maxCommitBytes;
        });
    }
    if (commit.resultCount == 0 && commit.partials.empty())
        return;
    batch.commit = std::move(commit);
    send(context, batch);
}

void onResultsStored(BatchContext &context, const ResultsStored &event)
{
    const auto position = context.state.ownedBatches.find(event.batch);
    if (position == context.state.ownedBatches.end()
        || position->second.head.version != event.fencingToken || !position->second.commit)
        return;
    OwnedBatch &batch = position->second;
    batch.commit->inFlight = false;
    switch (event.verdict) {
    case CommitVerdict::Committed:
        applyCommit(context, batch);
        return advanceCommit(context, batch);
    case CommitVerdict::Superseded:
        return closeBatch(context, event.batch, OwnershipChange::Superseded);
    case CommitVerdict::NotCommitted:
    case CommitVerdict::Unknown:
        // The retry sends the same rows, so a delayed write of an earlier attempt has no effect.
        batch.commit->retryAt =
                context.now
                + backoffDelay(context.state.settings.storeRetryDelay,
                               context.state.settings.maxStoreRetryDelay, batch.commit->failures++);
    }
}

} // namespace geraniumpulley::core
