#pragma once

#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <vector>

namespace geraniumpulley::core {

/// The state and the collected actions of one call of `step`.
struct RolloutContext
{
    RolloutState &state;
    Time now;
    std::vector<RolloutAction> actions;
};

/// \return the configured trainer, or null.
const Trainer *findTrainer(const RolloutContext &context, const TrainerName &name);
/// \return the staleness bound of the step, or that of its trainer when the step has none.
std::uint64_t stalenessBoundOf(const RolloutContext &context, const StepState &step);
/// \return the node that owns the trainer's steps according to the leases or, before the first
/// lease table, to rendezvous hashing; null when there is none.
const Node *ownerOfTrainer(const RolloutContext &context, const TrainerName &trainer);
/// \return whether a configuration and a view are present.
bool isReady(const RolloutContext &context);

// rollout_ownership.cpp

/// Starts the work for trainers whose ownership this node gained and drops those that it lost.
void refreshOwnership(RolloutContext &context);
/// \return whether this node owns the trainer's steps and its fence has not been refused.
bool isOwnerOf(const RolloutContext &context, const TrainerName &trainer);
/// Stops all work on the trainer's steps after the store has refused this node's fencing token.
/// Work resumes when a lease table assigns this node another fencing token.
void markLeaseLost(RolloutContext &context, const TrainerName &trainer);
/// Requests a step's log, unless a request is in flight.
void loadStep(RolloutContext &context, const StepId &id);
/// Removes a step and answers its waiters with `OwnerLost`.
void dropStep(RolloutContext &context, const StepId &id);
void onStepsListed(RolloutContext &context, const StepsListed &event);
void onStepLoaded(RolloutContext &context, const StepLoaded &event);
/// Retries the reads that the store did not answer.
void retryLoads(RolloutContext &context);

// rollout_log.cpp

/// Appends the step's next record, if one is due and no append is in flight, or reads a pending
/// record back.
void advanceLog(RolloutContext &context, StepState &step);
void onRecordAppended(RolloutContext &context, const RecordAppended &event);
void onRecordRead(RolloutContext &context, const RecordRead &event);

// rollout_generation.cpp

/// Starts as many requests as the targets accept: generations in fair-share order, then scorings.
void startRequests(RolloutContext &context);
void onProgressed(RolloutContext &context, const SampleProgressed &event);
void onGenerated(RolloutContext &context, const SampleGenerated &event);
void onGenerationFailed(RolloutContext &context, const GenerationFailed &event);
void onScored(RolloutContext &context, const SampleScored &event);
void onScoringFailed(RolloutContext &context, const ScoringFailed &event);
/// Cancels the generations of a step that are not current attempts; cancels all of them when the
/// step is not in memory.
void cancelUnneededGenerations(RolloutContext &context, const StepId &id);

// rollout.cpp

/// Answers the waiters of the step whose result is known or whose deadline has passed.
void answerWaiters(RolloutContext &context, StepState &step);
/// Applies a trainer's request to a step that is in memory.
void serveRequest(RolloutContext &context, const StepRequested &event);
/// Queues the answer to a request.
void answer(RolloutContext &context, ReplyToken reply, bool forwarded, StepAnswer answer);

} // namespace geraniumpulley::core
