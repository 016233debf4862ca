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

/// Fake nodes, engines, store and trainer on a virtual clock, all driven by one seed.
///
/// Each token is a unique number, and the engines' ledger tells which version of which process
/// made it, so that a batch can be checked from outside, token by token.
namespace rollout_world {

using namespace geraniumpulley::core;

struct FakeEngine
{
    Target target;
    std::uint64_t version = 1;
    std::uint64_t incarnation = 1;
};

struct FakeStream
{
    std::size_t node = 0;
    std::uint64_t life = 0; ///< Of the node.
    std::size_t engine = 0;
    Generate order;
    std::uint64_t made = 0;
    std::uint64_t length = 0;
};

struct LedgerEntry
{
    SampleSlot slot;
    std::uint64_t version = 0;
    std::string incarnation;
    std::uint64_t position = 0; ///< In its sample.
};

struct FakeNode
{
    RolloutState state;
    std::uint64_t life = 1;
    bool frozen = false;
    std::deque<RolloutEvent> inbox;
};

/// What the store does with the next calls.
struct StoreFaults
{
    bool down = false;
    unsigned losesBefore = 0; ///< Percent of calls lost without effect.
    unsigned losesAfter = 0; ///< Percent of answers lost after the effect.
    unsigned delays = 0; ///< Percent of calls that take effect after they were given up.
};

class World
{
public:
    World(std::uint32_t seed, std::size_t nodeCount, std::size_t engineCount);

    /// Lets time pass: engines make tokens, messages arrive, ticks fall due.
    void run(Duration time);
    /// Runs until the condition holds. \return false when it does not within `limit`.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// A trainer's request at a node; the answer is in `answers` when it has come.
    ReplyToken ask(std::size_t node, StepRequest request);

    void crashEngine(std::size_t engine, std::uint64_t versionAfter);
    /// Makes another node the holder of every shard; only nodes that run hear of it.
    void moveLeases(std::size_t holder);
    void restartNode(std::size_t node);
    void thaw(std::size_t node);

    /// \return what is wrong with a batch, or "" when it is whole, truly labelled and fresh.
    std::string check(const StepOrder &order, const StepAnswer &batch, std::uint64_t trainerVersion,
                      std::uint64_t bound) const;

    std::mt19937 random;
    Time now{std::chrono::hours(1)};
    std::vector<FakeNode> nodes;
    std::vector<FakeEngine> engines;
    StoreFaults faults;
    std::map<ReplyToken, StepAnswer> answers;
    std::map<StepId, std::vector<StepRecord>> log;
    std::map<std::uint64_t, LedgerEntry> ledger;
    std::uint64_t appends = 0; ///< Records that took effect.
    std::uint64_t lengthLimit = 40;

private:
    void deliver(std::size_t node, const RolloutEvent &event);
    void perform(std::size_t node, Generate &&order);
    void perform(std::size_t node, CancelGeneration &&order);
    void perform(std::size_t node, Score &&order);
    void perform(std::size_t node, ListSteps &&order);
    void perform(std::size_t node, LoadStep &&order);
    void perform(std::size_t node, AppendRecord &&order);
    void perform(std::size_t node, ReadRecord &&order);
    void perform(std::size_t node, ForwardStep &&order);
    void perform(std::size_t node, AnswerStep &&order);
    AppendOutcome append(const AppendRecord &order);
    void landLateAppends();
    void informLate();
    void advanceStreams();
    void publish(std::size_t node);
    bool chance(unsigned percent) { return this->random() % 100 < percent; }

    std::vector<FakeStream> streams;
    std::vector<AppendRecord> lateAppends;
    std::set<std::size_t> uninformed; ///< Nodes that hear late of the leases.
    std::map<TrainerName, std::set<std::uint64_t>> index;
    std::shared_ptr<Configuration> configuration;
    std::shared_ptr<View> view;
    std::uint64_t fence = 1;
    std::size_t holder = 0;
    std::uint64_t nextToken = 1;
    std::uint64_t nextReply = 1;
    std::map<ReplyToken, std::pair<std::size_t, OperationId>> peerReplies;
};

} // namespace rollout_world
