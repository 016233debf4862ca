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
namespace engine_simulation {

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

/// Size, timing and fault rates of a simulation.
struct SimulationSettings
{
    std::size_t nodes = 10;
    std::size_t engines = 10;
    std::size_t dataCentres = 3;
    Duration loadTime = 2s; ///< Duration of a load from a weight store that is not overloaded.
    Duration copyTime = 1s; ///< Duration of a copy from another engine.
    Duration reportLag = 0s; ///< Age of the reports that engines return.
    double loadFailureProbability = 0; ///< Probability that a load fails halfway.
    std::uint64_t seed = 1;
    Service service;
};

/// A simulated engine.
struct FakeEngine
{
    Target target;
    std::uint64_t version = 1;
    std::uint64_t startCount = 1; ///< Number of the current process start.
    std::uint64_t highestFence = 0; ///< Highest fencing token of an accepted order.
    std::uint32_t inFlight = 0;
    bool alive = true;
    bool loading = false;
    bool failsLoads = false; ///< Every load fails.
    std::uint32_t orderCount = 0; ///< Orders received.
    std::map<Time, EngineReport> reportHistory; ///< Reports by the time of the change they show.
};

/// A row of the simulated table.
struct TableRow
{
    std::string value;
    std::uint64_t version = 0;
};

/// A simulated owner node.
struct FakeNode
{
    Node node;
    EnginesState state;
    bool paused = false; ///< The node handles no events.
    std::vector<EnginesEvent> deferredEvents; ///< Events that arrived while the node was paused.
    EngineReportsPointer published; ///< The reports published last.
};

/// Runs nodes and engines against each other and counts violations.
class Simulation
{
public:
    explicit Simulation(SimulationSettings newSettings)
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
        while (!this->scheduledEvents.empty() && this->scheduledEvents.begin()->first <= end) {
            auto next = this->scheduledEvents.extract(this->scheduledEvents.begin());
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
    void postWeights(std::uint64_t version, std::size_t node = 0)
    {
        this->deliver(node, WeightsUpdateRequested{
                                    ReplyToken{version}, {"model"}, WeightVersion{version}});
    }

    /// \return the number of running engines that serve at least `version`.
    [[nodiscard]] std::size_t engineCountAt(std::uint64_t version) const
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
        for (const FakeNode &fakeNode : this->nodes) {
            if (!fakeNode.paused)
                view->nodes.push_back(fakeNode.node);
        }
        for (const auto &[id, engine] : this->engines)
            view->targets.push_back(engine.target);
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->nodes[i].paused)
                this->deliver(i, EnginesViewChanged{view});
        }
    }

    /// Resumes a paused node, which then handles the deferred events.
    void resume(std::size_t index)
    {
        this->nodes[index].paused = false;
        for (const EnginesEvent &event : std::exchange(this->nodes[index].deferredEvents, {}))
            this->deliver(index, event);
    }

    /// Restarts an engine process with the given weight version.
    void restart(FakeEngine &engine, std::uint64_t version)
    {
        engine.version = version;
        ++engine.startCount;
        engine.loading = false;
        engine.reportHistory.clear();
        this->recordReport(engine);
    }

    FakeEngine &engine(std::size_t index)
    {
        return this->engines.at({"engine-" + std::to_string(index)});
    }

    /// \return the index of the node that owns an engine's group, or the number of nodes when none
    /// does.
    std::size_t ownerOfEngine(const TargetId &target)
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->nodes[i].paused && this->nodes[i].state.engines.contains(target))
                return i;
        }
        return this->nodes.size();
    }

    /// Passes an event to a node and performs the resulting actions; defers it while the node is
    /// paused.
    void deliver(std::size_t index, const EnginesEvent &event)
    {
        FakeNode &fakeNode = this->nodes[index];
        if (fakeNode.paused) {
            fakeNode.deferredEvents.push_back(event);
            return;
        }
        for (EnginesAction &action : step(fakeNode.state, event, this->now)) {
            if (this->onAction)
                this->onAction(index, action);
            std::visit([&](auto &content) { this->perform(index, content); }, action);
        }
    }

    SimulationSettings settings;
    std::mt19937_64 random;
    Time now{1h};
    std::vector<FakeNode> nodes;
    std::map<TargetId, FakeEngine> engines;
    std::map<std::string, TableRow> table;
    bool tableDown = false;
    bool losesOrderAnswers = false;
    std::shared_ptr<const Configuration> configuration;
    std::function<void(std::size_t, const EnginesAction &)> onAction;
    std::vector<AnswerWeights> answers;
    // Observations at the engines and the weight store.
    std::size_t storeLoads = 0; ///< Loads from the weight store in progress.
    std::size_t maxStoreLoads = 0; ///< Maximum of `storeLoads`.
    std::size_t maxLoadingEngines = 0; ///< Maximum number of engines loading at the same time.
    std::size_t overlappingOrders = 0; ///< Orders to an engine that was already loading.
    std::size_t downgradeOrders = 0; ///< Orders for a version below the engine's.
    std::size_t enginesGivenUp = 0; ///< Reports of an engine as given up.

