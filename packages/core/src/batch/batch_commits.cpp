#include "batch_context.hpp"

#include <geraniumpulley/core/backoff.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Size of the other fields of a result or partial text, with their encoding.
constexpr std::size_t fieldBytes = 96;
constexpr std::size_t versionBytes = 9;
// Tables and keys of a batch's rows, without the batch's id.
constexpr std::size_t rowNameBytes = 64;

std::size_t nameBytes(const OwnedBatch &batch)
{
    return rowNameBytes + batch.head.id.value.size();
}

std::size_t storedBytes(const ItemResult &result)
{
    return fieldBytes + result.id.value.size() + result.text.size() + result.score.size()
           + result.versions.size() * versionBytes;
}

std::size_t storedBytes(const ItemState &item)
{
    return fieldBytes + item.text.size() + item.software.value.size()
           + item.versions.size() * versionBytes;
}

// A result that no transaction has room for is sent alone, and the store's answer is logged.
std::size_t countCommittable(const OwnedBatch &batch, const BatchSettings &settings,
                             TransactionBudget &budget)
{
    std::size_t count = 0;
    while (count < batch.uncommittedResults.size() && count < settings.maxCommitResults) {
        const ItemResult &result = batch.uncommittedResults[count];
        if (!reserveValue(budget, storedBytes(result), nameBytes(batch)))
            return std::max<std::size_t>(count, 1);
        ++count;
    }
    return count;
}

// Selects texts from the item on at which the last selection ended, so that each has its turn.
std::vector<PartialText> selectNextPartials(OwnedBatch &batch, std::uint64_t newEvents,
                                            TransactionBudget &budget)
{
    const auto itemCount = static_cast<std::uint32_t>(batch.items.size());
    const std::uint32_t first = batch.nextPartialItem;
    PartialSelection selection = selectPartials(batch, newEvents, first, itemCount, budget);
    if (selection.endItem == itemCount) {
        PartialSelection others = selectPartials(batch, newEvents, 0, first, budget);
        std::move(others.partials.begin(), others.partials.end(),
                  std::back_inserter(selection.partials));
        selection.endItem = others.endItem;
    }
    batch.nextPartialItem = selection.endItem;
    return std::move(selection.partials);
}

// Removes a part of a commit that the store has rejected as it was.
void shrink(PendingCommit &commit)
{
    if (!commit.partials.empty())
        commit.partials.clear();
    else if (commit.resultCount > 1)
        commit.resultCount /= 2;
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

TransactionBudget ownerBudget(const OwnedBatch &batch)
{
    constexpr std::size_t conditions = 2; // The owner's row and the position of the first result.
    TransactionBudget budget;
    static_cast<void>(reserveNames(budget, conditions, nameBytes(batch)));
    return budget;
}

PartialSelection selectPartials(const OwnedBatch &batch, std::uint64_t newEvents,
                                std::uint32_t firstItem, std::uint32_t endItem,
                                TransactionBudget &budget)
{
    PartialSelection selection;
    for (std::uint32_t i = firstItem; i < endItem; ++i) {
        const ItemState &item = batch.items[i];
        if (item.phase == ItemPhase::Finished
            || item.lastEventId < item.lastStoredEventId + newEvents)
            continue;
        if (!reserveValue(budget, storedBytes(item), nameBytes(batch))) {
            selection.endItem = i;
            return selection;
        }
        selection.partials.push_back(
                {i, item.text, item.lastEventId, item.versions, item.software});
    }
    selection.endItem = endItem;
    return selection;
}

void commitPartials(BatchContext &context, OwnedBatch &batch, std::vector<PartialText> partials)
{
    batch.commit.emplace();
    batch.commit->partials = std::move(partials);
    send(context, batch);
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
    TransactionBudget budget = ownerBudget(batch);
    commit.resultCount = countCommittable(batch, settings, budget);
    if (batch.nextPartialsAt <= context.now) {
        batch.nextPartialsAt = context.now + settings.partialPeriod;
        commit.partials = selectNextPartials(batch, settings.minPartialEvents, budget);
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
    case CommitVerdict::Rejected:
        shrink(*batch.commit);
        if (batch.commit->resultCount == 0)
            return batch.commit.reset();
        [[fallthrough]];
    case CommitVerdict::NotCommitted:
    case CommitVerdict::Unknown:
        // The retry sends the same rows, or the first of them after a rejection, so a delayed write
        // of an earlier attempt has no effect.
        batch.commit->retryAt =
                context.now
                + backoffDelay(context.state.settings.storeRetryDelay,
                               context.state.settings.maxStoreRetryDelay, batch.commit->failures++);
    }
}

} // namespace geraniumpulley::core
