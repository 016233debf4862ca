#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What a node knows of the batches that it works on and of the requests that wait for them.
namespace geraniumpulley::core {

struct BatchSettings
{
    /// How long the answer to a submission or an end waits for the store.
    /// A client that is told nothing for so long can still try once more within its own limit.
    Duration storePatience = std::chrono::milliseconds(5000);
    Duration storeRetryDelay = std::chrono::milliseconds(100); ///< Doubles with each failure.
    Duration longestRetryDelay = std::chrono::milliseconds(500);
    /// Between two reads of the store for a reader that waits at a node that is not the owner.
    Duration readPeriod = std::chrono::milliseconds(100);
    /// Between two writes of what running texts have made: what a takeover loses at most.
    Duration partialPeriod = std::chrono::milliseconds(1000);
    std::uint64_t partialEvents = 8; ///< New events that are worth a write.
    /// Results that one transaction lists; with their texts they stay below the store's 1 MB.
    std::size_t resultsOfCommit = 24;
    std::size_t bytesOfCommit = 400 * 1024;
    std::size_t bytesOfAnswer = 700 * 1024; ///< Of results in one answer.
    Duration takeoverStep = std::chrono::milliseconds(700); ///< For each node ranked before.
    Duration targetPause = std::chrono::milliseconds(120); ///< After a refusal of a target.
    Duration lostTargetPause = std::chrono::milliseconds(800); ///< After a broken answer.
    Duration scoreRetryDelay = std::chrono::milliseconds(60);
    std::uint32_t impossibleAnswers = 1; ///< After so many an item is given up.
    /// How much slower than the others an engine may be before its runs are moved.
    double slowFactor = 2.0;
    Duration paceCheckPeriod = std::chrono::milliseconds(250);
    /// A run is not moved before it has been on its engine for this long.
    Duration leastStay = std::chrono::milliseconds(500);
    std::uint32_t spillPercent = 50; ///< Of the slots of engines that serve another model first.
    Duration keepResults = std::chrono::seconds(150); ///< Longer than trainers may read them.
};

/// Why an item is sent to an engine.
enum class RunCause {
    First, ///< No engine has had the item.
    AfterLoss, ///< The answer before broke off.
    AfterRefusal,
    AfterFailure,
    Moved, ///< Its engine was too slow.
    TakenOver, ///< Another node has worked on it.
};
enum class ItemPhase {
    Waiting, ///< For an engine.
    Running,
    Unscored, ///< Its text is whole; the scorer is to be asked.
    Scoring,
    Finished, ///< Its result is to be listed, or has been.
};

struct ItemState
{
    ItemPhase phase = ItemPhase::Waiting;
    std::string text;
    std::uint64_t lastEvent = 0;
    std::vector<WeightVersion> versions;
    OperationId run{}; ///< While it is running.
    std::uint32_t runs = 0; ///< That were started.
    std::uint32_t failures = 0; ///< Answers of engines that ran it and failed.
    std::uint32_t impossible = 0;
    std::uint32_t scoreFailures = 0;
    Time notBefore{}; ///< Of the next run or scoring request.
    std::uint64_t storedEvent = 0; ///< The last event in the partial text that the store has.
    TargetId lastTarget;
    RunCause cause = RunCause::First; ///< Of the next run.
};

struct BatchWaiter
{
    ReplyToken reply{};
    std::uint64_t after = 0;
    Time until{};
};

struct PendingCommit
{
    std::size_t results = 0; ///< Taken from the front of `unlisted`.
    std::vector<PartialText> partials;
    bool sent = false;
    Time retryAt{};
    std::uint32_t failures = 0;
};

/// A batch that this node works on.
struct OwnedBatch
{
    BatchHead head; ///< Its version is this node's fencing number.
    std::shared_ptr<const BatchOrder> order;
    std::vector<ItemState> items;
    std::vector<ItemResult> listed; ///< By position, as the store has them.
    std::vector<ItemResult> unlisted; ///< Finished, not known to be stored.
    std::optional<PendingCommit> commit;
    std::vector<BatchWaiter> waiters;
    Time submittedAt{};
    Time nextPartials{};
    bool completeTold = false;
    bool releaseSent = false;
    Time releaseRetryAt{};
};

/// A batch whose storing is under way, with the requests that wait for it.
struct PendingSubmission
{
    std::shared_ptr<const BatchOrder> order;
    BatchHead head;
    std::vector<ReplyToken> askers;
    Time answerBy{};
    bool sent = false;
    bool maybeStored = false; ///< An attempt was not answered.
    Time retryAt{};
    std::uint32_t failures = 0;
};

/// An end of a batch that is being stored.
struct PendingEnd
{
    std::vector<ReplyToken> askers;
    std::optional<BatchHead> head; ///< As last known; read first when nothing is known.
    bool sent = false;
    Time answerBy{};
    Time retryAt{};
};

/// A reader that this node serves from the store.
struct StoreReader
{
    BatchId batch;
    std::uint64_t after = 0;
    Time until{};
    bool reading = false;
    Time nextRead{};
};

/// A request that needs a batch read whole.
struct ItemReader
{
    ReplyToken reply{};
    ItemId item;
};

/// A batch that is being read whole.
struct PendingLoad
{
    bool works = false; ///< This node owns it and goes on with it.
    bool sent = false;
    Time retryAt{};
};

struct RunRecord
{
    BatchId batch;
    std::uint32_t item = 0;
    TargetId target;
    Time startedAt{};
    Time lastEventAt{};
    std::uint64_t firstEvent = 0; ///< The last event before this run.
    WeightVersion version{}; ///< Of its newest event.
    bool hasVersion = false;
    bool cancelled = false;
    std::uint64_t events = 0;
};

/// What this node has seen of an engine.
struct EngineUse
{
    std::uint32_t running = 0; ///< Runs of this node.
    Time notBefore{}; ///< Gets no new run before.
    bool probing = false; ///< It refused a run; one at a time tries it until it opens one.
    Duration eventTime{}; ///< Smoothed time between two events of a run; 0 while unknown.
    Time lastEventAt{};
    WeightMap versions; ///< As its answers told; newer than its row.
};

struct TakeoverWatch
{
    Time since{}; ///< Since when the batch has had no living owner.
    bool claiming = false;
};

struct BatchState
{
    Node self;
    BatchSettings settings;
    DirectoryPointer directory;
    std::map<BatchId, OwnedBatch> owned;
    std::map<BatchId, PendingSubmission> submissions;
    std::map<BatchId, PendingEnd> ends;
    std::map<ReplyToken, StoreReader> readers;
    std::map<BatchId, std::vector<ItemReader>> itemReaders;
    std::map<BatchId, PendingLoad> loading;
    std::map<BatchId, TakeoverWatch> takeovers;
    /// Batches that this node works on no more, with the head's version of then; the picture of the
    /// directory may be older.
    std::map<BatchId, RowVersion> dropped;
    std::map<OperationId, RunRecord> runs;
    std::map<TargetId, EngineUse> engines;
    OperationId nextOperation{1};
    Time nextPaceCheck{};
    bool draining = false;
    bool drained = false;
};

} // namespace geraniumpulley::core
