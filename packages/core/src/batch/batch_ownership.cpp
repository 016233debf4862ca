#include "batch_context.hpp"

#include <algorithm>
#include <set>
#include <string>
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
    const auto position = context.state.closedBatches.find(head.id);
    return position != context.state.closedBatches.end()
           && head.version <= position->second.version;
}

std::map<ItemId, std::uint32_t> indexItems(const BatchSpec &spec)
{
    std::map<ItemId, std::uint32_t> indexes;
    for (std::uint32_t i = 0; i < spec.items.size(); ++i)
        indexes.emplace(spec.items[i].id, i);
    return indexes;
}

void restoreProgress(OwnedBatch &batch, const StoredBatch &stored, Time now)
{
    const auto indexes = indexItems(*batch.spec);
    for (const ItemResult &result : stored.results) {
        const auto index = indexes.find(result.id);
        if (index != indexes.end())
            batch.items[index->second].phase = ItemPhase::Finished;
    }
    batch.committedResults = stored.results;
    for (const PartialText &partial : stored.partials) {
        if (partial.itemIndex >= batch.items.size())
            continue;
        ItemState &item = batch.items[partial.itemIndex];
        if (item.phase == ItemPhase::Finished)
            continue;
        item.text = partial.text;
        item.lastEventId = partial.lastEventId;
        item.lastStoredEventId = partial.lastEventId;
        item.versions = partial.versions;
        item.software = partial.software;
        item.waitingSince = now;
        item.nextRunCause = RunCause::TakenOver;
    }
}

// Returns whether another owner has stored results or partial texts of a batch.
bool hasStoredProgress(const StoredBatch &stored)
{
    return !stored.results.empty() || !stored.partials.empty();
}

// Reserves room for a head, which is stored in two rows.
void reserveHead(TransactionBudget &budget, const BatchHead &head)
{
    constexpr std::size_t headRows = 2;
    constexpr std::size_t fieldBytes = 128;
    const std::size_t nameBytes = fieldBytes + head.id.value.size();
    const std::size_t valueBytes = fieldBytes + head.owner.value.size() + head.model.size();
    for (std::size_t row = 0; row < headRows; ++row)
        static_cast<void>(reserveValue(budget, valueBytes, nameBytes));
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
            || isDead(state.directory->presence, head.owner, head.ownerIncarnation, context.now);
    if (!isOwnerless || releasesBatches(state, context.now)) {
        state.pendingTakeovers.erase(head.id);
        return;
    }
    const auto [position, isNew] =
            state.pendingTakeovers.emplace(head.id, PendingTakeover{context.now});
    PendingTakeover &takeover = position->second;
    const std::size_t rank = takeoverRank(state.directory->presence, head.model, context.now);
    if (takeover.writeInFlight
        || context.now - takeover.ownerlessSince < state.settings.takeoverDelayPerRank * rank)
        return;
    takeover.writeInFlight = true;
    claim(context, head);
}

bool isExpired(const BatchContext &context, const BatchHead &head)
{
    const auto &offset = context.state.directory->storeClockOffset;
    return offset
           && context.now.time_since_epoch() + *offset - head.submittedAt
                      > context.state.settings.resultRetention;
}

void reconcileOwned(BatchContext &context, const BatchHead &head)
{
    OwnedBatch &batch = context.state.ownedBatches.at(head.id);
    if (head.version <= batch.head.version)
        return;
    noteClosed(context, head.id, head.ended ? head.version : RowVersion{});
    closeBatch(context, head.id, head.ended ? OwnershipChange::Ended : OwnershipChange::Superseded);
}

// Releases a batch that was assigned to this node by a node that did not yet know that this one
// drains or is cut off.
void releaseAssigned(BatchContext &context, const BatchHead &head)
{
    PendingTakeover &takeover = context.state.pendingTakeovers[head.id];
    if (std::exchange(takeover.writeInFlight, true))
        return;
    BatchHead released = head;
    released.owner = {};
    context.actions.emplace_back(StoreHead{std::move(released), head.version, {}});
}

