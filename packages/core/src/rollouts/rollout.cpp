#include <geraniumpulley/core/rollouts/rollout.hpp>

#include "rollout_context.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Minimum time that a request waits for the commit of a seal or an acknowledgement, even when the
// trainer polls without waiting.
constexpr Duration minCommitWait = std::chrono::seconds(2);

// Applies a trainer's request to its step.
struct RequestHandler
{
    RolloutContext &context;
    const StepRequested &event;
    StepState &step;

    void operator()(const OpenStep &request)
    {
        const char *field = differingField(this->step.spec, request.spec);
        if (field == nullptr)
            return this->reply(makeOpenAnswer(this->step));
        StepAnswer refusal{StepVerdict::Differs};
        refusal.detail = std::string(field)
                         + " differs from the first opening; repeat that one or use another step";
        this->reply(std::move(refusal));
    }

    // The answer to an open request contains no samples, even when the batch is ready.
    static StepAnswer makeOpenAnswer(const StepState &step)
    {
        StepAnswer answer = makeStepAnswer(step);
        answer.samples.clear();
        if (answer.verdict == StepVerdict::Ready)
            answer.verdict = StepVerdict::Running;
        return answer;
    }

    void operator()(const FetchStep &request)
    {
        StepState &step = this->step;
        step.trainerVersion = std::max(step.trainerVersion, request.trainerVersion);
        const std::uint64_t bound = stalenessBoundOf(this->context, step);
        if (discardStaleSamples(step, bound, this->context.now) > 0)
            cancelUnneededGenerations(this->context, step.spec.id);
        Duration wait = request.maxWait;
        if (isComplete(step))
            wait = std::max(wait, minCommitWait);
        step.fetchWaiters.push_back(
                {this->event.reply, this->event.forwarded, this->context.now + wait});
        advanceLog(this->context, step);
        answerWaiters(this->context, step);
        startRequests(this->context);
    }

    void operator()(const AcknowledgeStep &request)
    {
        StepState &step = this->step;
        const bool isSealed = step.phase >= StepPhase::Sealed;
        if (!isSealed || request.digest != step.digest) {
            StepAnswer refusal{isSealed ? StepVerdict::WrongDigest : StepVerdict::NotReady};
            refusal.detail = isSealed ? "digest must be that of the batch; fetch it again"
                                      : "fetch the batch before acknowledging it";
            return this->reply(std::move(refusal));
        }
        if (step.phase == StepPhase::Sealed)
            step.phase = StepPhase::Acknowledging;
        step.acknowledgeWaiters.push_back(
                {this->event.reply, this->event.forwarded, this->context.now + minCommitWait});
        advanceLog(this->context, step);
        answerWaiters(this->context, step);
    }

    void reply(StepAnswer content)
    {
        answer(this->context, this->event.reply, this->event.forwarded, std::move(content));
    }
};

// Forwards the request to the trainer's owner, unless the owner is this node or unknown, or the
// request was already forwarded. Returns whether the request was forwarded.
bool forwardToOwner(RolloutContext &context, const StepRequested &event)
{
    RolloutState &state = context.state;
    const TrainerName &trainer = trainerOf(event.request);
    const Node *owner = ownerOfTrainer(context, trainer);
    if (event.forwarded || owner == nullptr || owner->id == state.self)
        return false;
    const OperationId operation = state.nextOperation;
    state.nextOperation = next(operation);
    state.forwardedReplies.emplace(operation, event.reply);
    context.actions.push_back(ForwardStep{operation, *owner, event.request});
    return true;
}

void onRequested(RolloutContext &context, const StepRequested &event)
{
    if (!isReady(context))
        return answer(context, event.reply, event.forwarded, StepAnswer{StepVerdict::NotReady});
    const TrainerName &trainer = trainerOf(event.request);
    if (findTrainer(context, trainer) == nullptr)
        return answer(context, event.reply, event.forwarded,
                      StepAnswer{StepVerdict::UnknownTrainer});
    if (forwardToOwner(context, event))
        return;
    if (!isOwnerOf(context, trainer)) {
        StepAnswer refusal{StepVerdict::OwnerLost};
        refusal.detail = "no node owns the trainer's steps at the moment; ask again";
        return answer(context, event.reply, event.forwarded, std::move(refusal));
    }
    const StepId &id = stepOf(event.request);
    if (context.state.steps.count(id) != 0)
        return serveRequest(context, event);
    loadStep(context, id);
    context.state.requestsAwaitingLog.at(id).push_back(event);
}

void onForwardedStepCompleted(RolloutContext &context, const ForwardedStepCompleted &event)
{
    const auto entry = context.state.forwardedReplies.extract(event.operation);
    if (!entry.empty())
        answer(context, entry.mapped(), false, event.answer);
}

void onTick(RolloutContext &context)
{
    retryLoads(context);
    // Advancing a log may drop a step, so the loop runs over a copy of the identifiers.
    std::vector<StepId> ids;
    for (const auto &[id, step] : context.state.steps)
        ids.push_back(id);
    for (const StepId &id : ids) {
        const auto position = context.state.steps.find(id);
        if (position == context.state.steps.end())
            continue;
        advanceLog(context, position->second);
        answerWaiters(context, position->second);
    }
    startRequests(context);
}

struct Handler
{
    RolloutContext &context;

