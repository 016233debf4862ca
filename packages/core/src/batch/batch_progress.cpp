#include <geraniumpulley/core/batch/batch_progress.hpp>

#include "batch_context.hpp"

#include <algorithm>
#include <set>

namespace geraniumpulley::core {
namespace {

WaitReason waitReasonOf(ItemPhase phase)
{
    switch (phase) {
    case ItemPhase::Waiting:
        return WaitReason::Engine;
    case ItemPhase::Running:
        return WaitReason::Text;
    case ItemPhase::Unscored:
    case ItemPhase::Scoring:
        return WaitReason::Score;
    case ItemPhase::Finished:
        break;
    }
    return WaitReason::Store;
}

std::string dataCentreOf(const BatchState &state, const TargetId &target)
{
    if (!state.directory || !state.directory->targets)
        return {};
    const auto position = state.directory->targets->find(target);
    return position == state.directory->targets->end() ? std::string()
                                                       : position->second.target.dataCentre;
}

Duration waitTimeOf(const BatchState &state, const OwnedBatch &batch, const ItemState &item,
                    Time now)
{
    if (item.phase == ItemPhase::Waiting)
        return now - std::max(item.waitingSince, batch.submittedAt);
    const auto run = state.runs.find(item.run);
    if (item.phase != ItemPhase::Running || run == state.runs.end())
        return {};
    return now - run->second.lastEventAt;
}

MissingItem describe(const BatchState &state, const OwnedBatch &batch, std::size_t index, Time now)
{
    const BatchItem &spec = batch.spec->items[index];
    const ItemState &item = batch.items[index];
    MissingItem missing;
    missing.id = spec.id;
    missing.group = spec.group;
    missing.waitsFor = waitReasonOf(item.phase);
    missing.target = item.lastTarget;
    missing.dataCentre = dataCentreOf(state, item.lastTarget);
    missing.cause = item.nextRunCause;
    missing.events = item.lastEventId;
    missing.waitTime = waitTimeOf(state, batch, item, now);
    return missing;
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
            progress.missingItems.push_back(describe(state, batch, i, now));
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
