#pragma once

#include <geraniumpulley/core/engines/engines.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Simulation of engines, a table and several owner nodes on a virtual clock. Delays and faults are
/// drawn from a seed.
namespace engine_world {

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

/// Size, timing and fault rates of a simulation.
struct WorldSettings
{
    std::size_t nodes = 10;
    std::size_t engines = 10;
    std::size_t dataCentres = 3;
    Duration loadTime = 2s; ///< Duration of a load from a weight store that is not overloaded.
    Duration copyTime = 1s; ///< Duration of a copy from another engine.
    Duration reportLag = 0s; ///< Age of the reports that engines return.
    double failing = 0; ///< Probability that a load fails half-way.
    std::uint64_t seed = 1;
    Service service;
};

/// A simulated engine.
struct EngineModel
{
    Target target;
    std::uint64_t version = 1;
    std::uint64_t starts = 1; ///< Number of the current process start.
    std::uint64_t highestFence = 0; ///< Highest fencing number of an accepted order.
    std::uint32_t inFlight = 0;
    bool alive = true;
    bool loading = false;
    bool fails = false; ///< Every load fails.
    std::uint32_t orders = 0; ///< Orders received.
    std::map<Time, EngineReport> history; ///< Reports by the time of the change they show.
};

/// A row of the simulated table.
struct Row
{
    std::string value;
    std::uint64_t version = 0;
};

/// A simulated owner node.
struct NodeModel
{
    Node node;
    EnginesState state;
    bool frozen = false; ///< The node handles no events.
    std::vector<EnginesEvent> waiting; ///< Events that arrived while the node was paused.
    EngineReportsPointer published; ///< The reports published last.
};

/// Runs nodes and engines against each other and counts violations.
class World
{
public:
    explicit World(WorldSettings newSettings)
        : settings(std::move(newSettings)), random(this->settings.seed)
    {
        this->settings.service.name = {"model"};
        this->settings.service.kind = ServiceKind::Model;
        auto newConfiguration = std::make_shared<Configuration>();
        newConfiguration->services.push_back(this->settings.service);
        this->configuration = newConfiguration;
        for (std::size_t i = 0; i < this->settings.nodes; ++i)
            this->addNode(i);
        for (std::size_t i = 0; i < this->settings.engines; ++i)
            this->addEngine(i);
        this->publishView();
    }

    /// Processes all events of the next `duration`.
    void runFor(Duration duration)
    {
        const Time end = this->now + duration;
        while (!this->queue.empty() && this->queue.begin()->first <= end) {
            auto next = this->queue.extract(this->queue.begin());
            this->now = std::max(this->now, next.key());
            next.mapped()();
        }
        this->now = end;
    }

    /// Runs until `condition` holds or `timeout` has passed. \return the simulated time that
    /// passed.
    Duration runUntil(const std::function<bool()> &condition, Duration timeout)
    {
        const Time begin = this->now;
        while (!condition() && this->now - begin < timeout)
            this->runFor(50ms);
        return this->now - begin;
    }

    /// Requests a new desired version at a node.
    void post(std::uint64_t version, std::size_t node = 0)
    {
        this->deliver(node, WeightsPosted{ReplyToken{version}, {"model"}, WeightVersion{version}});
    }

    /// \return the number of running engines that serve at least `version`.
    [[nodiscard]] std::size_t enginesAt(std::uint64_t version) const
    {
        return static_cast<std::size_t>(
                std::count_if(this->engines.begin(), this->engines.end(), [&](const auto &entry) {
                    return entry.second.alive && entry.second.version >= version;
                }));
    }