void reconcileHead(BatchContext &context, const BatchHead &head)
{
    BatchState &state = context.state;
    if (state.ownedBatches.count(head.id) != 0)
        return reconcileOwned(context, head);
    const bool isInFlight =
            state.pendingLoads.count(head.id) != 0 || state.pendingSubmissions.count(head.id) != 0;
    if (isInFlight || isOutdated(context, head))
        return;
    if (isExpired(context, head)
        && takeoverRank(state.directory->presence, head.model, context.now) == 0) {
        noteClosed(context, head.id, head.version);
        context.actions.emplace_back(RemoveBatch{head});
        return;
    }
    if (head.ended) {
        state.pendingTakeovers.erase(head.id);
    } else if (isOwnHead(context, head)) {
        if (releasesBatches(state, context.now))
            releaseAssigned(context, head);
        else
            loadBatch(context, head.id, true);
    } else {
        advanceTakeover(context, head);
    }
}

// Trainers name the models, so that there may be any number of them.
void removeUnusedEngineLists(BatchContext &context)
{
    std::set<std::string> models;
    for (const auto &[id, batch] : context.state.ownedBatches)
        models.insert(batch.head.model);
    std::erase_if(context.state.engineLists,
                  [&](const auto &entry) { return models.count(entry.first.second) == 0; });
}

void onReleaseStored(BatchContext &context, const HeadStored &event)
{
    const auto position = context.state.ownedBatches.find(event.head.id);
    if (position == context.state.ownedBatches.end()) {
        context.state.pendingTakeovers.erase(event.head.id);
        return;
    }
    OwnedBatch &batch = position->second;
    if (event.outcome == StoreOutcome::Committed || event.outcome == StoreOutcome::Conflict) {
        noteClosed(context, event.head.id, std::max(event.version, batch.head.version));
        return closeBatch(context, event.head.id, OwnershipChange::HandedOver);
    }
    batch.releaseInFlight = false;
    batch.releaseRetryAt = context.now + context.state.settings.storeRetryDelay;
    // The texts that were to be stored with the head are given up.
    if (event.outcome == StoreOutcome::Rejected)
        batch.releasedItems = batch.head.itemCount;
}

// Stores the texts in as many transactions as they need, the last ones together with the head, so
// that the next owner goes on behind them. Texts grow meanwhile; each is stored once.
void release(BatchContext &context, OwnedBatch &batch)
{
    const auto itemCount = static_cast<std::uint32_t>(batch.items.size());
    while (true) {
        TransactionBudget budget = ownerBudget(batch);
        reserveHead(budget, batch.head);
        PartialSelection selection =
                selectPartials(batch, 1, batch.releasedItems, itemCount, budget);
        batch.releasedItems = selection.endItem;
        if (selection.endItem == itemCount) {
            batch.releaseInFlight = true;
            BatchHead head = batch.head;
            head.owner = {};
            context.actions.emplace_back(
                    StoreHead{std::move(head), batch.head.version, std::move(selection.partials)});
            return;
        }
        if (!selection.partials.empty())
            return commitPartials(context, batch, std::move(selection.partials));
        // A text that not even an empty transaction has room for is generated again.
        ++batch.releasedItems;
    }
}

void onClaimStored(BatchContext &context, const HeadStored &event)
{
    context.state.pendingTakeovers.erase(event.head.id);
    // After an unknown outcome the directory shows whether this node has become the owner.
    if (event.outcome == StoreOutcome::Committed)
        loadBatch(context, event.head.id, true);
}

} // namespace

bool releasesBatches(const BatchState &state, Time now)
{
    return state.draining || (state.directory && isCutOff(*state.directory, now));
}

void openBatch(BatchContext &context, const BatchHead &head, std::shared_ptr<const BatchSpec> spec,
               const StoredBatch *stored)
{
    OwnedBatch batch;
    batch.head = head;
    batch.spec = std::move(spec);
    batch.items.resize(batch.spec->items.size());
    batch.submittedAt = toLocalTime(context, head.submittedAt);
    batch.nextPartialsAt = context.now + context.state.settings.partialPeriod;
    if (stored != nullptr)
        restoreProgress(batch, *stored, context.now);
    const OwnershipChange change = stored == nullptr || !hasStoredProgress(*stored)
                                           ? OwnershipChange::Opened
                                           : OwnershipChange::TakenOver;
    context.actions.emplace_back(OwnershipChanged{
            head.id, change, head.version,
            static_cast<std::uint32_t>(batch.committedResults.size()), head.itemCount});
    context.state.ownedBatches.insert_or_assign(head.id, std::move(batch));
}

