#pragma once

#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <vector>

namespace geraniumpulley::core {

/// One call of `step`: the state that it changes and the actions that it collects.
struct RolloutContext
{
    RolloutState &state;
    Time now;
    std::vector<RolloutAction> actions;
};

const Trainer *findTrainer(const RolloutContext &context, const TrainerName &name);
std::uint64_t stalenessBoundOf(const RolloutContext &context, const StepState &step);
/// \return the node that owns the trainer's steps as far as this one knows, or null.
const Node *ownerOfTrainer(const RolloutContext &context, const TrainerName &trainer);
bool isReady(const RolloutContext &context);

// rollout_ownership.cpp

/// Takes up the trainers that this node owns from now on and drops those that it lost.
void refreshOwnership(RolloutContext &context);
bool isOwnerOf(const RolloutContext &context, const TrainerName &trainer);
/// Stops all work on the trainer's steps: the store has refused this node's fencing number. The
/// next lease table with another number ends this.
void loseLease(RolloutContext &context, const TrainerName &trainer);
/// Reads a step's log, unless that is under way.
void loadStep(RolloutContext &context, const StepId &id);
/// Forgets a step that another node owns now; its waiters are told.
void dropStep(RolloutContext &context, const StepId &id);
void onStepsListed(RolloutContext &context, const StepsListed &event);
void onStepLoaded(RolloutContext &context, const StepLoaded &event);
/// Tries again what the store did not answer.
void retryLoads(RolloutContext &context);

// rollout_log.cpp

/// Appends the step's next record, if there is one and nothing is on its way.
void advanceLog(RolloutContext &context, StepState &step);
void onRecordAppended(RolloutContext &context, const RecordAppended &event);
void onRecordRead(RolloutContext &context, const RecordRead &event);

// rollout_generation.cpp

/// Starts what has a place: samples by the trainers' fair shares, then scores.
void startRequests(RolloutContext &context);
void onProgressed(RolloutContext &context, const SampleProgressed &event);
void onGenerated(RolloutContext &context, const SampleGenerated &event);
void onGenerationFailed(RolloutContext &context, const GenerationFailed &event);
void onScored(RolloutContext &context, const SampleScored &event);
void onScoringFailed(RolloutContext &context, const ScoringFailed &event);
/// Stops the generations that the step, if it is still there, does not wait for.
void cancelRequests(RolloutContext &context, const StepId &id);

// rollout.cpp

/// Answers every waiter of the step whose answer is known or whose time is over.
void answerWaiters(RolloutContext &context, StepState &step);
void serveRequest(RolloutContext &context, const StepRequested &event);
void answer(RolloutContext &context, ReplyToken reply, bool forwarded, StepAnswer answer);

} // namespace geraniumpulley::core