    /// Delivers the same view to all nodes; paused nodes are not part of it.
    void publishView()
    {
        auto view = std::make_shared<View>();
        for (const NodeModel &model : this->nodes) {
            if (!model.frozen)
                view->nodes.push_back(model.node);
        }
        for (const auto &[id, engine] : this->engines)
            view->targets.push_back(engine.target);
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->nodes[i].frozen)
                this->deliver(i, EnginesViewChanged{view});
        }
    }

    /// Resumes a paused node, which then handles the deferred events.
    void thaw(std::size_t index)
    {
        this->nodes[index].frozen = false;
        for (const EnginesEvent &event : std::exchange(this->nodes[index].waiting, {}))
            this->deliver(index, event);
    }

    /// Restarts an engine process with the given weight version.
    void restart(EngineModel &engine, std::uint64_t version)
    {
        engine.version = version;
        ++engine.starts;
        engine.loading = false;
        engine.history.clear();
        this->record(engine);
    }

    EngineModel &engine(std::size_t index)
    {
        return this->engines.at({"engine-" + std::to_string(index)});
    }

    /// \return the index of the node that owns an engine's group, or the number of nodes when none
    /// does.
    std::size_t ownerOfEngine(const TargetId &target)
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->nodes[i].frozen && this->nodes[i].state.engines.contains(target))
                return i;
        }
        return this->nodes.size();
    }

    /// Passes an event to a node and performs the resulting actions; defers it while the node is
    /// paused.
    void deliver(std::size_t index, const EnginesEvent &event)
    {
        NodeModel &model = this->nodes[index];
        if (model.frozen) {
            model.waiting.push_back(event);
            return;
        }
        for (EnginesAction &action : step(model.state, event, this->now)) {
            if (this->onAction)
                this->onAction(index, action);
            std::visit([&](auto &content) { this->perform(index, content); }, action);
        }
    }

    WorldSettings settings;
    std::mt19937_64 random;
    Time now{1h};
    std::vector<NodeModel> nodes;
    std::map<TargetId, EngineModel> engines;
    std::map<std::string, Row> table;
    bool tableDown = false;
    bool loseOrderAnswers = false;
    std::shared_ptr<const Configuration> configuration;
    std::function<void(std::size_t, const EnginesAction &)> onAction;
    std::vector<AnswerWeights> answers;
    // Observations at the engines and the weight store.
    std::size_t storeLoads = 0; ///< Loads from the weight store in progress.
    std::size_t mostStoreLoads = 0; ///< Maximum of `storeLoads`.
    std::size_t mostLoading = 0; ///< Maximum number of engines loading at the same time.
    std::size_t doubleOrders = 0; ///< Orders to an engine that was already loading.
    std::size_t loweringOrders = 0; ///< Orders for a version below the engine's.
    std::size_t givenUp = 0; ///< Reports of an engine as given up.

