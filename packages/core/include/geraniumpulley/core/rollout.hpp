#pragma once

#include <geraniumpulley/core/configuration.hpp>
#include <geraniumpulley/core/engine_report.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/lease.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/core/view.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the rollout duty: how a trainer's step becomes a whole, labelled, scored batch.
namespace geraniumpulley::core {

struct StepId
{
    TrainerName trainer;
    std::uint64_t step = 0;

    auto operator<=>(const StepId &) const = default;
};

/// Tokens [first, last) of a sample that one engine process made with one weight version.
struct VersionSpan
{
    WeightVersion version{};
    std::string incarnation; ///< Of the engine process.
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    auto operator<=>(const VersionSpan &) const = default;
};

/// The place of one sample in its step.
struct SampleSlot
{
    StepId step;
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const SampleSlot &) const = default;
};

struct Sample
{
    std::string text;
    std::vector<VersionSpan> spans;
    double reward = 0;
};

/// What a trainer asks for.
struct StepOrder
{
    StepId id;
    std::vector<std::string> prompts; ///< One for each group.
    std::uint32_t groupSize = 1;
    std::uint32_t maxTokens = 256;
    WeightVersion trainerVersion{};
};

enum class StepVerdict {
    Running,
    Ready, ///< `samples` holds the whole batch.
    Acknowledged,
    Differs, ///< The step was opened before with another order.
    UnknownStep,
    UnknownTrainer,
    NotReady,
    OwnerLost,
};

struct StepAnswer
{
    StepVerdict verdict = StepVerdict::Running;
    std::uint64_t finished = 0; ///< Samples generated and scored so far.
    std::uint64_t total = 0;
    std::vector<std::pair<SampleSlot, Sample>> samples = {}; ///< In slot order; only when ready.
};

// Requests of trainers

struct OpenStep
{
    StepOrder order;
};
struct FetchStep
{
    StepId id;
};
struct AcknowledgeStep
{
    StepId id;
};
using StepRequest = std::variant<OpenStep, FetchStep, AcknowledgeStep>;

/// \return the trainer that a request belongs to.
const TrainerName &trainerOf(const StepRequest &request);

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
struct SampleGenerated
{
    SampleSlot slot;
    std::string text;
    std::vector<VersionSpan> spans;
};
struct GenerationFailed
{
    SampleSlot slot;
};
struct SampleScored
{
    SampleSlot slot;
    double reward = 0;
};
struct ScoringFailed
{
    SampleSlot slot;
};
struct BatchStored
{
    StepId id;
};
struct BatchStoreFailed
{
    StepId id;
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

using RolloutEvent = std::variant<StepRequested, StepPeerAnswered, SampleGenerated,
                                  GenerationFailed, SampleScored, ScoringFailed, BatchStored,
                                  BatchStoreFailed, RolloutConfigurationChanged, RolloutViewChanged,
                                  RolloutLeasesChanged, RolloutEnginesChanged, RolloutTick>;

// Actions

struct Generate
{
    SampleSlot slot;
    Target target;
    std::string prompt;
    std::uint32_t maxTokens = 0;
};
struct Score
{
    SampleSlot slot;
    Target target;
    std::string prompt;
    std::string text;
};
struct StoreBatch
{
    StepId id;
    std::vector<std::pair<SampleSlot, Sample>> samples;
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

using RolloutAction = std::variant<Generate, Score, StoreBatch, ForwardStep, AnswerStep>;

enum class SlotPhase { Waiting, Generating, Unscored, Scoring, Done };

struct SlotState
{
    SlotPhase phase = SlotPhase::Waiting;
    TargetId target;
    Sample sample;
};

enum class StepPhase { Filling, Storing, Sealed, Acknowledged };

struct StepState
{
    StepOrder order;
    StepPhase phase = StepPhase::Filling;
    std::map<SampleSlot, SlotState> slots;
};

struct RolloutState
{
    NodeId self;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    LeaseTablePointer leases;
    EngineReportsPointer engines;
    std::map<StepId, StepState> steps;
    std::map<TargetId, std::uint32_t> load; ///< Requests of this node at each engine or scorer.
    std::map<OperationId, ReplyToken> forwarded;
    OperationId nextOperation{1};
};

/// \return the state of a node without configuration; it answers every trainer as not ready.
RolloutState makeRolloutState(NodeId self);

/// Takes one event and returns what has to be done about it.
/// Complexity: linear in the slots of open steps and in targets.
std::vector<RolloutAction> step(RolloutState &state, const RolloutEvent &event, Time now);

} // namespace geraniumpulley::core
