#pragma once

#include <geraniumpulley/core/batch/batch_duty.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Deterministic simulation of nodes that run the batch duty, with a table service, engines and
/// scorers, on a virtual clock.
namespace geraniumpulley::core::test {

/// Probabilities of the simulated faults.
struct WorldFaults
{
    double lostAnswers = 0; ///< Store writes that are applied but not answered.
    double lateWrites = 0; ///< Unanswered writes that are applied 2 s late.
    double refusals = 0; ///< Store writes that are refused.
    double brokenRuns = 0; ///< Runs whose connection breaks halfway.
    double refusedRuns = 0;
    double failedScores = 0;
};

/// The rows of one batch in the table service.
struct StoredRows
{
    BatchHead head;
    std::shared_ptr<const BatchOrder> order;
    std::vector<ItemResult> results;
    std::map<std::uint32_t, PartialText> partials;
};

/// The simulation of one test. Every random choice follows from the seed.
class BatchWorld
{
public:
    BatchWorld(std::uint64_t seed, std::size_t nodes);

    WorldFaults faults;

    [[nodiscard]] Time now() const { return this->time; }
    /// Advances the clock and runs the events that are due in between.
    void runFor(Duration duration);

    void submit(std::size_t node, const std::shared_ptr<const BatchOrder> &spec);
    void end(std::size_t node, const BatchId &batch);
    /// Requests results. The test fails if a position has another result than in an earlier answer.
    void read(std::size_t node, const BatchId &batch, std::uint64_t firstPosition,
              Duration maxWait = {});
    void readBody(std::size_t node, const BatchId &batch, const ItemId &item);
    /// Kills the process of a node and starts it again, without its state, after the down-time.
    void restart(std::size_t node, Duration downtime);
    void drain(std::size_t node);

    [[nodiscard]] const StoredRows *stored(const BatchId &batch) const;
    /// \return whether each item has exactly one result, completed with the text, version and score
    /// that are expected for its id.
    [[nodiscard]] bool isWhole(const BatchId &batch) const;
    [[nodiscard]] BatchState &state(std::size_t node) { return this->nodes[node].state; }

    std::map<BatchId, std::vector<SubmitVerdict>> verdicts;
    std::map<BatchId, std::vector<ReadVerdict>> ends;
    std::vector<AnswerResults> reads;
    std::vector<AnswerItemBody> bodies;
    std::map<BatchId, std::uint32_t> runs; ///< Number of runs started, by batch.
    std::map<BatchId, Time> lastRun; ///< Start of the last run, by batch.
    std::vector<OwnershipChanged> changes;
    std::uint32_t takeovers = 0;

    /// \return a batch of `groups` groups with `groupSize` items each.
    static std::shared_ptr<const BatchOrder> makeOrder(const std::string &id, std::uint32_t groups,
                                                       std::uint32_t groupSize);
    /// \return the text of one event. It depends on the item and number only, so that resumed texts
    /// can be checked.
    static std::string eventText(const ItemId &item, std::uint64_t eventId);
    /// \return the number of events in the complete text of an item.
    static std::uint64_t eventCount(const ItemId &item);

private:
    /// An event on the virtual clock.
    struct Scheduled
    {
        Time at;
        std::uint64_t order = 0; ///< Sequence number, which orders events of the same time.
        std::function<void()> act;

        bool operator>(const Scheduled &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    /// A node with the state of its process.
    struct WorldNode
    {
        Node self;
        BatchState state;
        Presence presence;
        std::uint64_t beats = 0;
        bool up = true;
        std::optional<Time> armed; ///< Time of the next scheduled tick.
    };

    void schedule(Duration delay, std::function<void()> action);
    /// Passes an event to a node and performs the resulting actions.
    void deliver(std::size_t node, const BatchEvent &event);
    /// Delivers an event later, unless the node has restarted by then.
    void deliverAfter(std::size_t node, Duration delay, BatchEvent event);
    void perform(std::size_t node, const BatchAction &action);
    void start(std::size_t node);
    /// Schedules the next tick that a node requires.
    void tick(std::size_t node);
    /// Sends a node's heartbeat to all nodes, now and periodically.
    void beat(std::size_t node);
    /// Publishes the current rows to a node as its directory, now and periodically.
    void publish(std::size_t node);
    /// Applies a store write and delivers the answer, subject to the faults of the store.
    /// \param unanswered the event for a write without an answer.
    /// \param apply applies the write, unless it was refused, and returns the answer.
    void write(std::size_t node, const BatchEvent &unanswered,
               const std::function<BatchEvent(bool accepted)> &apply);
    void storeSubmission(std::size_t node, const StoreSubmission &action);
    void storeResults(std::size_t node, const StoreResults &action);
    void storeHead(std::size_t node, const StoreHead &action);
    /// Simulates the answer of an engine to a run.
    void run(std::size_t node, const StartRun &action);
    /// Records an answer and compares its results with those of earlier answers.
    void noteResults(const AnswerResults &answer);
    /// \return true with the given probability.
    bool chance(double probability);

    std::mt19937_64 random;
    Time time{std::chrono::seconds(1000)};
    std::uint64_t scheduled = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue;
    std::vector<WorldNode> nodes;
    std::map<BatchId, StoredRows> rows;
    std::uint64_t version = 0;
    std::uint64_t nextReply = 1;
    std::map<std::pair<std::size_t, std::uint64_t>, bool> cancelled; ///< Cancelled runs, by node.
    /// Results read so far, by batch and position.
    std::map<BatchId, std::map<std::uint64_t, ItemResult>> seen;
    std::shared_ptr<const RoutingTable> routing;
    std::shared_ptr<const TargetMap> targets;
};

} // namespace geraniumpulley::core::test
