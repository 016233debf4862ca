#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/batch/batch_state.hpp>
#include <geraniumpulley/core/entry/entry.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/store_outcome.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the batch duty: how a trainer's batch is accepted, worked on, listed and handed
/// from node to node.
namespace geraniumpulley::core {

// Events

struct SubmitAsked
{
    ReplyToken reply{};
    std::shared_ptr<const BatchOrder> order;
};
struct ResultsAsked
{
    ReplyToken reply{};
    BatchId batch;
    std::uint64_t after = 0; ///< Position of the first result that is wanted.
    Duration wait{}; ///< How long the answer may wait for a result.
};
struct ItemBodyAsked
{
    ReplyToken reply{};
    BatchId batch;
    ItemId item;
};
struct EndAsked
{
    ReplyToken reply{};
    BatchId batch;
};
struct AskerLeft
{
    ReplyToken reply{};
};
/// An engine has begun to answer, with weights of that version.
struct RunOpened
{
    OperationId run{};
    std::optional<WeightVersion> version;
};
/// One whole event of a text.
struct RunProgressed
{
    OperationId run{};
    std::uint64_t number = 0;
    std::string text;
    std::optional<WeightVersion> version; ///< Where it differs from that of the event before.
};
enum class RunEnd {
    Complete, ///< The engine marked the end.
    Unmarked, ///< The connection ended where an answer may end.
    Broken, ///< It may have run in part.
    Refused, ///< It did not run.
    WrongTarget, ///< Another target has the address.
    Failed, ///< The engine ran it and failed.
    Impossible, ///< The engine says that the request can never be done.
};
struct RunEnded
{
    OperationId run{};
    RunEnd end = RunEnd::Broken;
};
struct SubmissionStored
{
    BatchId batch;
    StoreOutcome outcome = StoreOutcome::Unknown;
    RowVersion version{}; ///< Of the head, when it is done.
    std::optional<BatchHead> found; ///< What the store holds instead, in a conflict.
};
enum class CommitVerdict {
    Done,
    Superseded, ///< Another node owns the batch now, or it has ended.
    NotDone,
    Unknown,
};
struct ResultsStored
{
    BatchId batch;
    RowVersion fence{};
    CommitVerdict verdict = CommitVerdict::Unknown;
};
struct HeadStored
{
    BatchHead head; ///< As it was written.
    StoreOutcome outcome = StoreOutcome::Unknown;
    RowVersion version{};
    std::optional<BatchHead> found; ///< What the store holds instead, in a conflict.
};
struct BatchLoaded
{
    BatchId batch;
    bool answered = false;
    std::shared_ptr<const StoredBatch> stored; ///< Null when the store has no such batch.
};
struct ResultsRead
{
    ReplyToken reply{};
    bool answered = false;
    bool exists = false;
    bool ended = false;
    std::uint32_t total = 0;
    std::vector<ItemResult> results; ///< From the asked position on.
};
struct BatchDirectoryChanged
{
    DirectoryPointer directory;
};
struct BatchDraining
{
};
struct BatchTick
{
};

using BatchEvent = std::variant<SubmitAsked, ResultsAsked, ItemBodyAsked, EndAsked, AskerLeft,
                                RunOpened, RunProgressed, RunEnded, ScoreEnded, SubmissionStored,
                                ResultsStored, HeadStored, BatchLoaded, ResultsRead,
                                BatchDirectoryChanged, BatchDraining, BatchTick>;

// Actions

/// Writes a batch whole, on condition that there is none of its id.
struct StoreSubmission
{
    BatchHead head;
    std::shared_ptr<const BatchOrder> order;
};
/// Lists results and keeps partial texts, on condition of the owner's fencing number.
struct StoreResults
{
    BatchId batch;
    RowVersion fence{};
    std::uint64_t first = 0; ///< Position of the first result.
    std::vector<ItemResult> results;
    std::vector<PartialText> partials;
};
/// Changes a head on condition of its version; with partial texts where its owner gives it up.
struct StoreHead
{
    BatchHead head;
    RowVersion expected{};
    std::vector<PartialText> partials;
};
/// Reads a batch whole.
struct LoadBatch
{
    BatchId batch;
};
struct ReadResults
{
    ReplyToken reply{};
    BatchId batch;
    std::uint64_t after = 0;
};
/// Removes all rows of a batch whose results nobody may ask for any more.
struct RemoveBatch
{
    BatchHead head;
};
struct StartRun
{
    OperationId run{};
    Target target;
    BatchId batch;
    std::shared_ptr<const BatchOrder> order;
    std::uint32_t item = 0; ///< Index in the order.
    std::uint64_t resumeAfter = 0; ///< The last event that is known; 0 for none.
    std::uint32_t urgency = 5; ///< 0 is served first by the engine.
    Time deadline{};
    RunCause cause = RunCause::First;
};
struct CancelRun
{
    OperationId run{};
};
enum class SubmitVerdict {
    Accepted,
    NoRoute,
    StoreUnavailable, ///< It is known not to be stored.
    Uncertain, ///< It may be stored.
};
struct AnswerSubmit
{
    ReplyToken reply{};
    BatchId batch;
    SubmitVerdict verdict = SubmitVerdict::Uncertain;
};
enum class ReadVerdict { Found, Unknown, StoreUnavailable };
struct AnswerResults
{
    ReplyToken reply{};
    BatchId batch;
    ReadVerdict verdict = ReadVerdict::StoreUnavailable;
    std::uint32_t total = 0;
    std::uint64_t after = 0;
    std::vector<ItemResult> results;
};
struct AnswerItemBody
{
    ReplyToken reply{};
    BatchId batch;
    ReadVerdict verdict = ReadVerdict::StoreUnavailable;
    std::string body;
};
struct AnswerEnd
{
    ReplyToken reply{};
    BatchId batch;
    ReadVerdict verdict = ReadVerdict::StoreUnavailable;
};
enum class OwnershipChange { Opened, TakenOver, Ended, Superseded, HandedOver, Complete };
/// Tells that this node began or ended to work on a batch.
struct OwnershipChanged
{
    BatchId batch;
    OwnershipChange change = OwnershipChange::Opened;
    RowVersion fence{};
    std::uint32_t listed = 0;
    std::uint32_t total = 0;
};
/// Nothing is left to hand over.
struct BatchesDrained
{
};

using BatchAction =
        std::variant<StoreSubmission, StoreResults, StoreHead, LoadBatch, ReadResults, RemoveBatch,
                     StartRun, CancelRun, ScoreAsked, AnswerSubmit, AnswerResults, AnswerItemBody,
                     AnswerEnd, OwnershipChanged, BatchesDrained>;

/// \return the state of a node that knows nothing yet; it answers every request as unavailable.
BatchState makeBatchState(Node self, BatchSettings settings);

/// Takes one event and returns what has to be done about it.
/// Invariants: a batch is accepted only when the store holds it whole; a result is given out only
/// when the store has it at its position; nothing is listed but under the owner's fencing number.
/// Complexity: linear in open items and targets.
std::vector<BatchAction> step(BatchState &state, const BatchEvent &event, Time now);

/// \return when the next tick is needed; nothing while nothing waits.
std::optional<Time> dueAt(const BatchState &state, Time now);

} // namespace geraniumpulley::core
