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

/// Nodes that run the batch duty, a table service, engines and scorers on one virtual clock.
namespace geraniumpulley::core::test {

struct WorldFaults
{
    double lostAnswers = 0; ///< Share of the store's writes that are done and not answered.
    double lateWrites = 0; ///< Share of those whose write is done seconds later.
    double refusals = 0; ///< Share of the store's calls that are refused.
    double brokenRuns = 0; ///< Share of runs that break off in the middle.
    double refusedRuns = 0;
    double failedScores = 0;
};

/// What the table service holds of one batch.
struct StoredRows
{
    BatchHead head;
    std::shared_ptr<const BatchOrder> order;
    std::vector<ItemResult> results;
    std::map<std::uint32_t, PartialText> partials;
};

class BatchWorld
{
public:
    BatchWorld(std::uint64_t seed, std::size_t nodes);

    WorldFaults faults;

    [[nodiscard]] Time now() const { return this->time; }
    /// Runs everything that is due within a span of time.
    void runFor(Duration span);

    void submit(std::size_t node, const std::shared_ptr<const BatchOrder> &order);
    void end(std::size_t node, const BatchId &batch);
    /// Reads results and notes them; a result that differs from an earlier one fails the test.
    void read(std::size_t node, const BatchId &batch, std::uint64_t after, Duration wait = {});
    void readBody(std::size_t node, const BatchId &batch, const ItemId &item);
    /// Kills the process of a node; it starts again with nothing in memory.
    void restart(std::size_t node, Duration downFor);
    void drain(std::size_t node);

    [[nodiscard]] const StoredRows *stored(const BatchId &batch) const;
    /// \return whether all items are listed, once each, completed with the text and score that
    /// they have by their ids.
    [[nodiscard]] bool isWhole(const BatchId &batch) const;
    [[nodiscard]] BatchState &state(std::size_t node) { return this->nodes[node].state; }

    std::map<BatchId, std::vector<SubmitVerdict>> verdicts;
    std::map<BatchId, std::vector<ReadVerdict>> ends;
    std::vector<AnswerResults> reads;
    std::vector<AnswerItemBody> bodies;
    std::map<BatchId, std::uint32_t> runs; ///< Started, by batch.
    std::map<BatchId, Time> lastRun; ///< When a run was started last.
    std::vector<OwnershipChanged> changes;
    std::uint32_t takeovers = 0;

    /// \return a batch of `groups` times `size` items.
    static std::shared_ptr<const BatchOrder> makeOrder(const std::string &id, std::uint32_t groups,
                                                       std::uint32_t size);
    /// \return the event of an item's text; deterministic, so that resumed texts can be checked.
    static std::string eventText(const ItemId &item, std::uint64_t number);
    static std::uint64_t eventCount(const ItemId &item);

private:
    struct Scheduled
    {
        Time at;
        std::uint64_t order = 0;
        std::function<void()> act;

        bool operator>(const Scheduled &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    struct WorldNode
    {
        Node self;
        BatchState state;
        Presence presence;
        std::uint64_t beats = 0;
        bool up = true;
        std::optional<Time> armed; ///< When its next tick comes.
    };

    void schedule(Duration after, std::function<void()> act);
    void deliver(std::size_t node, const BatchEvent &event);
    void deliverAfter(std::size_t node, Duration after, BatchEvent event);
    void perform(std::size_t node, const BatchAction &action);
    void start(std::size_t node);
    void tick(std::size_t node);
    void beat(std::size_t node);
    void publish(std::size_t node);
    /// Applies a write and reports it, with the faults of the store.
    /// \param unanswered tells the node that no answer came.
    void write(std::size_t node, const BatchEvent &unanswered,
               const std::function<BatchEvent(bool reached)> &apply);
    void storeSubmission(std::size_t node, const StoreSubmission &order);
    void storeResults(std::size_t node, const StoreResults &order);
    void storeHead(std::size_t node, const StoreHead &order);
    void run(std::size_t node, const StartRun &order);
    void noteResults(const AnswerResults &answer);
    bool chance(double share);

    std::mt19937_64 random;
    Time time{std::chrono::seconds(1000)};
    std::uint64_t scheduled = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue;
    std::vector<WorldNode> nodes;
    std::map<BatchId, StoredRows> rows;
    std::uint64_t version = 0;
    std::uint64_t nextReply = 1;
    std::map<std::pair<std::size_t, std::uint64_t>, bool> cancelled; ///< Runs, by node.
    std::map<BatchId, std::map<std::uint64_t, ItemResult>> seen;
    std::shared_ptr<const RoutingTable> routing;
    std::shared_ptr<const TargetMap> targets;
};

} // namespace geraniumpulley::core::test
