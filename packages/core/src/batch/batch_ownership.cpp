#include "batch_context.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

bool isOwnHead(const BatchContext &context, const BatchHead &head)
{
    return head.owner == context.state.self.id
           && head.ownerIncarnation == context.state.self.incarnation;
}

bool isOutdated(const BatchContext &context, const BatchHead &head)
{
    const auto position = context.state.dropped.find(head.id);
    return position != context.state.dropped.end() && head.version <= position->second;
}

std::map<ItemId, std::uint32_t> indexItems(const BatchOrder &spec)
{
    std::map<ItemId, std::uint32_t> indexes;
    for (std::uint32_t i = 0; i < spec.items.size(); ++i)
        indexes.emplace(spec.items[i].id, i);
    return indexes;
}

void restoreProgress(OwnedBatch &batch, const StoredBatch &stored)
{
    const auto indexes = indexItems(*batch.order);
    for (const ItemResult &result : stored.results) {
        const auto index = indexes.find(result.id);
        if (index != indexes.end())
            batch.items[index->second].phase = ItemPhase::Finished;
    }
    batch.listed = stored.results;
    for (const PartialText &partial : stored.partials) {
        if (partial.item >= batch.items.size())
            continue;
        ItemState &item = batch.items[partial.item];
        if (item.phase == ItemPhase::Finished)
            continue;
        item.text = partial.text;
        item.lastEvent = partial.lastEvent;
        item.storedEvent = partial.lastEvent;
        item.versions = partial.versions;
        item.cause = RunCause::TakenOver;
    }
}

// Returns whether another owner has stored results or partial texts of a batch.
bool hasStoredProgress(const StoredBatch &stored)
{
    return !stored.results.empty() || !stored.partials.empty();
}

Time toLocalTime(const BatchContext &context, Duration storeClock)
{
    const auto &offset = context.state.directory->storeClockOffset;
    return offset ? Time(storeClock - *offset) : context.now;
}

void claim(BatchContext &context, const BatchHead &head)
{
    BatchHead claimed = head;
    claimed.owner = context.state.self.id;
    claimed.ownerIncarnation = context.state.self.incarnation;
    context.actions.emplace_back(StoreHead{std::move(claimed), head.version, {}});
}

// A batch without a live owner is claimed by the live node that ranks first for its model. Each
// further node waits one delay longer, in case the nodes before it cannot reach the store.
void advanceTakeover(BatchContext &context, const BatchHead &head)
{
    BatchState &state = context.state;
    const bool isOwnerless =
            head.owner.value.empty()
            || isGone(state.directory->presence, head.owner, head.ownerIncarnation, context.now);
    if (!isOwnerless || state.draining) {
        state.takeovers.erase(head.id);
        return;
    }
    const auto [position, isNew] = state.takeovers.emplace(head.id, TakeoverWatch{context.now});
    TakeoverWatch &takeover = position->second;
    const std::size_t rank = takeoverRank(state.directory->presence, head.model, context.now);
    if (takeover.claiming || context.now - takeover.since < state.settings.takeoverStep * rank)
        return;
    takeover.claiming = true;
    claim(context, head);
}

bool isExpired(const BatchContext &context, const BatchHead &head)
{
    const auto &offset = context.state.directory->storeClockOffset;
    return offset
           && context.now.time_since_epoch() + *offset - head.submittedAt
                      > context.state.settings.keepResults;
}

void reconcileOwned(BatchContext &context, const BatchHead &head)
{
    OwnedBatch &batch = context.state.owned.at(head.id);
    if (head.version <= batch.head.version)
        return;
    context.state.dropped[head.id] = head.ended ? head.version : RowVersion{};
    dropBatch(context, head.id, head.ended ? OwnershipChange::Ended : OwnershipChange::Superseded);
}

// Releases a batch that was assigned to this draining node by a node that did not yet know of the
// drain.
void releaseAssigned(BatchContext &context, const BatchHead &head)
{
    TakeoverWatch &takeover = context.state.takeovers[head.id];
    if (std::exchange(takeover.claiming, true))
        return;
    BatchHead released = head;
    released.owner = {};
    context.actions.emplace_back(StoreHead{std::move(released), head.version, {}});
}

void reconcileHead(BatchContext &context, const BatchHead &head)
{
    BatchState &state = context.state;
    if (state.owned.count(head.id) != 0)
        return reconcileOwned(context, head);
    const bool isInFlight =
            state.loading.count(head.id) != 0 || state.submissions.count(head.id) != 0;
    if (isInFlight || isOutdated(context, head))
        return;
    if (isExpired(context, head)
        && takeoverRank(state.directory->presence, head.model, context.now) == 0) {
        state.dropped[head.id] = head.version;
        context.actions.emplace_back(RemoveBatch{head});
        return;
    }
    if (head.ended) {
        state.takeovers.erase(head.id);
    } else if (isOwnHead(context, head)) {
        if (state.draining)
            releaseAssigned(context, head);
        else
            loadBatch(context, head.id, true);
    } else {
        advanceTakeover(context, head);
    }
}

void onReleaseStored(BatchContext &context, const HeadStored &event)
{
    const auto position = context.state.owned.find(event.head.id);
    if (position == context.state.owned.end()) {
        context.state.takeovers.erase(event.head.id);
        return;
    }
    OwnedBatch &batch = position->second;
    if (event.outcome == StoreOutcome::Done || event.outcome == StoreOutcome::Conflict) {
        context.state.dropped[event.head.id] = std::max(event.version, batch.head.version);
        return dropBatch(context, event.head.id, OwnershipChange::HandedOver);
    }
    batch.releaseSent = false;
    batch.releaseRetryAt = context.now + context.state.settings.storeRetryDelay;
}