private:
    static constexpr Duration roundTrip = 5ms;
    static constexpr Duration tickPeriod = 250ms;

    void schedule(Duration delay, std::function<void()> action)
    {
        this->scheduledEvents.emplace(this->now + delay, std::move(action));
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
        FakeNode fakeNode;
        fakeNode.node = Node{{name}, name + ":1", this->dataCentre(index), 1};
        EnginesSettings nodeSettings;
        nodeSettings.self = fakeNode.node.id;
        nodeSettings.processIncarnation = "p" + std::to_string(index);
        fakeNode.state = makeEnginesState(std::move(nodeSettings));
        this->nodes.push_back(std::move(fakeNode));
        this->deliver(index, EnginesConfigurationChanged{this->configuration});
        this->schedule(this->jittered(tickPeriod), [this, index] { this->tick(index); });
    }

    void tick(std::size_t index)
    {
        if (!this->nodes[index].paused)
            this->deliver(index, EnginesTick{});
        this->schedule(this->jittered(tickPeriod), [this, index] { this->tick(index); });
    }

    void addEngine(std::size_t index)
    {
        const std::string name = "engine-" + std::to_string(index);
        FakeEngine engine;
        engine.target = Target{{name}, {"model"}, name + ":1", this->dataCentre(index), false};
        this->recordReport(engine);
        this->engines.emplace(engine.target.id, std::move(engine));
    }

    // Adds the engine's current state to its history. A poll returns the newest entry that is at
    // least `reportLag` old.
    void recordReport(FakeEngine &engine)
    {
        EngineReport report;
        report.target = engine.target.id;
        report.version = WeightVersion{engine.version};
        report.incarnation = "start-" + std::to_string(engine.startCount);
        report.inFlight = engine.inFlight;
        report.swapping = engine.loading;
        engine.reportHistory[this->now] = report;
    }

    void perform(std::size_t index, const PollLoad &poll)
    {
        this->schedule(roundTrip, [this, index, id = poll.target.id] {
            FakeEngine &engine = this->engines.at(id);
            if (!engine.alive)
                return this->deliver(index, LoadPollFailed{id});
            const Time measurementTime = std::max(this->now - this->settings.reportLag,
                                                  engine.reportHistory.begin()->first);
            EngineReport report =
                    std::prev(engine.reportHistory.upper_bound(measurementTime))->second;
            report.sequence =
                    static_cast<std::uint64_t>(measurementTime.time_since_epoch().count());
            report.age = this->now - measurementTime;
            this->deliver(index, LoadReportReceived{report});
        });
    }

    void perform(std::size_t index, const OrderWeights &order)
    {
        this->schedule(roundTrip, [this, index, order] { this->receiveOrder(index, order); });
    }

    void answerOrder(std::size_t index, const OrderWeights &order, WeightOrderResult result)
    {
        if (this->losesOrderAnswers)
            result = WeightOrderResult::Lost;
        this->deliver(index, WeightOrderCompleted{order.target.id, order.version, result});
    }

    void receiveOrder(std::size_t index, const OrderWeights &order)
    {
        FakeEngine &engine = this->engines.at(order.target.id);
        ++engine.orderCount;
        if (!engine.alive)
            return this->answerOrder(index, order, WeightOrderResult::Failed);
        if (this->settings.service.checksFencing && number(order.fence) < engine.highestFence)
            return this->answerOrder(index, order, WeightOrderResult::StaleFencingToken);
        engine.highestFence = std::max(engine.highestFence, number(order.fence));
        this->downgradeOrders += number(order.version) < engine.version ? 1 : 0;
        if (engine.loading) {
            ++this->overlappingOrders;
            return this->answerOrder(index, order, WeightOrderResult::Failed);
        }
        this->startLoad(index, order, engine);
    }

    void startLoad(std::size_t index, const OrderWeights &order, FakeEngine &engine)
    {
        const bool fromStore = order.source.empty();
        Duration time = this->settings.copyTime;
        if (fromStore) {
            ++this->storeLoads;
            this->maxStoreLoads = std::max(this->maxStoreLoads, this->storeLoads);
            // More loads than configured share the store's bandwidth and take proportionally
            // longer.
            const double slowdown = static_cast<double>(this->storeLoads)
                                    / this->settings.service.maxConcurrentWeightLoads;
            time = std::chrono::duration_cast<Duration>(this->settings.loadTime
                                                        * std::max(1.0, slowdown));
        }
        engine.loading = true;
        this->recordReport(engine);
        this->maxLoadingEngines = std::max(this->maxLoadingEngines, this->loadingEngineCount());
        std::uniform_real_distribution<double> probability;
        const bool fails = engine.failsLoads
                           || probability(this->random) < this->settings.loadFailureProbability;
        this->schedule(fails ? time / 2 : time,
                       [this, index, order, fails, starts = engine.startCount] {
                           this->finishLoad(index, order, fails, starts);
                       });
    }

    void finishLoad(std::size_t index, const OrderWeights &order, bool fails, std::uint64_t starts)
    {
        this->storeLoads -= order.source.empty() ? 1 : 0;
        FakeEngine &engine = this->engines.at(order.target.id);
        if (!engine.alive || engine.startCount != starts)
            return this->answerOrder(index, order, WeightOrderResult::Lost);
        engine.loading = false;
        if (!fails)
            engine.version = number(order.version);
        this->recordReport(engine);
        this->answerOrder(index, order,
                          fails ? WeightOrderResult::Failed : WeightOrderResult::Done);
    }

    [[nodiscard]] std::size_t loadingEngineCount() const
    {
        return static_cast<std::size_t>(
                std::count_if(this->engines.begin(), this->engines.end(),
                              [](const auto &entry) { return entry.second.loading; }));
    }

    void perform(std::size_t index, const RequestReports &request)
    {
        this->schedule(roundTrip, [this, index, id = request.node.id] {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->nodes[i].node.id == id && !this->nodes[i].paused)
                    this->deliver(i, ReportsRequested{ReplyToken{index}});
            }
        });
    }

    void perform(std::size_t, const SendReports &answer)
    {
        this->deliver(number(answer.reply), PeerReportsReceived{answer.reports});
    }

    void perform(std::size_t index, const PublishReports &publish)
    {
        this->nodes[index].published = publish.reports;
    }

    void perform(std::size_t index, const CommitWeights &commit)
    {
        this->schedule(roundTrip, [this, index, commit] {
            if (this->tableDown)
                return;
            TableRow &row = this->table["weights"];
            if (row.version != commit.rowVersion)
                return this->perform(index, ReadWeights{commit.model});
            row = {std::to_string(number(commit.version)), row.version + 1};
            this->deliver(index, WeightsCommitted{commit.model, commit.version, row.version});
        });
    }

    void perform(std::size_t index, const ReadWeights &read)
    {
        this->schedule(roundTrip, [this, index, model = read.model] {
            if (this->tableDown)
                return;
            const TableRow &row = this->table["weights"];
            const std::uint64_t version = row.version == 0 ? 0 : std::stoull(row.value);
            this->deliver(index, WeightsRead{model, {WeightVersion{version}, row.version}});
        });
    }

    void perform(std::size_t, const AnswerWeights &answer) { this->answers.push_back(answer); }

    void perform(std::size_t, const SendDesiredWeights &send)
    {
        this->schedule(roundTrip, [this, send] {
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->nodes[i].node.id == send.to.id)
                    this->deliver(i, DesiredWeightsReceived{send.model, send.version});
            }
        });
    }

    void perform(std::size_t index, const ReadGroupClaim &read)
    {
        this->schedule(roundTrip, [this, index, key = read.key] {
            if (this->tableDown)
                return this->deliver(index, GroupClaimReadFailed{key});
            const TableRow &row = this->table["engines/" + key];
            this->deliver(index, GroupClaimRead{key, row.value, row.version});
        });
    }

    void perform(std::size_t index, const WriteGroupClaim &write)
    {
        this->schedule(roundTrip, [this, index, write] {
            TableRow &row = this->table["engines/" + write.key];
            if (!this->tableDown && row.version == write.rowVersion)
                row = {write.claim, row.version + 1};
            this->perform(index, ReadGroupClaim{write.key});
        });
    }

    void perform(std::size_t, const EngineGivenUp &) { ++this->enginesGivenUp; }

    std::multimap<Time, std::function<void()>> scheduledEvents;
};

} // namespace engine_simulation