    void operator()(const StepRequested &event) { onRequested(this->context, event); }
    void operator()(const ForwardedStepCompleted &event)
    {
        onForwardedStepCompleted(this->context, event);
    }
    void operator()(const SampleProgressed &event) { onProgressed(this->context, event); }
    void operator()(const SampleGenerated &event) { onGenerated(this->context, event); }
    void operator()(const GenerationFailed &event) { onGenerationFailed(this->context, event); }
    void operator()(const SampleScored &event) { onScored(this->context, event); }
    void operator()(const ScoringFailed &event) { onScoringFailed(this->context, event); }
    void operator()(const StepsListed &event) { onStepsListed(this->context, event); }
    void operator()(const StepLoaded &event) { onStepLoaded(this->context, event); }
    void operator()(const RecordAppended &event) { onRecordAppended(this->context, event); }
    void operator()(const RecordRead &event) { onRecordRead(this->context, event); }

    void operator()(const RolloutConfigurationChanged &event)
    {
        this->context.state.configuration = event.configuration;
        refreshOwnership(this->context);
    }

    void operator()(const RolloutViewChanged &event)
    {
        this->context.state.view = event.view;
        refreshOwnership(this->context);
    }

    void operator()(const RolloutLeasesChanged &event)
    {
        this->context.state.leases = event.leases;
        refreshOwnership(this->context);
    }

    void operator()(const RolloutEnginesChanged &event)
    {
        this->context.state.engines = event.engines;
        startRequests(this->context);
    }

    void operator()(const RolloutTick &) { onTick(this->context); }
};

} // namespace

bool isReady(const RolloutContext &context)
{
    return context.state.configuration && context.state.view;
}

const Trainer *findTrainer(const RolloutContext &context, const TrainerName &name)
{
    const auto &trainers = context.state.configuration->trainers;
    const auto found = std::find_if(trainers.begin(), trainers.end(),
                                    [&](const Trainer &trainer) { return trainer.name == name; });
    return found == trainers.end() ? nullptr : &*found;
}

std::uint64_t stalenessBoundOf(const RolloutContext &context, const StepState &step)
{
    const Trainer *trainer = findTrainer(context, step.spec.id.trainer);
    return step.spec.stalenessBound.value_or(trainer == nullptr ? 0 : trainer->stalenessBound);
}

const Node *ownerOfTrainer(const RolloutContext &context, const TrainerName &trainer)
{
    const RolloutState &state = context.state;
    if (!state.leases)
        return ownerOf(trainer.value, state.view->nodes);
    const auto holder = holderOf(*state.leases, shardOf(ShardKind::Steps, trainer.value));
    const auto found = std::find_if(state.view->nodes.begin(), state.view->nodes.end(),
                                    [&](const Node &node) { return holder && node.id == *holder; });
    return found == state.view->nodes.end() ? nullptr : &*found;
}

void answerWaiters(RolloutContext &context, StepState &step)
{
    if (step.fetchWaiters.empty() && step.acknowledgeWaiters.empty())
        return;
    const bool isSealed = step.phase >= StepPhase::Sealed;
    const StepAnswer content = makeStepAnswer(step);
    std::erase_if(step.fetchWaiters, [&](const StepWaiter &waiter) {
        if (!isSealed && waiter.deadline > context.now)
            return false;
        StepAnswer result = content;
        const std::uint64_t bound = stalenessBoundOf(context, step);
        const bool isBatchStale =
                std::any_of(result.samples.begin(), result.samples.end(), [&](const auto &entry) {
                    return isStale(entry.second, step.trainerVersion, bound);
                });
        // A sealed batch is immutable, so a stale one is refused instead of regenerated.
        if (isBatchStale) {
            result = StepAnswer{StepVerdict::Stale};
            result.detail = "the batch is older than the bound at this trainer_version; "
                            "open another step";
        }
        answer(context, waiter.reply, waiter.forwarded, std::move(result));
        return true;
    });
    std::erase_if(step.acknowledgeWaiters, [&](const StepWaiter &waiter) {
        const bool isDone = step.phase == StepPhase::Acknowledged;
        if (!isDone && waiter.deadline > context.now)
            return false;
        StepAnswer result = isDone ? content : StepAnswer{StepVerdict::NotReady};
        if (!isDone)
            result.detail = "the store did not answer; acknowledge again";
        answer(context, waiter.reply, waiter.forwarded, std::move(result));
        return true;
    });
}

void serveRequest(RolloutContext &context, const StepRequested &event)
{
    StepState &step = context.state.steps.at(stepOf(event.request));
    std::visit(RequestHandler{context, event, step}, event.request);
    const auto position = context.state.steps.find(stepOf(event.request));
    if (position != context.state.steps.end())
        advanceLog(context, position->second);
    startRequests(context);
}

void answer(RolloutContext &context, ReplyToken reply, bool forwarded, StepAnswer answer)
{
    context.actions.push_back(AnswerStep{reply, std::move(answer), forwarded});
}

RolloutState makeRolloutState(NodeId self, std::string writer)
{
    RolloutState state;
    state.self = std::move(self);
    state.writerId = std::move(writer);
    return state;
}

std::vector<RolloutAction> step(RolloutState &state, const RolloutEvent &event, Time now)
{
    RolloutContext context{state, now, {}};
    // A node that was paused learns that it has lost its leases before it acts on the event.
    refreshOwnership(context);
    std::visit(Handler{context}, event);
    return std::move(context.actions);
}

} // namespace geraniumpulley::core
