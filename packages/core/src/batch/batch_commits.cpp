#include "batch_context.hpp"

#include <geraniumpulley/core/back_off.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

std::size_t countCommittable(const OwnedBatch &batch, const BatchSettings &settings)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < batch.unlisted.size() && count < settings.resultsOfCommit) {
        bytes += batch.unlisted[count].text.size();
        if (count > 0 && bytes > settings.bytesOfCommit)
            break;
        ++count;
    }
    return count;
}

void send(BatchContext &context, OwnedBatch &batch)
{
    PendingCommit &commit = *batch.commit;
    commit.sent = true;
    const auto end = batch.unlisted.begin() + static_cast<std::ptrdiff_t>(commit.results);
    context.actions.emplace_back(StoreResults{batch.head.id,
                                              batch.head.version,
                                              batch.listed.size(),
                                              {batch.unlisted.begin(), end},
                                              commit.partials});
}

void applyCommit(BatchContext &context, OwnedBatch &batch)
{
    const PendingCommit commit = std::move(*batch.commit);
    batch.commit.reset();
    const auto end = batch.unlisted.begin() + static_cast<std::ptrdiff_t>(commit.results);
    std::move(batch.unlisted.begin(), end, std::back_inserter(batch.listed));
    batch.unlisted.erase(batch.unlisted.begin(), end);
    for (const PartialText &partial : commit.partials) {
        ItemState &item = batch.items[partial.item];
        item.storedEvent = std::max(item.storedEvent, partial.lastEvent);
    }
    if (batch.listed.size() == batch.items.size() && !std::exchange(batch.completeTold, true))
        context.actions.emplace_back(OwnershipChanged{
                batch.head.id, OwnershipChange::Complete, batch.head.version,
                static_cast<std::uint32_t>(batch.listed.size()), batch.head.total});
    answerWaiters(context, batch);
}

} // namespace

std::vector<PartialText> collectPartials(const OwnedBatch &batch, std::uint64_t newEvents)
{
    std::vector<PartialText> partials;
    for (std::uint32_t i = 0; i < batch.items.size(); ++i) {
        const ItemState &item = batch.items[i];
        if (item.phase != ItemPhase::Finished && item.lastEvent >= item.storedEvent + newEvents)
            partials.push_back({i, item.text, item.lastEvent, item.versions});
    }
    return partials;
}

void advanceCommit(BatchContext &context, OwnedBatch &batch)
{
    if (batch.releaseSent)
        return;
    const BatchSettings &settings = context.state.settings;
    if (batch.commit) {
        if (!batch.commit->sent && batch.commit->retryAt <= context.now)
            send(context, batch);
        return;
    }
    PendingCommit commit;
    commit.results = countCommittable(batch, settings);
    if (batch.nextPartials <= context.now) {
        batch.nextPartials = context.now + settings.partialPeriod;
        commit.partials = collectPartials(batch, settings.partialEvents);
        std::size_t bytes = 0;
        std::erase_if(commit.partials, [&](const PartialText &partial) {
            bytes += partial.text.size();
            return bytes > settings.bytesOfCommit;
        });
    }
    if (commit.results == 0 && commit.partials.empty())
        return;
    batch.commit = std::move(commit);
    send(context, batch);
}

void onResultsStored(BatchContext &context, const ResultsStored &event)
{
    const auto position = context.state.owned.find(event.batch);
    if (position == context.state.owned.end() || position->second.head.version != event.fence
        || !position->second.commit)
        return;
    OwnedBatch &batch = position->second;
    batch.commit->sent = false;
    switch (event.verdict) {
    case CommitVerdict::Done:
        applyCommit(context, batch);
        return advanceCommit(context, batch);
    case CommitVerdict::Superseded:
        return dropBatch(context, event.batch, OwnershipChange::Superseded);
    case CommitVerdict::NotDone:
    case CommitVerdict::Unknown:
        // The retry sends the same rows, so a delayed write of an earlier attempt has no effect.
        batch.commit->retryAt =
                context.now
                + backOff(context.state.settings.storeRetryDelay,
                          context.state.settings.longestRetryDelay, batch.commit->failures++);
    }
}

} // namespace geraniumpulley::core
