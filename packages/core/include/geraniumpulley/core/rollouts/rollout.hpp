#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/engines/engine_report.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/rollouts/placement.hpp>
#include <geraniumpulley/core/rollouts/sample.hpp>
#include <geraniumpulley/core/rollouts/step_record.hpp>
#include <geraniumpulley/core/rollouts/step_state.hpp>
#include <geraniumpulley/core/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the rollout duty: how a trainer's step becomes a whole, labelled, scored batch.
namespace geraniumpulley::core {

// Events

struct StepRequested
{
    ReplyToken reply{};
    StepRequest request;
    bool forwarded = false; ///< Came from another node, which chose this one.
};
struct StepPeerAnswered
{
    OperationId operation{};
    StepAnswer answer;
};
/// Tokens that an engine has added to a sample.
struct SampleProgressed
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    std::string text;
    std::vector<VersionSpan> spans; ///< Counted from the first token of this attempt.
};
/// The engine's end mark has come.
struct SampleGenerated
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    std::uint64_t tokens = 0; ///< Of the whole sample, as the engine counts them.
};
struct GenerationFailed
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
};
struct SampleScored
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    double reward = 0;
};
struct ScoringFailed
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
};
/// The trainer's open steps, as the store lists them.
struct StepsListed
{
    TrainerName trainer;
    bool answered = false; ///< False when the store could not be read.
    std::vector<std::uint64_t> steps;
};
struct StepLoaded
{
    StepId id;
    bool answered = false; ///< False when the log could not be read whole.
    std::vector<StepRecord> records;
};
enum class AppendOutcome {
    Committed,
    Refused, ///< The number is taken or the lease is gone.
    Unknown,
};
struct RecordAppended
{
    StepId id;
    std::string writeId;
    AppendOutcome outcome = AppendOutcome::Unknown;
};
struct RecordRead
{
    StepId id;
    std::string writeId; ///< Of the record that was asked about.
    bool answered = false;
    std::string foundWriteId; ///< Empty when the number is free.
};
struct RolloutConfigurationChanged
{
    std::shared_ptr<const Configuration> configuration;
};
struct RolloutViewChanged
{
    ViewPointer view;
};
struct RolloutLeasesChanged
{
    LeaseTablePointer leases;
};
struct RolloutEnginesChanged
{
    EngineReportsPointer engines;
};
struct RolloutTick
{
};

using RolloutEvent =
        std::variant<StepRequested, StepPeerAnswered, SampleProgressed, SampleGenerated,
                     GenerationFailed, SampleScored, ScoringFailed, StepsListed, StepLoaded,
                     RecordAppended, RecordRead, RolloutConfigurationChanged, RolloutViewChanged,
                     RolloutLeasesChanged, RolloutEnginesChanged, RolloutTick>;

// Actions

struct Generate
{
    SampleSlot slot;
    Target target;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t attempt = 0;
    std::string resumeText = {}; ///< What earlier attempts made; the engine goes on from there.
    std::uint64_t resumeTokens = 0;
};
/// Stops a generation whose sample no step needs any more.
struct CancelGeneration
{
    SampleSlot slot;
    Target target;
    std::uint32_t attempt = 0;
};
struct Score
{
    SampleSlot slot;
    Target target;
    std::string prompt;
    std::string text;
    std::uint32_t attempt = 0;
};
struct ListSteps
{
    TrainerName trainer;
};
struct LoadStep
{
    StepId id;
};
/// Appends a record to a step's log in one transaction: it commits only when the number is free
/// and, with a fence, the shard's lease is still this node's.
struct AppendRecord
{
    StepId id;
    std::uint64_t number = 0;
    StepRecord record;
    Shard shard;
    std::optional<FencingNumber> fence;
    std::optional<std::set<std::uint64_t>> openSteps; ///< The trainer's new list, if it changes.
};
/// Reads back a record after an append whose effect is not known.
struct ReadRecord
{
    StepId id;
    std::uint64_t number = 0;
    std::string writeId;
};
struct ForwardStep
{
    OperationId operation{};
    Node node;
    StepRequest request;
};
struct AnswerStep
{
    ReplyToken reply{};
    StepAnswer answer;
    bool forwarded = false; ///< The asker is another node, not a trainer's connection.
};

using RolloutAction = std::variant<Generate, CancelGeneration, Score, ListSteps, LoadStep,
                                   AppendRecord, ReadRecord, ForwardStep, AnswerStep>;

/// A trainer whose steps this node owns.
struct OwnedTrainer
{
    std::optional<FencingNumber> fence; ///< None while no lease table has come.
    bool listed = false; ///< `openSteps` was read from the store; nothing is appended before.
    bool listing = false;
    std::set<std::uint64_t> openSteps;
    bool lost = false; ///< The store has refused `fence`; nothing is done until another comes.
    bool indexBusy = false; ///< An append that changes the list is on its way.
};

/// A request to an engine or scorer that has not ended.
struct OpenRequest
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    bool scores = false;

    auto operator<=>(const OpenRequest &) const = default;
};

struct RolloutState
{
    NodeId self;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    LeaseTablePointer leases;
    EngineReportsPointer engines;
    std::string writer; ///< Unique for each start of a process; begins its write ids.
    std::uint64_t nextWrite = 1;
    std::map<TrainerName, OwnedTrainer> owned;
    std::map<StepId, StepState> steps;
    std::map<StepId, std::vector<StepRequested>> loading; ///< Requests that wait for a step's log.
    std::map<OpenRequest, TargetId> openRequests;
    EngineLoads loads; ///< Requests of this node at each engine and scorer, and its failures.
    std::map<OperationId, ReplyToken> forwarded;
    OperationId nextOperation{1};
};

/// \return the state of a node without configuration; it answers every trainer as not ready.
/// \param writer unique for each start of a process.
RolloutState makeRolloutState(NodeId self, std::string writer = "writer");

/// Takes one event and returns what has to be done about it.
/// Complexity: linear in open steps, groups and targets for each sample that starts; a change of
/// ownership or of the trainer's version is linear in the slots of its steps.
std::vector<RolloutAction> step(RolloutState &state, const RolloutEvent &event, Time now);

} // namespace geraniumpulley::core
