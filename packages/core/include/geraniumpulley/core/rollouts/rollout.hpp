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

/// Decision logic of the rollout duty, which turns a trainer's step into a complete batch of
/// labelled and scored samples.
namespace geraniumpulley::core {

// Events

/// A trainer's request, received directly or from another node.
struct StepRequested
{
    ReplyToken reply{};
    StepRequest request;
    bool forwarded = false; ///< Forwarded by a node that considers this one the owner.
};
/// The owner has answered a forwarded request.
struct ForwardedStepCompleted
{
    OperationId operation{};
    StepAnswer answer;
};
/// An engine has generated further tokens of a sample.
struct SampleProgressed
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    std::string text;
    std::vector<VersionSpan> spans; ///< Positions relative to the first token of this attempt.
};
/// An engine has sent the end marker of a sample.
struct SampleGenerated
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    std::uint64_t tokens = 0; ///< Length of the whole sample as counted by the engine.
};
/// A generation request ended without an end marker or was cancelled.
struct GenerationFailed
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
};
/// A scorer has returned the reward of a sample.
struct SampleScored
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    double reward = 0;
};
/// A scoring request ended without a reward.
struct ScoringFailed
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
};
/// The store has answered or failed to list a trainer's open steps.
struct StepsListed
{
    TrainerName trainer;
    bool succeeded = false; ///< False when the store could not be read.
    std::vector<std::uint64_t> steps;
};
/// The store has answered or failed to read the log of a step.
struct StepLoaded
{
    StepId id;
    bool succeeded = false; ///< False when the log could not be read completely.
    std::vector<StepRecord> records;
};
/// The result of an append to a step's log.
enum class AppendOutcome {
    Committed,
    Refused, ///< The record number is taken or the lease is no longer held.
    Unknown, ///< The append may or may not have taken effect.
};
/// An append has ended with the given outcome.
struct RecordAppended
{
    StepId id;
    std::string writeId;
    AppendOutcome outcome = AppendOutcome::Unknown;
};
/// A read-back of a record has ended.
struct RecordRead
{
    StepId id;
    std::string writeId; ///< Write id of the expected record.
    bool succeeded = false; ///< False when the store could not be read.
    std::string foundWriteId; ///< Write id of the stored record; empty when there is none.
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
/// A periodic timer has fired.
struct RolloutTick
{
};

using RolloutEvent =
        std::variant<StepRequested, ForwardedStepCompleted, SampleProgressed, SampleGenerated,
                     GenerationFailed, SampleScored, ScoringFailed, StepsListed, StepLoaded,
                     RecordAppended, RecordRead, RolloutConfigurationChanged, RolloutViewChanged,
                     RolloutLeasesChanged, RolloutEnginesChanged, RolloutTick>;

// Actions

/// Requests a sample, or the rest of one, from an engine.
struct Generate
{
    SampleSlot slot;
    Target target;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t attempt = 0;
    std::string resumeText = {}; ///< Text from earlier attempts that the engine continues.
    std::uint64_t resumeTokens = 0; ///< Number of tokens in `resumeText`.
};
/// Cancels a generation whose sample is no longer needed.
struct CancelGeneration
{
    SampleSlot slot;
    Target target;
    std::uint32_t attempt = 0;
};
/// Requests the reward of a sample from a scorer.
struct Score
{
    SampleSlot slot;
    Target target;
    std::string prompt;
    std::string text;
    std::uint32_t attempt = 0;
};
/// Reads the list of a trainer's open steps from the store.
struct ListSteps
{
    TrainerName trainer;
};
/// Reads the log of a step from the store.
struct LoadStep
{
    StepId id;
};
/// Appends a record to a step's log in one transaction, which commits only when the record number
/// is free and, if `fence` is set, this node still holds the lease of the shard.
struct AppendRecord
{
    StepId id;
    std::uint64_t recordNumber = 0;
    StepRecord record;
    Shard shard;
    std::optional<FencingToken> fence;
    std::optional<std::set<std::uint64_t>> openSteps; ///< New list of open steps, if it changes.
};
/// Reads a record back after an append whose outcome is uncertain.
struct ReadRecord
{
    StepId id;
    std::uint64_t recordNumber = 0;
    std::string writeId;
};
/// Forwards a request to the node that owns the trainer's steps.
struct ForwardStep
{
    OperationId operation{};
    Node node;
    StepRequest request;
};
/// Sends the answer to a request.
struct AnswerStep
{
    ReplyToken reply{};
    StepAnswer answer;
    bool forwarded = false; ///< The answer goes to another node instead of a trainer.
};

using RolloutAction = std::variant<Generate, CancelGeneration, Score, ListSteps, LoadStep,
                                   AppendRecord, ReadRecord, ForwardStep, AnswerStep>;

/// A trainer whose steps this node owns.
struct OwnedTrainer
{
    std::optional<FencingToken> fence; ///< Empty until a lease table has been received.
    bool stepsListed = false; ///< `openSteps` was read from the store; required before appending.
    bool listInFlight = false; ///< A read of `openSteps` from the store is in flight.
    std::set<std::uint64_t> openSteps; ///< Numbers of the steps that are not acknowledged.
    bool leaseLost = false; ///< The store refused `fence`; work resumes with a new fence.
    bool indexUpdateInFlight = false; ///< An append that changes `openSteps` is in flight.
};

/// Key of a request to an engine or scorer that has not ended.
struct InFlightRequest
{
    SampleSlot slot;
    std::uint32_t attempt = 0;
    bool isScoring = false; ///< A scoring request, not a generation request.

    auto operator<=>(const InFlightRequest &) const = default;
};

/// The state of the rollout duty on one node.
struct RolloutState
{
    NodeId self;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    LeaseTablePointer leases;
    EngineReportsPointer engines;
    std::string writerId; ///< Prefix of this process's write ids; unique per process start.
    std::uint64_t nextWriteNumber = 1; ///< Suffix of the next write id.
    std::map<TrainerName, OwnedTrainer> ownedTrainers; ///< Trainers whose steps this node owns.
    std::map<StepId, StepState> steps;
    /// Requests that wait for the log of their step.
    std::map<StepId, std::vector<StepRequested>> requestsAwaitingLog;
    /// Targets of the requests in flight.
    std::map<InFlightRequest, TargetId> inFlightRequests;
    EngineLoads engineLoads; ///< Requests and failures of this node at each engine and scorer.
    std::map<OperationId, ReplyToken> forwardedReplies; ///< Unanswered forwarded requests.
    OperationId nextOperation{1};
};

/// \return the state of a node without a configuration, which answers all requests with `NotReady`.
/// \param writer prefix of the write ids; must be unique per process start.
RolloutState makeRolloutState(NodeId self, std::string writer = "writer");

/// Applies one event to the state. \return the actions to perform in response.
/// Complexity: linear in open steps, groups and targets for each started sample; linear in the
/// slots of the affected steps for a change of ownership or of a trainer's version.
std::vector<RolloutAction> step(RolloutState &state, const RolloutEvent &event, Time now);

} // namespace geraniumpulley::core
