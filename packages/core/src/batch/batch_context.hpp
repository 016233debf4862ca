#pragma once

#include <geraniumpulley/core/batch/batch_duty.hpp>

#include <vector>

namespace geraniumpulley::core {

/// One call of `step`: the state that it changes and the actions that it collects.
struct BatchContext
{
    BatchState &state;
    Time now;
    std::vector<BatchAction> actions;
};

// batch_requests.cpp

void onSubmitAsked(BatchContext &context, const SubmitAsked &event);
void onSubmissionStored(BatchContext &context, const SubmissionStored &event);
void onResultsAsked(BatchContext &context, const ResultsAsked &event);
void onResultsRead(BatchContext &context, const ResultsRead &event);
void onItemBodyAsked(BatchContext &context, const ItemBodyAsked &event);
void onAskerLeft(BatchContext &context, const AskerLeft &event);
/// Sends submissions again, or gives their askers up.
void advanceSubmissions(BatchContext &context);
/// Reads the store again for those that wait for results.
void advanceReaders(BatchContext &context);
/// Answers those that wait at an owned batch and whose results or time have come.
void answerWaiters(BatchContext &context, OwnedBatch &batch);
/// \return whether this node's memory of its own batches is known to be the newest.
bool isOwnershipKnown(const BatchContext &context);

// batch_ends.cpp

void onEndAsked(BatchContext &context, const EndAsked &event);
/// Takes the answer to a head that was written as ended.
void onEndStored(BatchContext &context, const HeadStored &event);
/// Goes on with an end whose batch has been read.
void resumeEnd(BatchContext &context, const BatchLoaded &event);
void advanceEnds(BatchContext &context);

// batch_commits.cpp

/// Sends the next results and partial texts to the store, unless that is under way.
void advanceCommit(BatchContext &context, OwnedBatch &batch);
void onResultsStored(BatchContext &context, const ResultsStored &event);
/// \return the texts of unfinished items of which the store lacks at least `newEvents`.
std::vector<PartialText> collectPartials(const OwnedBatch &batch, std::uint64_t newEvents);

// batch_ownership.cpp

/// Begins to work on a batch whose head has this node as its owner.
/// \param stored what another owner has done of it; null for a new batch.
void openBatch(BatchContext &context, const BatchHead &head,
               std::shared_ptr<const BatchOrder> order, const StoredBatch *stored);
/// Ends all work on a batch. Its waiters are served from the store.
void dropBatch(BatchContext &context, const BatchId &id, OwnershipChange change);
/// Compares the heads of the directory with what this node works on.
void reviewOwnership(BatchContext &context);
void onHeadStored(BatchContext &context, const HeadStored &event);
void onBatchLoaded(BatchContext &context, const BatchLoaded &event);
void loadBatch(BatchContext &context, const BatchId &id, bool works);
void advanceLoads(BatchContext &context);
/// In a planned stop: gives the batches up, with what their texts have so far.
void advanceReleases(BatchContext &context);

// batch_runs.cpp

/// Starts waiting items on engines with room, and asks for scores.
void startRuns(BatchContext &context);
void onRunOpened(BatchContext &context, const RunOpened &event);
void onRunProgressed(BatchContext &context, const RunProgressed &event);
void onRunEnded(BatchContext &context, const RunEnded &event);
void onScoreEnded(BatchContext &context, const ScoreEnded &event);
/// Moves runs away from engines that are much slower than the others.
void moveSlowRuns(BatchContext &context);
/// Lists what is still unfinished as lost when the batch's time is over.
void giveUpLate(BatchContext &context, OwnedBatch &batch);
void cancelRun(BatchContext &context, OperationId run);
/// \return the route of a batch as it is now, or null.
const Route *routeOf(const BatchContext &context, const BatchOrder &order);

// engine_choice.cpp

/// \return the engine for an item, or null when none has room. Complexity: linear in engines.
const FleetTarget *chooseEngine(const BatchContext &context, const BatchOrder &order,
                                const ItemState &item, const ServiceName &service);
/// \return whether an engine makes events much slower than the engines that this node uses.
bool isSlow(const BatchContext &context, const TargetId &target);

} // namespace geraniumpulley::core
