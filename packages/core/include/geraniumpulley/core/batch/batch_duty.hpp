#pragma once

#include <geraniumpulley/core/accounts/client_accounts.hpp>
#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/batch/batch_progress.hpp>
#include <geraniumpulley/core/batch/batch_state.hpp>
#include <geraniumpulley/core/entry/entry.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/leader/service_demand.hpp>
#include <geraniumpulley/core/limits/permits.hpp>
#include <geraniumpulley/core/limits/request_rate.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/store_outcome.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the batch duty: it accepts the batches of trainers, runs their items on engines,
/// commits the results to the store and transfers ownership between nodes.
namespace geraniumpulley::core {

// Events

/// A trainer submits a batch.
struct BatchSubmissionReceived
{
    ReplyToken reply{};
    std::shared_ptr<const BatchSpec> spec;
    bool hasRoom = true; ///< The batch fits the memory of this process.
};
/// A trainer reads results of a batch.
struct ResultsRequested
{
    ReplyToken reply{};
    BatchId batch;
    std::uint64_t firstPosition = 0; ///< Position of the first requested result.
    Duration maxWait{}; ///< Maximum time that the answer waits for a result.
};
/// A client reads the request body of an item.
struct ItemBodyRequested
{
    ReplyToken reply{};
    BatchId batch;
    ItemId item;
};
/// A trainer asks what an unfinished batch waits for.
struct BatchProgressRequested
{
    ReplyToken reply{};
    BatchId batch;
    bool isForwarded = false; ///< Another node, which does not own the batch, forwards the request.
};
/// A trainer ends a batch.
struct BatchEndRequested
{
    ReplyToken reply{};
    BatchId batch;
};
/// The client that waits for a reply has disconnected.
struct RequesterDisconnected
{
    ReplyToken reply{};
};
/// An engine has started to answer a run.
struct RunHeadReceived
{
    OperationId run{};
    std::optional<WeightVersion> version; ///< Weights that the engine uses, if it states them.
    std::optional<RequestRate> rateLimit = {}; ///< The limit that the engine states, if any.
};
/// An engine has sent one complete event of a text.
struct RunEventReceived
{
    OperationId run{};
    std::uint64_t eventId = 0; ///< Sequence number of the event; the first one has 1.
    std::string text;
    std::optional<WeightVersion> version; ///< Set if it differs from the previous event's.
};
/// How a run ended.
enum class RunEnd {
    Complete, ///< The engine sent the end marker.
    WithoutEndMarker, ///< The connection closed at a possible end, without an end marker.
    Broken, ///< The connection failed; the request may have run in part.
    Refused, ///< The engine refused the request, which did not run.
    WrongTarget, ///< Another target now uses the address.
    Failed, ///< The engine ran the request and failed.
    Unprocessable, ///< The engine states that the request can never succeed.
};
/// A run has ended.
struct RunEnded
{
    OperationId run{};
    RunEnd end = RunEnd::Broken;
    /// What the engine's answer states about its rate limit; null if there is no answer, or if the
    /// head of the answer was reported by `RunHeadReceived`.
    std::optional<RateStatement> rateStatement = {};
    bool hasConnectionFailed = false; ///< There is no complete answer.
};
/// The store has answered a `StoreSubmission`, or did not answer in time.
struct SubmissionStored
{
    BatchId batch;
    StoreOutcome outcome = StoreOutcome::Unknown;
    RowVersion version{}; ///< Version of the head if it was written.
    std::optional<BatchHead> found; ///< The head in the store, in case of a conflict.
};
/// The outcome of a `StoreResults`.
enum class CommitVerdict {
    Committed, ///< The rows are in the store.
    Superseded, ///< Another node owns the batch, or the batch has ended.
    NotCommitted, ///< Nothing was written.
    Rejected, ///< Nothing was written, and the same write would be rejected again.
    Unknown, ///< The rows may have been written, or may still be.
};
/// The store has answered a `StoreResults`, or did not answer in time.
struct ResultsStored
{
    BatchId batch;
    RowVersion fencingToken{}; ///< Fencing token that the write was conditional on.
    CommitVerdict verdict = CommitVerdict::Unknown;
};
/// The store has answered a `StoreHead`, or did not answer in time.
struct HeadStored
{
    BatchHead head; ///< The head that was to be written.
    StoreOutcome outcome = StoreOutcome::Unknown;
    RowVersion version{};
    std::optional<BatchHead> found; ///< The head in the store, in case of a conflict.
};
/// A `LoadBatch` has completed.
struct BatchLoaded
{
    BatchId batch;
    bool succeeded = false; ///< False if the store could not be read.
    std::shared_ptr<const StoredBatch> stored; ///< Null if the store has no such batch.
};
/// A `ReadResults` has completed.
struct ResultsRead
{
    ReplyToken reply{};
    bool succeeded = false; ///< False if the store could not be read.
    bool exists = false; ///< The store has the batch.
    bool ended = false; ///< The trainer has ended the batch.
    std::uint32_t itemCount = 0; ///< Number of items in the batch.
    std::vector<ItemResult> results; ///< Results from the requested position on.
};
/// A new directory has been published.
struct BatchDirectoryChanged
{
    DirectoryPointer directory;
};
/// The node has started a planned stop.
struct BatchDraining
{
    Time answersDueAt = Time::max(); ///< When every request must have its final answer.
};
/// The time returned by `dueAt` has come.
struct BatchTick
{
};

using BatchEvent =
        std::variant<BatchSubmissionReceived, ResultsRequested, ItemBodyRequested,
                     BatchProgressRequested, BatchEndRequested, RequesterDisconnected,
                     RunHeadReceived, RunEventReceived, RunEnded, ScoreCompleted, SubmissionStored,
                     ResultsStored, HeadStored, BatchLoaded, ResultsRead, BatchDirectoryChanged,
                     BatchDraining, BatchTick, PermitsReceived>;

// Actions

/// Writes a complete batch, on condition that the store has no batch of the same id.
struct StoreSubmission
{
    BatchHead head;
    std::shared_ptr<const BatchSpec> spec;
};
/// Appends results and writes partial texts, on condition of the owner's fencing token.
struct StoreResults
{
    BatchId batch;
    RowVersion fencingToken{}; ///< Fencing token of the owner.
    std::uint64_t firstPosition = 0; ///< Position of the first result.
    std::vector<ItemResult> results;
    std::vector<PartialText> partials;
};
/// Replaces a head on condition of its version. An owner that releases the batch also writes the
/// partial texts.
struct StoreHead
{
    BatchHead head;
    RowVersion expectedVersion{}; ///< Version that the head must have in the store.
    std::vector<PartialText> partials;
};
/// Reads all rows of a batch.
struct LoadBatch
{
    BatchId batch;
};
/// Reads results of a batch from the store, for a reader at a node that does not own the batch.
struct ReadResults
{
    ReplyToken reply{};
    BatchId batch;
    std::uint64_t firstPosition = 0; ///< Position of the first requested result.
};
/// Removes all rows of a batch whose retention time has passed.
struct RemoveBatch
{
    BatchHead head;
};
/// Sends an item to an engine.
struct StartRun
{
    OperationId run{};
    Target target;
    SoftwareVersion software; ///< The target's software, for the log.
    BatchId batch;
    std::shared_ptr<const BatchSpec> spec;
    std::uint32_t itemIndex = 0; ///< Index of the item in the batch.
    std::uint64_t lastEventId = 0; ///< Last event already received; 0 if none.
    std::uint32_t urgency = 5; ///< Queueing urgency at the engine; 0 is the most urgent.
    Time deadline{}; ///< Time limit of the run, which the engine is also sent.
    RunCause cause = RunCause::First;
    Duration silenceLimit{}; ///< Time without an event after which the run is given up.
    std::optional<AccountName> account = {}; ///< Set if the routing table has accounts.
};
/// Cancels a run; a `RunEnded` still follows.
struct CancelRun
{
    OperationId run{};
};
/// The answer to the submission of a batch.
enum class SubmitVerdict {
    Accepted, ///< The batch is stored.
    NoRoute, ///< No batch route matches the host and path.
    StoreUnavailable, ///< The batch is known not to be stored.
    Uncertain, ///< The batch may be stored.
    NoRoom, ///< The batch is not stored, since this node holds too many.
};
/// Answers a submission.
struct AnswerBatchSubmission
{
    ReplyToken reply{};
    BatchId batch;
    SubmitVerdict verdict = SubmitVerdict::Uncertain;
};
/// The answer to a request about an existing batch.
enum class ReadVerdict { Found, Unknown, StoreUnavailable };
/// Answers a read of results.
struct AnswerResults
{
    ReplyToken reply{};
    BatchId batch;
    ReadVerdict verdict = ReadVerdict::StoreUnavailable;
    std::uint32_t itemCount = 0; ///< Number of items in the batch.
    std::uint64_t firstPosition = 0; ///< Position of the first result.
    std::vector<ItemResult> results;
};
/// Answers a read of an item's request body.
struct AnswerItemBody
{
    ReplyToken reply{};
    BatchId batch;
    ReadVerdict verdict = ReadVerdict::StoreUnavailable;
    std::string body;
};
/// Answers a request for the progress of a batch.
struct AnswerBatchProgress
{
    ReplyToken reply{};
    BatchId batch;
    ReadVerdict verdict = ReadVerdict::StoreUnavailable;
    BatchProgress progress;
    bool isForwarded = false; ///< The reply goes to another node.
};
/// Forwards a request for the progress of a batch to its owner.
struct ForwardProgressRequest
{
    ReplyToken reply{};
    BatchId batch;
    std::string address; ///< Of the owner's peer listener.
};
/// Answers a request to end a batch.
struct AnswerBatchEnd
{
    ReplyToken reply{};
    BatchId batch;
    ReadVerdict verdict = ReadVerdict::StoreUnavailable;
};
/// Why this node starts or stops working on a batch. `Complete` is reported once all results are
/// committed; the node still owns the batch.
enum class OwnershipChange { Opened, TakenOver, Ended, Superseded, HandedOver, Complete };
/// Reports an `OwnershipChange` of a batch, for the log.
struct OwnershipChanged
{
    BatchId batch;
    OwnershipChange change = OwnershipChange::Opened;
    RowVersion fencingToken{};
    std::uint32_t committedCount = 0; ///< Number of committed results.
    std::uint32_t itemCount = 0; ///< Number of items in the batch.
};
/// Reports that a draining node owns no batch any more and stores no submission.
struct BatchesDrained
{
};

using BatchAction =
        std::variant<StoreSubmission, StoreResults, StoreHead, LoadBatch, ReadResults, RemoveBatch,
                     StartRun, CancelRun, ScoreRequested, AnswerBatchSubmission, AnswerResults,
                     AnswerItemBody, AnswerBatchProgress, ForwardProgressRequest, AnswerBatchEnd,
                     OwnershipChanged, BatchesDrained, RateLimitChanged, RequestPermits,
                     EngineUnreached, DemandReport>;

/// \return the state of a node without a directory, which answers submissions with
/// `StoreUnavailable`.
BatchState makeBatchState(Node self, BatchSettings settings);

/// Processes one event and returns the actions to perform.
/// Invariants: a batch is accepted only after the store holds all of it; a result is returned only
/// after the store holds it at its position; results are written only under the owner's fencing
/// token. Complexity: linear in open items and targets.
std::vector<BatchAction> step(BatchState &state, const BatchEvent &event, Time now);

/// \return the time of the next required tick, or nothing if nothing is pending.
std::optional<Time> dueAt(const BatchState &state, Time now);

} // namespace geraniumpulley::core
