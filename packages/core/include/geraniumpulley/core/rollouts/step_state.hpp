#pragma once

#include <geraniumpulley/core/rollouts/sample.hpp>
#include <geraniumpulley/core/rollouts/step_record.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// The state of a step at the node that owns it, rebuilt from the step's log after a takeover.
namespace geraniumpulley::core {

/// Maximum number of samples in one log record.
inline constexpr std::size_t maxRecordSamples = 512;
/// Number of finished samples that triggers a commit without further delay.
inline constexpr std::size_t groupCommitSamples = 64;
/// Maximum time that a finished sample waits to be committed together with others.
inline constexpr Duration groupCommitDelay = std::chrono::seconds(1);

/// The stage of one sample, from waiting for an engine to generated and scored.
enum class SlotPhase { Waiting, Generating, Unscored, Scoring, Finished };

/// The state of one sample slot of a step.
struct SlotState
{
    SlotPhase phase = SlotPhase::Waiting;
    Sample sample; ///< The text and labels generated so far.
    std::uint64_t tokens = 0; ///< Number of tokens in `sample`.
    TargetId target; ///< Engine that received the latest generation request.
    /// Number of the current attempt; increases with each generation request.
    std::uint32_t attempt = 0;
    bool committed = false; ///< A log record holds the sample.
};

/// The stage of a step, from collecting samples to the acknowledged batch.
enum class StepPhase { Collecting, Sealing, Sealed, Acknowledging, Acknowledged };

/// Sample lengths of a group, used to predict the remaining ones: samples of the same prompt tend
/// to have similar lengths.
struct GroupLengths
{
    std::uint32_t started = 0;
    std::uint32_t finished = 0;
    std::uint64_t finishedTokens = 0; ///< Total tokens of the finished samples.
};

/// A request whose answer is delayed until the batch or its acknowledgement is committed.
struct StepWaiter
{
    ReplyToken reply{};
    bool forwarded = false; ///< The request came from another node.
    Time deadline{}; ///< Time at which the request is answered in any case.
};

/// The record that is being appended to the step's log.
struct PendingRecord
{
    StepRecord record;
    bool inFlight = false; ///< A store call is in flight; else the record is read back next.
    bool refused = false; ///< The store refused the last append.
    Time retryAt{}; ///< The next store call is not made before this time.
};

/// A step at its owner: the sample slots, the indexes over them, and the position in the log.
struct StepState
{
    StepSpec spec;
    StepPhase phase = StepPhase::Collecting;
    std::map<SampleSlot, SlotState> slots;
    std::set<SampleSlot> waiting; ///< Slots in phase Waiting.
    std::set<SampleSlot> interrupted; ///< Slots in phase Waiting that already have tokens.
    std::map<std::uint32_t, GroupLengths> groups;
    std::set<SampleSlot> unscored; ///< Slots in phase Unscored.
    std::set<SampleSlot> uncommitted; ///< Slots in phase Finished that no log record holds.
    std::uint64_t finished = 0; ///< Slots in phase Finished.
    std::uint32_t inFlight = 0; ///< Slots in phase Generating.
    std::uint64_t discarded = 0; ///< Samples discarded as stale.
    Time dueAt{}; ///< Time at which the trainer wants the batch.
    Time oldestUncommittedAt{}; ///< When the oldest entry of `uncommitted` finished.
    WeightVersion trainerVersion{}; ///< Highest version that the trainer has reported.
    std::string digest; ///< Digest of the sealed batch.
    bool logLoaded = false; ///< The log was read from the store; required before appending.
    Time reloadAt{}; ///< When a failed read of the log is retried.
    std::uint64_t nextRecordNumber = 0; ///< Number of the next log record.
    std::optional<PendingRecord> pendingRecord; ///< Append that has not completed.
    std::vector<StepWaiter> fetchWaiters; ///< Fetch requests that wait for the batch.
    std::vector<StepWaiter> acknowledgeWaiters; ///< Acknowledgements that wait to be committed.
};

/// \return the state of a step that has just been opened.
StepState makeStepState(const StepSpec &order, Time now);

/// Rebuilds a step from its log. \param records the log records in order, beginning with
/// `StepOpened`. \return the state, or nothing when the first record is missing or of another kind.
std::optional<StepState> replayLog(const std::vector<StepRecord> &records, Time now);

/// Applies the records of the log to a step that was opened while the store was unavailable.
void mergeLog(StepState &step, const std::vector<StepRecord> &records, Time now);

/// Moves a slot to another phase and updates the sets and counters of the step.
/// Complexity: logarithmic in slots.
void setPhase(StepState &step, const SampleSlot &slot, SlotPhase phase, Time now);

/// Selects the slot to generate next: first interrupted slots, then one slot of each group to learn
/// its length, then slots of the groups with the longest expected samples. A slot never has more
/// than one concurrent attempt: taking the first of several to finish would bias the delivered
/// lengths towards short samples.
/// \return the slot, or null when no slot is waiting. Complexity: linear in groups.
const SampleSlot *nextSlot(const StepState &step);

/// Discards the samples that are stale at the trainer's current version. Has no effect once the
/// batch is being sealed. \return the number of discarded samples. Complexity: linear in slots.
std::uint64_t discardStaleSamples(StepState &step, std::uint64_t bound, Time now);

/// \return whether every sample is finished and committed.
bool isComplete(const StepState &step);

/// \return the content of the next record to append, or nothing when no append is due.
/// \param isBatchRequested whether a trainer is waiting for the batch.
std::optional<StepRecordContent> nextRecordContent(const StepState &step, bool isBatchRequested,
                                                   Time now);

/// Applies a record that is in the log to the state. Complexity: linear in the record's samples.
void applyRecord(StepState &step, const StepRecordContent &content, Time now);

/// \return the samples of all slots, in slot order. Complexity: linear in slots.
std::vector<std::pair<SampleSlot, Sample>> collectSamples(const StepState &step);

/// \return the answer to a trainer: the progress and, once it is sealed, the batch.
StepAnswer makeStepAnswer(const StepState &step);

} // namespace geraniumpulley::core
