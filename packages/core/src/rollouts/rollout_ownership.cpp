#include "rollout_context.hpp"

#include <utility>

namespace geraniumpulley::core {
namespace {

// Delay before a failed read of a step's log is retried.
constexpr Duration loadRetryDelay = std::chrono::seconds(1);

// Whether this node owns a trainer's steps, and under which fence. Before the first lease table
// arrives, rendezvous hashing decides alone and appends carry no fence. A lease that expired
// without a new holder still counts as this node's: all its writes are conditional on the fence in
// the store, and while the store is unavailable no other node can acquire the lease.
struct Ownership
{
    bool isOwner = false;
    std::optional<FencingToken> fence;
};

Ownership ownershipOf(const RolloutContext &context, const TrainerName &trainer)
{
    const RolloutState &state = context.state;
    if (state.leases) {
        const Shard shard = shardOf(ShardKind::Steps, trainer.value);
        const auto position = state.leases->leases.find(shard);
        if (position == state.leases->leases.end() || position->second.holder != state.self)
            return {};
        return {true, position->second.fence};
    }
    const Node *owner = ownerOf(trainer.value, state.view->nodes);
    return {owner != nullptr && owner->id == state.self, std::nullopt};
}

void dropTrainer(RolloutContext &context, const TrainerName &trainer)
{
    std::vector<StepId> dropped;
    for (const auto &[id, step] : context.state.steps) {
        if (id.trainer == trainer)
            dropped.push_back(id);
    }
    for (const StepId &id : dropped)
        dropStep(context, id);
    context.state.ownedTrainers.erase(trainer);
}

void listSteps(RolloutContext &context, const TrainerName &trainer, OwnedTrainer &owned)
{
    owned.listInFlight = true;
    context.actions.push_back(ListSteps{trainer});
}

// Serves the requests that waited for the log of a step.
void serveRequestsAwaitingLog(RolloutContext &context, const StepLoaded &event)
{
    const auto entry = context.state.requestsAwaitingLog.extract(event.id);
    if (entry.empty())
        return;
    for (const StepRequested &request : entry.mapped()) {
        const bool isOpening = std::holds_alternative<OpenStep>(request.request);
        if (context.state.steps.count(event.id) != 0) {
            serveRequest(context, request);
        } else if (!isOwnerOf(context, event.id.trainer)) {
            answer(context, request.reply, request.forwarded, StepAnswer{StepVerdict::OwnerLost});
        } else if (!isOpening) {
            const auto verdict = event.succeeded ? StepVerdict::UnknownStep : StepVerdict::NotReady;
            answer(context, request.reply, request.forwarded, StepAnswer{verdict});
        } else {
            StepState step = makeStepState(std::get<OpenStep>(request.request).spec, context.now);
            step.logLoaded = event.succeeded;
            step.reloadAt = context.now + loadRetryDelay;
            context.state.steps.emplace(event.id, std::move(step));
            serveRequest(context, request);
        }
    }
}

} // namespace

void refreshOwnership(RolloutContext &context)
{
    if (!isReady(context))
        return;
    for (const Trainer &trainer : context.state.configuration->trainers) {
        const Ownership ownership = ownershipOf(context, trainer.name);
        const auto position = context.state.ownedTrainers.find(trainer.name);
        const bool wasOwner = position != context.state.ownedTrainers.end();
        const bool isSame = wasOwner && position->second.fence == ownership.fence;
        if (wasOwner && (!ownership.isOwner || !isSame))
            dropTrainer(context, trainer.name);
        if (!ownership.isOwner || isSame)
            continue;
        OwnedTrainer &owned = context.state.ownedTrainers[trainer.name];
        owned.fence = ownership.fence;
        listSteps(context, trainer.name, owned);
    }
}

bool isOwnerOf(const RolloutContext &context, const TrainerName &trainer)
{
    const auto position = context.state.ownedTrainers.find(trainer);
    return position != context.state.ownedTrainers.end() && !position->second.leaseLost;
}

void loadStep(RolloutContext &context, const StepId &id)
{
    const bool isNew = context.state.requestsAwaitingLog.try_emplace(id).second;
    if (isNew)
        context.actions.push_back(LoadStep{id});
}

void dropStep(RolloutContext &context, const StepId &id)
{
    const auto entry = context.state.steps.extract(id);
    if (entry.empty())
        return;
    const StepState &step = entry.mapped();
    cancelUnneededGenerations(context, id);
    for (const auto *waiters : {&step.fetchWaiters, &step.acknowledgeWaiters}) {
        for (const StepWaiter &waiter : *waiters)
            answer(context, waiter.reply, waiter.forwarded, StepAnswer{StepVerdict::OwnerLost});
    }
}

void markLeaseLost(RolloutContext &context, const TrainerName &trainer)
{
    const auto fence = context.state.ownedTrainers.at(trainer).fence;
    dropTrainer(context, trainer);
    OwnedTrainer &owned = context.state.ownedTrainers[trainer];
    owned.fence = fence;
    owned.leaseLost = true;
}

void onStepsListed(RolloutContext &context, const StepsListed &event)
{
    const auto position = context.state.ownedTrainers.find(event.trainer);
    if (position == context.state.ownedTrainers.end())
        return;
    OwnedTrainer &owned = position->second;
    owned.listInFlight = false;
    if (!event.succeeded || owned.stepsListed || owned.leaseLost)
        return;
    owned.stepsListed = true;
    owned.openSteps.insert(event.steps.begin(), event.steps.end());
    for (const std::uint64_t number : event.steps) {
        const StepId id{event.trainer, number};
        if (context.state.steps.count(id) == 0)
            loadStep(context, id);
    }
}

void onStepLoaded(RolloutContext &context, const StepLoaded &event)
{
    const bool isOwned = isOwnerOf(context, event.id.trainer);
    const auto position = context.state.steps.find(event.id);
    if (isOwned && event.succeeded && position == context.state.steps.end()) {
        if (auto step = replayLog(event.records, context.now))
            context.state.steps.emplace(event.id, std::move(*step));
    } else if (isOwned && position != context.state.steps.end() && !position->second.logLoaded) {
        StepState &step = position->second;
        step.reloadAt = context.now + loadRetryDelay;
        const auto *opened = event.records.empty()
                                     ? nullptr
                                     : std::get_if<StepOpened>(&event.records.front().content);
        // The log holds another specification of this step, which was committed first and takes
        // precedence.
        if (opened != nullptr && differingField(opened->spec, step.spec) != nullptr) {
            dropStep(context, event.id);
            context.state.steps.emplace(event.id, *replayLog(event.records, context.now));
        } else if (event.succeeded) {
            mergeLog(step, event.records, context.now);
        }
    }
    serveRequestsAwaitingLog(context, event);
    const auto loaded = context.state.steps.find(event.id);
    if (loaded != context.state.steps.end())
        advanceLog(context, loaded->second);
    startRequests(context);
}

void retryLoads(RolloutContext &context)
{
    for (auto &[trainer, owned] : context.state.ownedTrainers) {
        if (owned.leaseLost)
            continue;
        if (!owned.stepsListed && !owned.listInFlight)
            listSteps(context, trainer, owned);
        if (!owned.stepsListed)
            continue;
        for (const std::uint64_t number : owned.openSteps) {
            const StepId id{trainer, number};
            if (context.state.steps.count(id) == 0)
                loadStep(context, id);
        }
    }
    for (auto &[id, step] : context.state.steps) {
        if (!step.logLoaded && step.reloadAt <= context.now)
            loadStep(context, id);
    }
}

} // namespace geraniumpulley::core
