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
struct FaultRates
{
    double lostAnswerRate = 0; ///< Store writes that are applied but not answered.
    double lateWriteRate = 0; ///< Unanswered writes that are applied 2 s late.
    double refusalRate = 0; ///< Store writes that are refused.
    double brokenRunRate = 0; ///< Runs whose connection breaks halfway.
    double refusedRunRate = 0;
    double failedScoreRate = 0;
};

/// The rows of one batch in the table service.
struct StoredRows
{
    BatchHead head;
    std::shared_ptr<const BatchSpec> spec;
    std::vector<ItemResult> results;
    std::map<std::uint32_t, PartialText> partials;
};

/// The simulation of one test. Every random choice follows from the seed.
class BatchSimulation
{
public:
    BatchSimulation(std::uint64_t seed, std::size_t nodes);

    FaultRates faults;

    [[nodiscard]] Time now() const { return this->currentTime; }
    /// Advances the clock and runs the events that are due in between.
    void runFor(Duration duration);

    void submit(std::size_t node, const std::shared_ptr<const BatchSpec> &spec);
    void endBatch(std::size_t node, const BatchId &batch);
    /// Requests results. The test fails if a position has another result than in an earlier answer.
    void requestResults(std::size_t node, const BatchId &batch, std::uint64_t firstPosition,
                        Duration maxWait = {});
    void requestItemBody(std::size_t node, const BatchId &batch, const ItemId &item);
    /// Kills the process of a node and starts it again, without its state, after the downtime.
    void restart(std::size_t node, Duration downtime);
    void drain(std::size_t node);

    [[nodiscard]] const StoredRows *stored(const BatchId &batch) const;
    /// \return whether each item has exactly one result, completed with the text, version and score
    /// that are expected for its id.
    [[nodiscard]] bool isComplete(const BatchId &batch) const;
    [[nodiscard]] BatchState &state(std::size_t node) { return this->nodes[node].state; }

    std::map<BatchId, std::vector<SubmitVerdict>> submitVerdicts;
    std::map<BatchId, std::vector<ReadVerdict>> endVerdicts;
    std::vector<AnswerResults> resultAnswers;
    std::vector<AnswerItemBody> bodyAnswers;
    std::map<BatchId, std::uint32_t> startedRuns; ///< Number of runs started, by batch.
    std::map<BatchId, Time> lastRunAt; ///< Start of the last run, by batch.
    std::vector<OwnershipChanged> ownershipChanges;
    std::uint32_t takeoverCount = 0;
    std::uint32_t continuedRuns = 0; ///< Runs that continued a text.
    /// Runs that continued a text behind an event that their software has not generated.
    std::uint32_t joinedRuns = 0;

    /// \return a batch of `groups` groups with `groupSize` items each.
    static std::shared_ptr<const BatchSpec> makeSpec(const std::string &id, std::uint32_t groups,
                                                     std::uint32_t groupSize);
    /// \return the text of one event. It depends on the item and number only, so that resumed texts
    /// can be checked.
    static std::string eventText(const ItemId &item, std::uint64_t eventId);
    /// \return the number of events in the complete text of an item.
    static std::uint64_t eventCount(const ItemId &item);

private:
    /// An event on the virtual clock.
    struct ScheduledEvent
    {
        Time at;
        std::uint64_t sequence = 0; ///< Sequence number, which orders events of the same time.
        std::function<void()> action;

        bool operator>(const ScheduledEvent &other) const
        {
            return std::tie(this->at, this->sequence) > std::tie(other.at, other.sequence);
        }
    };

    /// A node with the state of its process.
    struct FakeNode
    {
        Node self;
        BatchState state;
        Presence presence;
        std::uint64_t sentHeartbeats = 0;
        bool isRunning = true;
        std::optional<Time> nextTickAt; ///< Time of the next scheduled tick.
    };

    void schedule(Duration delay, std::function<void()> action);
    /// Passes an event to a node and performs the resulting actions.
    void deliver(std::size_t node, const BatchEvent &event);
    /// Delivers an event later, unless the node has restarted by then.
    void deliverAfter(std::size_t node, Duration delay, BatchEvent event);
    void perform(std::size_t node, const BatchAction &action);
    void start(std::size_t node);
    /// Schedules the next tick that a node requires.
    void scheduleTick(std::size_t node);
    /// Sends a node's heartbeat to all nodes, now and periodically.
    void sendHeartbeat(std::size_t node);
    /// Publishes the current rows to a node as its directory, now and periodically.
    void publishDirectory(std::size_t node);
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
    void recordResults(const AnswerResults &answer);
    /// \return true with the given probability.
    bool randomChance(double probability);

    std::mt19937_64 random;
    Time currentTime{std::chrono::seconds(1000)};
    std::uint64_t scheduledCount = 0;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>>
            scheduledEvents;
    std::vector<FakeNode> nodes;
    std::map<BatchId, StoredRows> rows;
    std::uint64_t lastVersion = 0;
    std::uint64_t nextReply = 1;
    std::map<std::pair<std::size_t, std::uint64_t>, bool>
            cancelledRuns; ///< Cancelled runs, by node.
    /// Results read so far, by batch and position.
    std::map<BatchId, std::map<std::uint64_t, ItemResult>> knownResults;
    /// The software that has generated each event of an item.
    std::map<std::pair<ItemId, std::uint64_t>, std::set<SoftwareVersion>> generators;
    std::shared_ptr<const RoutingTable> routing;
    std::shared_ptr<const TargetMap> targets;
};

} // namespace geraniumpulley::core::test
