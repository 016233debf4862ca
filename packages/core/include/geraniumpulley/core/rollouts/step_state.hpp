#pragma once

#include <geraniumpulley/core/rollouts/sample.hpp>
#include <geraniumpulley/core/rollouts/step_record.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// What a step's owner knows about the step.
namespace geraniumpulley::core {

/// Samples that one record takes at most.
inline constexpr std::size_t maxSamplesOfRecord = 512;
/// Samples that are committed at once, without waiting for more.
inline constexpr std::size_t groupCommitSamples = 64;
/// Time that a finished sample waits for others of its record.
inline constexpr Duration groupCommitDelay = std::chrono::seconds(1);

enum class SlotPhase { Waiting, Generating, Unscored, Scoring, Finished };

struct SlotState
{
    SlotPhase phase = SlotPhase::Waiting;
    Sample sample; ///< While generating, what was made so far.
    std::uint64_t tokens = 0; ///< Of `sample`.
    TargetId target; ///< Where it was generated last.
    std::uint32_t attempt = 0; ///< Rises with each request to an engine.
    bool committed = false;
};

enum class StepPhase { Filling, Sealing, Sealed, Acknowledging, Acknowledged };

/// What is known of the lengths in a group; samples of one prompt tend to be alike.
struct GroupLengths
{
    std::uint32_t started = 0;
    std::uint32_t finished = 0;
    std::uint64_t tokens = 0; ///< Of the finished ones.
};

struct StepWaiter
{
    ReplyToken reply{};
    bool forwarded = false;
    Time until{};
};

struct PendingRecord
{
    StepRecord record;
    bool sent = false; ///< An answer of the store is awaited; else the record is read back next.
    bool refused = false; ///< The last append was refused.
    Time retryAt{};
};

struct StepState
{
    StepOrder order;
    StepPhase phase = StepPhase::Filling;
    std::map<SampleSlot, SlotState> slots;
    std::set<SampleSlot> waiting; ///< Slots in phase Waiting.
    std::set<SampleSlot> interrupted; ///< Waiting slots that have tokens already.
    std::map<std::uint32_t, GroupLengths> groups;
    std::set<SampleSlot> unscored; ///< Slots in phase Unscored.
    std::set<SampleSlot> uncommitted; ///< Finished slots that no record holds.
    std::uint64_t finished = 0; ///< Slots in phase Finished.
    std::uint32_t inFlight = 0; ///< Slots in phase Generating.
    std::uint64_t discarded = 0;
    Time due{};
    Time oldestUncommitted{}; ///< When the first of `uncommitted` finished.
    WeightVersion trainerVersion{}; ///< The highest that the trainer has told.
    std::string digest; ///< Of the sealed batch.
    bool loaded = false; ///< The store's log was read; nothing is appended before.
    Time reloadAt{}; ///< When to try to read it again.
    std::uint64_t nextRecord = 0;
    std::optional<PendingRecord> pending;
    std::vector<StepWaiter> fetchers; ///< Ask for the batch.
    std::vector<StepWaiter> acknowledgers; ///< Wait for their acknowledgement to be committed.
};

/// \return the state of a step that has just been opened.
StepState makeStep(const StepOrder &order, Time now);

/// Rebuilds a step from its log. \param records in order; the first one is `StepOpened`.
/// \return the state, or nothing when the log does not begin with the order.
std::optional<StepState> replay(const std::vector<StepRecord> &records, Time now);

/// Takes over what the log holds into a step that was opened while the store was down.
void merge(StepState &step, const std::vector<StepRecord> &records, Time now);

/// Moves a slot to another phase and keeps the sets and counters. Complexity: logarithmic.
void setPhase(StepState &step, const SampleSlot &slot, SlotPhase phase, Time now);

/// Picks the slot to start next: interrupted ones, then one of each group to learn its length,
/// then groups that are expected to run longest. Never takes more than one try for a slot, so that
/// the lengths that are delivered are those that the model gives.
/// \return null when none waits. Complexity: linear in groups.
const SampleSlot *nextSlot(const StepState &step);

/// Discards samples that are stale at the trainer's version now, before the batch is sealed.
/// \return how many. Complexity: linear in slots.
std::uint64_t discardStale(StepState &step, std::uint64_t bound, Time now);

/// \return whether every sample is finished and committed.
bool isWhole(const StepState &step);

/// Makes the next record that the step has to append, if any. \param wanted whether a trainer asks
/// for the batch now.
std::optional<StepRecordContent> nextRecordOf(const StepState &step, bool wanted, Time now);

/// Takes over that a record is in the log. Complexity: linear in its samples.
void applyRecord(StepState &step, const StepRecordContent &content, Time now);

std::vector<std::pair<SampleSlot, Sample>> collectSamples(const StepState &step);

/// \return progress, and the batch when it is sealed.
StepAnswer describe(const StepState &step);

} // namespace geraniumpulley::core
