#pragma once

#include <geraniumpulley/core/batch/batch_duty.hpp>
#include <geraniumpulley/core/transaction_budget.hpp>

#include <cstdint>
#include <set>
#include <vector>

namespace geraniumpulley::core {

/// State, time and collected actions of one call of `step`.
struct BatchContext
{
    BatchState &state;
    Time now;
    std::vector<BatchAction> actions;
};

// batch_requests.cpp

void onBatchSubmissionReceived(BatchContext &context, const BatchSubmissionReceived &event);
void onSubmissionStored(BatchContext &context, const SubmissionStored &event);
void onResultsRequested(BatchContext &context, const ResultsRequested &event);
void onResultsRead(BatchContext &context, const ResultsRead &event);
void onItemBodyRequested(BatchContext &context, const ItemBodyRequested &event);
void onRequesterDisconnected(BatchContext &context, const RequesterDisconnected &event);
/// Ends the waits of all requests in time for the planned stop.
void onBatchDraining(BatchContext &context, const BatchDraining &event);
/// \return when a request that arrives now must be answered at the latest.
Time latestAnswerAt(const BatchContext &context, Duration maxWait);
/// Retries submissions and answers the requests whose deadline has passed.
void advanceSubmissions(BatchContext &context);
/// Repeats due store reads and answers due waiters of owned batches.
void advanceStoreReaders(BatchContext &context);
/// Answers the waiters of an owned batch that have results or whose deadline has passed.
void answerWaiters(BatchContext &context, OwnedBatch &batch);
/// \return whether this node's state of its own batches is still valid, that is, no other node can
/// have taken them over.
bool isOwnershipValid(const BatchContext &context);

// batch_progress.cpp

void onBatchProgressRequested(BatchContext &context, const BatchProgressRequested &event);

// batch_ends.cpp

void onBatchEndRequested(BatchContext &context, const BatchEndRequested &event);
/// Handles the store's answer to the write of an ended head.
void onBatchEndStored(BatchContext &context, const HeadStored &event);
/// Continues the end of a batch whose head was unknown, once the batch has been read.
void resumeBatchEnd(BatchContext &context, const BatchLoaded &event);
/// Retries pending ends and answers the requests whose deadline has passed.
void advanceBatchEnds(BatchContext &context);

// batch_demand.cpp

/// Reports the demand of the owned batches, where a service of the routing table is scaled.
void reportDemand(BatchContext &context);

// batch_commits.cpp

/// Sends the next results and partial texts to the store, unless a commit is in flight.
void advanceCommit(BatchContext &context, OwnedBatch &batch);
void onResultsStored(BatchContext &context, const ResultsStored &event);
/// Partial texts for one transaction.
struct PartialSelection
{
    std::vector<PartialText> partials;
    std::uint32_t endItem = 0; ///< The items before this one have been considered.
};
/// Selects the texts of unfinished items with at least `newEvents` events that are not stored yet.
/// Stops before `endItem` at the first one for which the transaction has no room.
PartialSelection selectPartials(const OwnedBatch &batch, std::uint64_t newEvents,
                                std::uint32_t firstItem, std::uint32_t endItem,
                                TransactionBudget &budget);
/// Sends partial texts to the store. No commit may be in flight.
void commitPartials(BatchContext &context, OwnedBatch &batch, std::vector<PartialText> partials);
/// \return the room for results and texts in a transaction of the owner.
TransactionBudget ownerBudget(const OwnedBatch &batch);

// batch_ownership.cpp

/// Remembers that this node has closed a batch, whose head has the version.
void noteClosed(BatchContext &context, const BatchId &id, RowVersion version);
/// Starts work on a batch whose head names this node as the owner.
/// \param stored the results and partial texts of the previous owner; null for a new batch.
void openBatch(BatchContext &context, const BatchHead &head, std::shared_ptr<const BatchSpec> spec,
               const StoredBatch *stored);
/// Stops all work on a batch. Its waiters are then served from the store.
void closeBatch(BatchContext &context, const BatchId &id, OwnershipChange change);
/// Reconciles the batches that this node owns with the heads in the directory.
void reconcileOwnership(BatchContext &context);
void onHeadStored(BatchContext &context, const HeadStored &event);
void onBatchLoaded(BatchContext &context, const BatchLoaded &event);
/// Reads a batch from the store.
/// \param opensBatch whether this node owns the batch and opens it once it is read.
void loadBatch(BatchContext &context, const BatchId &id, bool opensBatch);
/// Retries the reads of batches that failed.
void advanceLoads(BatchContext &context);
/// \return whether this node hands its batches to other nodes: it drains, or it reaches no target
/// while others do.
bool releasesBatches(const BatchState &state, Time now);
/// If this node hands its batches over, releases the owned batches together with their partial
/// texts.
void advanceReleases(BatchContext &context);

// batch_runs.cpp

/// Starts waiting items on engines with free slots and sends scoring requests.
void startRuns(BatchContext &context);
void onRunHeadReceived(BatchContext &context, const RunHeadReceived &event);
void onRunEventReceived(BatchContext &context, const RunEventReceived &event);
void onRunEnded(BatchContext &context, const RunEnded &event);
void onScoreCompleted(BatchContext &context, const ScoreCompleted &event);
/// Moves runs from slow engines to faster ones.
void moveSlowRuns(BatchContext &context);
/// Finishes all open items as lost once the batch is past the route's time limit.
void finishExpiredItems(BatchContext &context, OwnedBatch &batch);
/// \return when a waiting item may be started over although engines run the software that began
/// its text.
Time restartDueAt(const ItemState &item, const BatchSettings &settings);
/// Cancels a run. Its item is not changed.
void cancelRun(BatchContext &context, OperationId run);
/// \return the batch route that the current directory has for the batch, or null.
const Route *routeOf(const BatchContext &context, const BatchSpec &spec);

// engine_choice.cpp

/// An engine that may run the items of a batch.
struct EngineCandidate
{
    const FleetTarget *engine = nullptr;
    const EngineStatus *status = nullptr;
    bool isAssigned = false; ///< The engine is assigned to the model of the batch.
    bool isSlow = false;
    std::uint32_t maxRuns = 0; ///< Runs that this node may have on the engine.
};

/// The engines for the items of one batch, valid while one event is handled.
struct EngineSearch
{
    std::vector<EngineCandidate> candidates;
    const std::set<SoftwareVersion> *servedSoftware = nullptr; ///< Of all serving engines.
    bool isExhausted = false; ///< No candidate has room for any further item.
};

/// \return the engines of a service that have the weights that a batch requires. Complexity: linear
/// in engines.
EngineSearch makeEngineSearch(BatchContext &context, const BatchSpec &spec,
                              const ServiceName &service);
/// \return the engine for an item, or null if none has a free slot and a permit. A text that has
/// begun goes on only at an engine of its software. Requests a permit of an engine that would be
/// better but has none. Complexity: linear in candidates, constant once the search is exhausted.
const FleetTarget *chooseEngine(BatchContext &context, EngineSearch &search, const ItemState &item);
/// \return the median time between events of the engines that this node uses; 0 if unknown.
Duration usualEventInterval(const BatchContext &context);
/// \return whether an engine generates events much slower than usual.
bool isSlow(const BatchContext &context, const EngineStatus &status, Duration usualInterval);

} // namespace geraniumpulley::core
