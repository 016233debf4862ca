#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/fleet/assignment_cache.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/limits/permits.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// State of the batch duty: the batches that this node owns and the requests that wait for them.
namespace geraniumpulley::core {

/// Timeouts, limits and periods of the batch duty.
struct BatchSettings
{
    /// Timeout of the store for a submission or the end of a batch. It is short enough that a
    /// client without an answer can still retry once within its own timeout.
    Duration storeTimeout = std::chrono::milliseconds(5000);
    /// Delay of the first retry of a store call; it doubles with each failure up to the maximum.
    Duration storeRetryDelay = std::chrono::milliseconds(100);
    Duration maxStoreRetryDelay = std::chrono::milliseconds(500);
    /// Period of the store reads for a reader that waits at a node that is not the owner.
    Duration readPeriod = std::chrono::milliseconds(100);
    /// Time that a reader may wait for results. Trainers ask for a second at most.
    Duration maxResultsWait = std::chrono::milliseconds(2000);
    /// Readers that may wait at a time; the others get what there is at once. Each one that waits
    /// at a node that is not the owner costs ten reads of the store a second.
    std::size_t maxWaitingReaders = 128;
    /// Reads of results in flight; readers beyond them are refused. An answer may take
    /// `maxAnswerBytes`.
    std::size_t maxReadsInFlight = 32;
    /// Period of the writes of partial texts, and thus the most progress that a takeover loses.
    Duration partialPeriod = std::chrono::milliseconds(1000);
    /// New events that a partial text must have to be written.
    std::uint64_t minPartialEvents = 8;
    std::size_t maxCommitResults = 24; ///< Results in one transaction.
    std::size_t maxAnswerBytes = 700 * 1024; ///< Text bytes of the results in one answer.
    /// Delay of a takeover for each node that is ranked before this one.
    Duration takeoverDelayPerRank = std::chrono::milliseconds(700);
    /// Time without new runs for an engine that refused one.
    Duration refusalBackoff = std::chrono::milliseconds(120);
    /// Time without new runs for an engine whose answer was incomplete or could not be used.
    Duration failureBackoff = std::chrono::milliseconds(800);
    Duration scoreRetryDelay = std::chrono::milliseconds(60); ///< Delay before a scoring retry.
    /// Unprocessable answers after which an item is lost.
    std::uint32_t maxUnprocessableAnswers = 1;
    /// Least time without an event after which a run is given up. Longer than a weight load, during
    /// which an engine may generate no token.
    Duration minSilenceLimit = std::chrono::milliseconds(1500);
    /// Multiple of the engines' median event interval above which an engine counts as slow and its
    /// runs are moved.
    double slowEngineFactor = 2.0;
    Duration slowRunCheckPeriod = std::chrono::milliseconds(250);
    /// Time that a run stays on its engine before it can be moved.
    Duration minRunTime = std::chrono::milliseconds(500);
    /// Limit on a text, which one transaction and one answer can hold.
    std::size_t maxTextBytes = 600 * 1024;
    /// Time in which an engine usually generates an event. A text that has waited for an engine of
    /// its software as long as it would take to generate it again is started over.
    Duration usualEventTime = std::chrono::milliseconds(30);
    /// Usable share of the slots of an engine that is assigned to another model.
    std::uint32_t spilloverPercent = 50;
    /// How long a closed batch is remembered that the directory does not list. Longer than a
    /// directory usually lags behind the store; a batch that is listed after that is read again.
    Duration closedRetention = std::chrono::seconds(60);
    /// Age at which a batch is removed from the store; longer than trainers may read its results.
    Duration resultRetention = std::chrono::seconds(150);
    Duration demandPeriod = std::chrono::milliseconds(500); ///< Between reports of demand.
};

/// Why an item is sent to an engine.
enum class RunCause {
    First, ///< No engine has worked on the item yet.
    AfterLoss, ///< The answer of the previous run was lost or could not be used.
    AfterRefusal, ///< The previous engine refused the item, or its weights were too old.
    AfterFailure, ///< The previous engine ran the item and failed.
    Moved, ///< The previous engine was too slow.
    TakenOver, ///< The item is resumed from a partial text of the previous owner.
};
/// Progress of an item.
enum class ItemPhase {
    Waiting, ///< The item waits for an engine.
    Running, ///< An engine generates the text.
    Unscored, ///< The text is complete; the scoring request is still to be sent.
    Scoring, ///< The scoring request is in flight.
    Finished, ///< The result is final; it is committed or waits for a commit.
};

/// State of one item of an owned batch.
struct ItemState
{
    ItemPhase phase = ItemPhase::Waiting;
    std::string text; ///< The text received so far.
    std::uint64_t lastEventId = 0; ///< Number of the last event in the text; 0 if none.
    std::vector<WeightVersion> versions; ///< Versions that generated the text, ascending.
    SoftwareVersion software; ///< The software that generated the text.
    OperationId run{}; ///< The current run, in the phase `Running`.
    std::uint32_t startedRuns = 0; ///< Number of runs started.
    std::uint32_t silentRuns = 0; ///< Runs in a row that were given up for their silence.
    std::uint32_t failures = 0; ///< Answers of engines that ran the item and failed.
    std::uint32_t unprocessableAnswers = 0; ///< Answers that the item can never be run.
    std::uint32_t scoreFailures = 0; ///< Scoring requests that the scorer failed.
    Time notBefore{}; ///< Earliest time of the next run or scoring request.
    Time waitingSince{}; ///< When the item began to wait for an engine.
    std::uint64_t lastStoredEventId = 0; ///< Last event of the partial text in the store.
    TargetId lastTarget; ///< Engine of the last run.
    RunCause nextRunCause = RunCause::First; ///< Cause of the next run.
};

/// A reader that waits for results of a batch that this node owns.
struct ResultWaiter
{
    ReplyToken reply{};
    std::uint64_t firstPosition = 0; ///< Position of the first requested result.
    Time deadline{}; ///< Time after which an answer without results is sent.
};

/// A write of results and partial texts that is not known to be done.
struct PendingCommit
{
    std::size_t resultCount = 0; ///< Results at the front of `uncommittedResults`.
    std::vector<PartialText> partials;
    bool inFlight = false; ///< The store has not answered the last attempt yet.
    Time retryAt{};
    std::uint32_t failures = 0;
};

/// A batch that this node owns.
struct OwnedBatch
{
    BatchHead head; ///< The head, whose version is this node's fencing token.
    std::shared_ptr<const BatchSpec> spec;
    std::vector<ItemState> items;
    /// Results in the store, in the order of their positions.
    std::vector<ItemResult> committedResults;
    std::vector<ItemResult> uncommittedResults; ///< Final results not known to be in the store.
    std::optional<PendingCommit> commit;
    std::vector<ResultWaiter> waiters;
    Time submittedAt{}; ///< Time of the submission on this node's clock.
    Time nextPartialsAt{}; ///< Time of the next write of partial texts.
    /// Item whose text did not fit the last write of partial texts; the next one begins with it.
    std::uint32_t nextPartialItem = 0;
    bool completionReported = false; ///< `OwnershipChange::Complete` has been reported.
    bool releaseInFlight = false; ///< A head without an owner is being written.
    /// Number of items whose texts were stored since the batch began to be released.
    std::uint32_t releasedItems = 0;
    Time releaseRetryAt{};
};

/// A submitted batch that is being stored, with the requests that wait for it.
struct PendingBatchSubmission
{
    std::shared_ptr<const BatchSpec> spec;
    BatchHead head;
    std::vector<ReplyToken> pendingReplies;
    Time answerDeadline{}; ///< Time by which the waiting requests are answered.
    bool inFlight = false; ///< The store has not answered the last attempt yet.
    bool maybeStored = false; ///< The outcome of an attempt is unknown.
    Time retryAt{};
    std::uint32_t failures = 0;
};

/// The end of a batch that is being stored, with the requests that wait for it.
struct PendingBatchEnd
{
    std::vector<ReplyToken> pendingReplies;
    std::optional<BatchHead> head; ///< Last known head; without one the batch is read first.
    bool inFlight = false; ///< The store has not answered the last attempt yet.
    Time answerDeadline{}; ///< Time by which the waiting requests are answered.
    Time retryAt{};
};

/// A reader whose results this node reads from the store.
struct StoreReader
{
    BatchId batch;
    std::uint64_t firstPosition = 0; ///< Position of the first requested result.
    Time deadline{}; ///< Time after which an answer without results is sent.
    bool readInFlight = false; ///< The store has not answered the last read yet.
    Time nextReadAt{};
};

/// A request for an item body that waits until the batch has been read.
struct ItemBodyReader
{
    ReplyToken reply{};
    ItemId item;
};

/// A batch whose rows are being read.
struct PendingLoad
{
    bool opensBatch = false; ///< The node owns the batch and opens it once it is read.
    bool inFlight = false; ///< The store has not answered the last read yet.
    Time retryAt{};
};

/// A run on an engine that has not ended.
struct RunRecord
{
    BatchId batch;
    std::uint32_t itemIndex = 0; ///< Index of the item in the batch.
    TargetId target;
    SoftwareVersion software; ///< The target's software.
    Time startedAt{};
    Time lastEventAt{}; ///< Time of the last event, or of the start.
    Duration silenceLimit{}; ///< Time without an event after which the run is given up.
    std::uint64_t resumedAfterEventId = 0; ///< Last event received before this run; 0 if none.
    WeightVersion version{}; ///< Weights that generated the newest event.
    bool hasVersion = false; ///< The engine has stated its weight version.
    bool cancelled = false;
    std::uint64_t receivedEvents = 0; ///< Number of events received in this run.
};

/// State of an engine as this node observes it.
struct EngineStatus
{
    std::uint32_t activeRuns = 0; ///< Runs of this node that have not ended.
    Time notBefore{}; ///< Earliest time of the next new run.
    bool probing = false; ///< After a refusal one run at a time is sent, until one starts.
    Duration eventInterval{}; ///< Smoothed time between events of a run; 0 if unknown.
    Time lastEventAt{}; ///< Time of the last event of any run.
    WeightMap versions; ///< Weights stated in answers; can be newer than the engine's row.
};

/// A serving engine of a service, as the batches of one model see it.
struct ListedEngine
{
    const FleetTarget *engine = nullptr;
    EngineStatus *status = nullptr;
    bool isAssigned = false; ///< The engine is assigned to the model.
};

/// The serving engines of a service for one model, with what the list was made from.
struct EngineList
{
    std::shared_ptr<const TargetMap> targets; ///< Holds the targets that the list refers to.
    std::uint64_t assignmentRevision = 0;
    std::vector<ListedEngine> engines;
    std::set<SoftwareVersion> servedSoftware;
};

/// A batch without a live owner, or one that a draining node releases again.
struct PendingTakeover
{
    Time ownerlessSince{}; ///< Time at which the batch was first seen without a live owner.
    bool writeInFlight = false; ///< A claim or release has been sent and is not answered yet.
};

/// A batch that this node has closed. Directory entries up to its version are outdated and ignored.
struct ClosedBatch
{
    RowVersion version{}; ///< Last known version of the head.
    Time closedAt{};
};

/// State of the batch duty of one node.
struct BatchState
{
    Node self;
    BatchSettings settings;
    DirectoryPointer directory;
    AssignmentCache assignments; ///< Filled only while this node runs batches.
    std::map<BatchId, OwnedBatch> ownedBatches;
    std::map<BatchId, PendingBatchSubmission> pendingSubmissions;
    std::map<BatchId, PendingBatchEnd> pendingEnds;
    std::map<ReplyToken, StoreReader> storeReaders;
    std::size_t readsInFlight = 0; ///< Reads of results, also those whose readers have left.
    std::map<BatchId, std::vector<ItemBodyReader>> itemBodyReaders;
    std::map<BatchId, PendingLoad> pendingLoads;
    std::map<BatchId, PendingTakeover> pendingTakeovers;
    /// Batches that this node has closed, until the directory has dropped them.
    std::map<BatchId, ClosedBatch> closedBatches;
    std::map<OperationId, RunRecord> runs;
    std::map<TargetId, EngineStatus> engines; ///< Never shrinks, so that lists can refer to it.
    std::map<std::pair<ServiceName, std::string>, EngineList>
            engineLists; ///< By service and model.
    Permits permits;
    OperationId nextOperation{1};
    Time nextSlowRunCheckAt{};
    /// When the demand is reported next; unset while there is none.
    std::optional<Time> nextDemandReportAt;
    bool draining = false;
    Time answersDueAt = Time::max(); ///< In a planned stop, when every request must be answered.
    bool drained = false; ///< `BatchesDrained` has been reported.
};

} // namespace geraniumpulley::core