void closeBatch(BatchContext &context, const BatchId &id, OwnershipChange change)
{
    const auto entry = context.state.ownedBatches.extract(id);
    if (entry.empty())
        return;
    OwnedBatch &batch = entry.mapped();
    for (const ItemState &item : batch.items) {
        if (item.phase == ItemPhase::Running)
            cancelRun(context, item.run);
    }
    context.actions.emplace_back(OwnershipChanged{
            id, change, batch.head.version,
            static_cast<std::uint32_t>(batch.committedResults.size()), batch.head.itemCount});
    for (const ResultWaiter &waiter : batch.waiters) {
        StoreReader reader;
        reader.batch = id;
        reader.firstPosition = waiter.firstPosition;
        reader.deadline = waiter.deadline;
        context.state.storeReaders.emplace(waiter.reply, std::move(reader));
    }
}

void noteClosed(BatchContext &context, const BatchId &id, RowVersion version)
{
    context.state.closedBatches[id] = {version, context.now};
}

void reconcileOwnership(BatchContext &context)
{
    const DirectoryPointer &directory = context.state.directory;
    if (!directory || !directory->batches)
        return;
    for (const auto &[id, head] : *directory->batches)
        reconcileHead(context, head);
    const auto isRemoved = [&](const auto &entry) {
        return directory->batches->count(entry.first) == 0;
    };
    std::erase_if(context.state.pendingTakeovers, isRemoved);
    std::erase_if(context.state.closedBatches, [&](const auto &entry) {
        return isRemoved(entry)
               && entry.second.closedAt + context.state.settings.closedRetention <= context.now;
    });
    removeUnusedEngineLists(context);
}

void onHeadStored(BatchContext &context, const HeadStored &event)
{
    if (event.head.ended)
        onBatchEndStored(context, event);
    else if (event.head.owner.value.empty())
        onReleaseStored(context, event);
    else
        onClaimStored(context, event);
}

void loadBatch(BatchContext &context, const BatchId &id, bool opensBatch)
{
    PendingLoad &load = context.state.pendingLoads[id];
    load.opensBatch = load.opensBatch || opensBatch;
    if (std::exchange(load.inFlight, true))
        return;
    context.actions.emplace_back(LoadBatch{id});
}

void onBatchLoaded(BatchContext &context, const BatchLoaded &event)
{
    BatchState &state = context.state;
    const auto position = state.pendingLoads.find(event.batch);
    if (position == state.pendingLoads.end())
        return;
    const bool opensBatch = position->second.opensBatch;
    resumeBatchEnd(context, event);
    const auto readers = state.itemBodyReaders.extract(event.batch);
    if (!readers.empty()) {
        for (const ItemBodyReader &reader : readers.mapped()) {
            AnswerItemBody answer{reader.reply, event.batch, ReadVerdict::Unknown, {}};
            if (!event.succeeded)
                answer.verdict = ReadVerdict::StoreUnavailable;
            for (const BatchItem &item :
                 event.stored ? event.stored->spec->items : std::vector<BatchItem>{}) {
                if (item.id != reader.item)
                    continue;
                answer.verdict = ReadVerdict::Found;
                answer.body = item.body;
            }
            context.actions.emplace_back(std::move(answer));
        }
    }
    if (opensBatch && !event.succeeded) {
        position->second.inFlight = false;
        position->second.retryAt = context.now + state.settings.storeRetryDelay;
        return;
    }
    state.pendingLoads.erase(position);
    if (!opensBatch || !event.stored || event.stored->head.ended
        || !isOwnHead(context, event.stored->head) || state.ownedBatches.count(event.batch) != 0)
        return;
    const StoredBatch &stored = *event.stored;
    openBatch(context, stored.head, stored.spec, &stored);
}

void advanceLoads(BatchContext &context)
{
    for (auto &[id, load] : context.state.pendingLoads) {
        if (!load.inFlight && load.retryAt <= context.now)
            loadBatch(context, id, load.opensBatch);
    }
}

void advanceReleases(BatchContext &context)
{
    const bool isReleasing = releasesBatches(context.state, context.now);
    for (auto &[id, batch] : context.state.ownedBatches) {
        if (!isReleasing)
            batch.releasedItems = 0;
        else if (!batch.releaseInFlight && !batch.commit && batch.releaseRetryAt <= context.now)
            release(context, batch);
    }
}

} // namespace geraniumpulley::core