void onClaimStored(BatchContext &context, const HeadStored &event)
{
    context.state.takeovers.erase(event.head.id);
    // After an unknown outcome the directory shows whether this node has become the owner.
    if (event.outcome == StoreOutcome::Done)
        loadBatch(context, event.head.id, true);
}

} // namespace

void openBatch(BatchContext &context, const BatchHead &head, std::shared_ptr<const BatchOrder> spec,
               const StoredBatch *stored)
{
    OwnedBatch batch;
    batch.head = head;
    batch.order = std::move(spec);
    batch.items.resize(batch.order->items.size());
    batch.submittedAt = toLocalTime(context, head.submittedAt);
    batch.nextPartials = context.now + context.state.settings.partialPeriod;
    if (stored != nullptr)
        restoreProgress(batch, *stored);
    const OwnershipChange change = stored == nullptr || !hasStoredProgress(*stored)
                                           ? OwnershipChange::Opened
                                           : OwnershipChange::TakenOver;
    context.actions.emplace_back(OwnershipChanged{head.id, change, head.version,
                                                  static_cast<std::uint32_t>(batch.listed.size()),
                                                  head.total});
    context.state.owned.insert_or_assign(head.id, std::move(batch));
}

void dropBatch(BatchContext &context, const BatchId &id, OwnershipChange change)
{
    const auto entry = context.state.owned.extract(id);
    if (entry.empty())
        return;
    OwnedBatch &batch = entry.mapped();
    for (const ItemState &item : batch.items) {
        if (item.phase == ItemPhase::Running)
            cancelRun(context, item.run);
    }
    context.actions.emplace_back(OwnershipChanged{id, change, batch.head.version,
                                                  static_cast<std::uint32_t>(batch.listed.size()),
                                                  batch.head.total});
    for (const BatchWaiter &waiter : batch.waiters) {
        StoreReader reader;
        reader.batch = id;
        reader.after = waiter.after;
        reader.until = waiter.until;
        context.state.readers.emplace(waiter.reply, std::move(reader));
    }
}

void reviewOwnership(BatchContext &context)
{
    const DirectoryPointer &directory = context.state.directory;
    if (!directory || !directory->batches)
        return;
    for (const auto &[id, head] : *directory->batches)
        reconcileHead(context, head);
    const auto isRemoved = [&](const auto &entry) {
        return directory->batches->count(entry.first) == 0;
    };
    std::erase_if(context.state.takeovers, isRemoved);
}

void onHeadStored(BatchContext &context, const HeadStored &event)
{
    if (event.head.ended)
        onEndStored(context, event);
    else if (event.head.owner.value.empty())
        onReleaseStored(context, event);
    else
        onClaimStored(context, event);
}

void loadBatch(BatchContext &context, const BatchId &id, bool opensBatch)
{
    PendingLoad &load = context.state.loading[id];
    load.works = load.works || opensBatch;
    if (std::exchange(load.sent, true))
        return;
    context.actions.emplace_back(LoadBatch{id});
}

void onBatchLoaded(BatchContext &context, const BatchLoaded &event)
{
    BatchState &state = context.state;
    const auto position = state.loading.find(event.batch);
    if (position == state.loading.end())
        return;
    const bool opensBatch = position->second.works;
    resumeEnd(context, event);
    const auto readers = state.itemReaders.extract(event.batch);
    if (!readers.empty()) {
        for (const ItemReader &reader : readers.mapped()) {
            AnswerItemBody answer{reader.reply, event.batch, ReadVerdict::Unknown, {}};
            if (!event.answered)
                answer.verdict = ReadVerdict::StoreUnavailable;
            for (const BatchItem &item :
                 event.stored ? event.stored->order.items : std::vector<BatchItem>{}) {
                if (item.id != reader.item)
                    continue;
                answer.verdict = ReadVerdict::Found;
                answer.body = item.body;
            }
            context.actions.emplace_back(std::move(answer));
        }
    }
    if (opensBatch && !event.answered) {
        position->second.sent = false;
        position->second.retryAt = context.now + state.settings.storeRetryDelay;
        return;
    }
    state.loading.erase(position);
    if (!opensBatch || !event.stored || event.stored->head.ended
        || !isOwnHead(context, event.stored->head) || state.owned.count(event.batch) != 0)
        return;
    const StoredBatch &stored = *event.stored;
    openBatch(context, stored.head, std::make_shared<BatchOrder>(stored.order), &stored);
}

void advanceLoads(BatchContext &context)
{
    for (auto &[id, load] : context.state.loading) {
        if (!load.sent && load.retryAt <= context.now)
            loadBatch(context, id, load.works);
    }
}

void advanceReleases(BatchContext &context)
{
    if (!context.state.draining)
        return;
    for (auto &[id, batch] : context.state.owned) {
        if (batch.releaseSent || batch.commit || batch.releaseRetryAt > context.now)
            continue;
        batch.releaseSent = true;
        BatchHead head = batch.head;
        head.owner = {};
        context.actions.emplace_back(
                StoreHead{std::move(head), batch.head.version, collectPartials(batch, 1)});
    }
}

} // namespace geraniumpulley::core