private:
    static constexpr Duration roundTrip = 5ms;
    static constexpr Duration tickPeriod = 250ms;

    void at(Duration delay, std::function<void()> action)
    {
        this->queue.emplace(this->now + delay, std::move(action));
    }

    Duration jittered(Duration duration)
    {
        std::uniform_real_distribution<double> factor(0.9, 1.1);
        return std::chrono::duration_cast<Duration>(duration * factor(this->random));
    }

    std::string dataCentre(std::size_t index) const
    {
        return "dc-" + std::to_string(index % this->settings.dataCentres);
    }

    void addNode(std::size_t index)
    {
        const std::string name = "node-" + std::to_string(index);
        NodeModel model;
        model.node = Node{{name}, name + ":1", this->dataCentre(index), 1};
        EnginesSettings nodeSettings;
        nodeSettings.self = model.node.id;
        nodeSettings.process = "p" + std::to_string(index);
        model.state = makeEnginesState(std::move(nodeSettings));
        this->nodes.push_back(std::move(model));
        this->deliver(index, EnginesConfigurationChanged{this->configuration});
        this->at(this->jittered(tickPeriod), [this, index] { this->tick(index); });
    }

    void tick(std::size_t index)
    {
        if (!this->nodes[index].frozen)
            this->deliver(index, EnginesTick{});
        this->at(this->jittered(tickPeriod), [this, index] { this->tick(index); });
    }

    void addEngine(std::size_t index)
    {
        const std::string name = "engine-" + std::to_string(index);
        EngineModel engine;
        engine.target = Target{{name}, {"model"}, name + ":1", this->dataCentre(index), false};
        this->record(engine);
        this->engines.emplace(engine.target.id, std::move(engine));
    }

    // Adds the engine's current state to its history. A poll returns the newest entry that is at
    // least `reportLag` old.
    void record(EngineModel &engine)
    {
        EngineReport report;
        report.target = engine.target.id;
        report.version = WeightVersion{engine.version};
        report.incarnation = "start-" + std::to_string(engine.starts);
        report.inFlight = engine.inFlight;
        report.swapping = engine.loading;
        engine.history[this->now] = report;
    }

    void perform(std::size_t index, const PollLoad &poll)
    {
        this->at(roundTrip, [this, index, id = poll.target.id] {
            EngineModel &engine = this->engines.at(id);
            if (!engine.alive)
                return this->deliver(index, LoadPollFailed{id});
            const Time measurementTime =
                    std::max(this->now - this->settings.reportLag, engine.history.begin()->first);
            EngineReport report = std::prev(engine.history.upper_bound(measurementTime))->second;
            report.sequence =
                    static_cast<std::uint64_t>(measurementTime.time_since_epoch().count());
            report.age = this->now - measurementTime;
            this->deliver(index, LoadHeard{report});
        });
    }

    void perform(std::size_t index, const OrderWeights &order)
    {
        this->at(roundTrip, [this, index, order] { this->takeOrder(index, order); });
    }

    void answerOrder(std::size_t index, const OrderWeights &order, WeightOrderResult result)
    {
        if (this->loseOrderAnswers)
            result = WeightOrderResult::Lost;
        this->deliver(index, WeightOrderAnswered{order.target.id, order.version, result});
    }

    void takeOrder(std::size_t index, const OrderWeights &order)
    {
        EngineModel &engine = this->engines.at(order.target.id);
        ++engine.orders;
        if (!engine.alive)
            return this->answerOrder(index, order, WeightOrderResult::Failed);
        if (this->settings.service.checksFencing && number(order.fence) < engine.highestFence)
            return this->answerOrder(index, order, WeightOrderResult::OldFence);
        engine.highestFence = std::max(engine.highestFence, number(order.fence));
        this->loweringOrders += number(order.version) < engine.version ? 1 : 0;
        if (engine.loading) {
            ++this->doubleOrders;
            return this->answerOrder(index, order, WeightOrderResult::Failed);
        }
        this->startLoad(index, order, engine);
    }

    void startLoad(std::size_t index, const OrderWeights &order, EngineModel &engine)
    {
        const bool fromStore = order.source.empty();
        Duration time = this->settings.copyTime;
        if (fromStore) {
            ++this->storeLoads;
            this->mostStoreLoads = std::max(this->mostStoreLoads, this->storeLoads);
            // More loads than configured share the store's bandwidth and take proportionally
            // longer.
            const double slowdown = static_cast<double>(this->storeLoads)
                                    / this->settings.service.weightLoadsAtOnce;
            time = std::chrono::duration_cast<Duration>(this->settings.loadTime
                                                        * std::max(1.0, slowdown));
        }
        engine.loading = true;
        this->record(engine);
        this->mostLoading = std::max(this->mostLoading, this->enginesLoading());
        std::uniform_real_distribution<double> probability;
        const bool fails = engine.fails || probability(this->random) < this->settings.failing;
        this->at(fails ? time / 2 : time, [this, index, order, fails, starts = engine.starts] {
            this->endLoad(index, order, fails, starts);
        });
    }

    void endLoad(std::size_t index, const OrderWeights &order, bool fails, std::uint64_t starts)
    {
        this->storeLoads -= order.source.empty() ? 1 : 0;
        EngineModel &engine = this->engines.at(order.target.id);
        if (!engine.alive || engine.starts != starts)
            return this->answerOrder(index, order, WeightOrderResult::Lost);
        engine.loading = false;
        if (!fails)
            engine.version = number(order.version);
        this->record(engine);
        this->answerOrder(index, order,
                          fails ? WeightOrderResult::Failed : WeightOrderResult::Done);
    }

    [[nodiscard]] std::size_t enginesLoading() const
    {
        return static_cast<std::size_t>(
                std::count_if(this->engines.begin(), this->engines.end(),
                              [](const auto &entry) { return entry.second.loading; }));
    }

    void perform(std::size_t index, const AskReports &ask)
    {
        this->at(roundTrip, [this, index, id = ask.node.id] {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->nodes[i].node.id == id && !this->nodes[i].frozen)
                    this->deliver(i, ReportsAsked{ReplyToken{index}});
            }
        });
    }

    void perform(std::size_t, const AnswerReports &answer)
    {
        this->deliver(number(answer.reply), PeerReportsHeard{answer.reports});
    }

    void perform(std::size_t index, const PublishReports &publish)
    {
        this->nodes[index].published = publish.reports;
    }

    void perform(std::size_t index, const CommitWeights &commit)
    {
        this->at(roundTrip, [this, index, commit] {
            if (this->tableDown)
                return;
            Row &row = this->table["weights"];
            if (row.version != commit.rowVersion)
                return this->perform(index, ReadWeights{commit.model});
            row = {std::to_string(number(commit.version)), row.version + 1};
            this->deliver(index, WeightsCommitted{commit.model, commit.version, row.version});
        });
    }

    void perform(std::size_t index, const ReadWeights &read)
    {
        this->at(roundTrip, [this, index, model = read.model] {
            if (this->tableDown)
                return;
            const Row &row = this->table["weights"];
            const std::uint64_t version = row.version == 0 ? 0 : std::stoull(row.value);
            this->deliver(index, WeightsRead{model, {WeightVersion{version}, row.version}});
        });
    }

    void perform(std::size_t, const AnswerWeights &answer) { this->answers.push_back(answer); }

    void perform(std::size_t, const SendDesiredWeights &send)
    {
        this->at(roundTrip, [this, send] {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->nodes[i].node.id == send.to.id)
                    this->deliver(i, DesiredWeightsHeard{send.model, send.version});
            }
        });
    }

    void perform(std::size_t index, const ReadGroupClaim &read)
    {
        this->at(roundTrip, [this, index, key = read.key] {
            if (this->tableDown)
                return this->deliver(index, GroupClaimUnread{key});
            const Row &row = this->table["engines/" + key];
            this->deliver(index, GroupClaimRead{key, row.value, row.version});
        });
    }

    void perform(std::size_t index, const WriteGroupClaim &write)
    {
        this->at(roundTrip, [this, index, write] {
            Row &row = this->table["engines/" + write.key];
            if (!this->tableDown && row.version == write.rowVersion)
                row = {write.claim, row.version + 1};
            this->perform(index, ReadGroupClaim{write.key});
        });
    }

    void perform(std::size_t, const EngineGivenUp &) { ++this->givenUp; }

    std::multimap<Time, std::function<void()>> queue;
};

} // namespace engine_world
