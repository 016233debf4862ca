#include <geraniumpulley/core/batch/batch_progress.hpp>

#include "batch_context.hpp"

#include <algorithm>
#include <set>

namespace geraniumpulley::core {
namespace {

HeldFor heldForOf(ItemPhase phase)
{
    switch (phase) {
    case ItemPhase::Waiting:
        return HeldFor::Engine;
    case ItemPhase::Running:
        return HeldFor::Text;
    case ItemPhase::Unscored:
    case ItemPhase::Scoring:
        return HeldFor::Score;
    case ItemPhase::Finished:
        break;
    }
    return HeldFor::Store;
}

std::string dataCentreOf(const BatchState &state, const TargetId &target)
{
    if (!state.directory || !state.directory->targets)
        return {};
    const auto position = state.directory->targets->find(target);
    return position == state.directory->targets->end() ? std::string()
                                                       : position->second.target.dataCentre;
}

Duration heldSince(const BatchState &state, const OwnedBatch &batch, const ItemState &item,
                   Time now)
{
    if (item.phase == ItemPhase::Waiting)
        return now - std::max(item.waitingSince, batch.submittedAt);
    const auto run = state.runs.find(item.run);
    if (item.phase != ItemPhase::Running || run == state.runs.end())
        return {};
    return now - run->second.lastEventAt;
}

HeldItem describe(const BatchState &state, const OwnedBatch &batch, std::size_t index, Time now)
{
    const BatchItem &spec = batch.spec->items[index];
    const ItemState &item = batch.items[index];
    HeldItem held;
    held.id = spec.id;
    held.group = spec.group;
    held.heldFor = heldForOf(item.phase);
    held.target = item.lastTarget;
    held.dataCentre = dataCentreOf(state, item.lastTarget);
    held.cause = item.nextRunCause;
    held.events = item.lastEventId;
    held.heldSince = heldSince(state, batch, item, now);
    return held;
}

// The owner of a batch that this node does not own, if it is known and not this node.
const Node *otherOwnerOf(const BatchState &state, const BatchHead &head)
{
    const auto &nodes = state.directory->presence.nodes;
    const auto owner = nodes.find(head.owner);
    if (owner == nodes.end() || head.owner == state.self.id)
        return nullptr;
    return &owner->second.heartbeat.node;
}

} // namespace

BatchProgress progressOf(const BatchState &state, const OwnedBatch &batch, Time now)
{
    BatchProgress progress;
    progress.itemCount = static_cast<std::uint32_t>(batch.items.size());
    progress.listedCount = static_cast<std::uint32_t>(batch.committedResults.size());
    std::set<ItemId> listed;
    for (const ItemResult &result : batch.committedResults)
        listed.insert(result.id);
    for (std::size_t i = 0; i < batch.items.size(); ++i) {
        if (listed.count(batch.spec->items[i].id) == 0)
            progress.heldItems.push_back(describe(state, batch, i, now));
    }
    return progress;
}

void onBatchProgressRequested(BatchContext &context, const BatchProgressRequested &event)
{
    const BatchState &state = context.state;
    AnswerBatchProgress answer{event.reply, event.batch, ReadVerdict::StoreUnavailable, {}};
    const auto owned = state.ownedBatches.find(event.batch);
    if (owned != state.ownedBatches.end()) {
        answer.verdict = ReadVerdict::Found;
        answer.progress = progressOf(state, owned->second, context.now);
    } else if (state.directory && state.directory->batches) {
        const auto head = state.directory->batches->find(event.batch);
        if (head == state.directory->batches->end()) {
            answer.verdict = ReadVerdict::Unknown;
        } else if (head->second.ended) {
            answer.verdict = ReadVerdict::Found;
            answer.progress.itemCount = head->second.itemCount;
        } else if (const Node *owner = otherOwnerOf(state, head->second);
                   owner != nullptr && !event.isForwarded) {
            context.actions.emplace_back(
                    ForwardProgressRequest{event.reply, event.batch, owner->address});
            return;
        }
    }
    answer.isForwarded = event.isForwarded;
    context.actions.emplace_back(std::move(answer));
}

} // namespace geraniumpulley::core
