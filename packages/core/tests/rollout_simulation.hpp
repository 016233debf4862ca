#pragma once

#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// Simulation of nodes, engines, a store and a scorer on a virtual clock, driven by one seed.
///
/// Every generated token is a unique number. The simulation records the origin of each token, which
/// allows a batch to be validated token by token, independently of the code under test.
namespace rollout_simulation {

using namespace geraniumpulley::core;

/// A simulated engine; its incarnation changes with each crash.
struct FakeEngine
{
    Target target;
    std::uint64_t version = 1;
    std::uint64_t incarnation = 1;
};

/// A generation in progress at an engine.
struct FakeStream
{
    std::size_t node = 0;
    std::uint64_t nodeIncarnation = 0; ///< Incarnation of the node that started the generation.
    std::size_t engine = 0;
    Generate request;
    std::uint64_t generatedTokens = 0; ///< Tokens generated so far, including resumed ones.
    std::uint64_t totalTokens = 0; ///< Tokens of the complete sample.
};

/// The slot, the engine process and the version that a token belongs to.
struct TokenOrigin
{
    SampleSlot slot;
    std::uint64_t version = 0;
    std::string incarnation;
    std::uint64_t position = 0; ///< Position of the token in its sample.
};

/// A simulated node with its queue of undelivered events.
struct FakeNode
{
    RolloutState state;
    std::uint64_t incarnation = 1; ///< Number of the current process start.
    bool paused = false; ///< The node handles no events.
    std::deque<RolloutEvent> inbox;
};

/// Faults that the store applies to its calls.
struct StoreFaults
{
    bool down = false; ///< The store answers no calls.
    unsigned requestLossPercent = 0; ///< Percentage of calls lost before they take effect.
    unsigned answerLossPercent = 0; ///< Percentage of answers lost after the call took effect.
    unsigned delayPercent = 0; ///< Percentage of calls that take effect after the caller's timeout.
};

/// Runs nodes, engines and the store against each other.
class Simulation
{
public:
    Simulation(std::uint32_t seed, std::size_t nodeCount, std::size_t engineCount);

    /// Advances the clock: engines generate tokens, events are delivered and timers fire.
    void run(Duration duration);
    /// Runs until the condition holds. \return false when it does not hold within `timeout`.
    bool runUntil(const std::function<bool()> &condition, Duration timeout);

    /// Sends a trainer's request to a node. \return the key of its later entry in `answers`.
    ReplyToken sendRequest(std::size_t node, StepRequest request);

    /// Restarts an engine with the given version; its generations fail.
    void crashEngine(std::size_t engine, std::uint64_t versionAfter);
    /// Makes a node the holder of every shard. Only running nodes receive the new lease table.
    void moveLeases(std::size_t holder);
    /// Restarts a node's process, which loses its state and its undelivered events.
    void restartNode(std::size_t node);
    /// Resumes a paused node, which receives the current lease table only after a delay.
    void resume(std::size_t node);

    /// \return a description of the first defect of a batch, or "" when the batch is complete,
    /// correctly labelled and within the staleness bound.
    std::string validateBatch(const StepSpec &spec, const StepAnswer &batch,
                              std::uint64_t trainerVersion, std::uint64_t bound) const;

    std::mt19937 random;
    Time now{std::chrono::hours(1)};
    std::vector<FakeNode> nodes;
    std::vector<FakeEngine> engines;
    StoreFaults storeFaults;
    std::map<ReplyToken, StepAnswer> answers;
    std::map<StepId, std::vector<StepRecord>> recordLog;
    std::map<std::uint64_t, TokenOrigin> tokenOrigins; ///< Origin of every generated token.
    std::uint64_t appendCount = 0; ///< Number of committed records.
    std::uint64_t maxSampleTokens = 40; ///< Maximum length of a sample in tokens.

private:
    void deliver(std::size_t node, const RolloutEvent &event);
    void perform(std::size_t node, Generate &&action);
    void perform(std::size_t node, CancelGeneration &&action);
    void perform(std::size_t node, Score &&action);
    void perform(std::size_t node, ListSteps &&action);
    void perform(std::size_t node, LoadStep &&action);
    void perform(std::size_t node, AppendRecord &&action);
    void perform(std::size_t node, ReadRecord &&action);
    void perform(std::size_t node, ForwardStep &&action);
    void perform(std::size_t node, AnswerStep &&action);
    AppendOutcome append(const AppendRecord &action);
    void applyDelayedAppends();
    void publishDelayedLeases();
    void advanceStreams();
    void publishLeases(std::size_t node);
    bool randomChance(unsigned percent) { return this->random() % 100 < percent; }

    std::vector<FakeStream> streams;
    std::vector<AppendRecord> delayedAppends; ///< Appends that may still take effect.
    std::set<std::size_t> nodesAwaitingLeases; ///< Resumed nodes without the current leases.
    std::map<TrainerName, std::set<std::uint64_t>> openStepIndex;
    std::shared_ptr<Configuration> configuration;
    std::shared_ptr<View> view;
    std::uint64_t fence = 1;
    std::size_t holder = 0;
    std::uint64_t nextToken = 1;
    std::uint64_t nextReply = 1;
    std::map<ReplyToken, std::pair<std::size_t, OperationId>> peerReplies;
};

} // namespace rollout_simulation
