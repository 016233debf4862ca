#include "leadership_simulation.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace geraniumpulley::core::test {
namespace {

using namespace std::chrono_literals;

const Time start{100s};
const WallTime wallStart{1'000'000s};
constexpr Duration tick = 50ms;
constexpr std::size_t nodes = 3;
constexpr std::size_t engines = 4;
constexpr Duration leaseDuration = 3s;
constexpr Duration writeTimeout = 1200ms;
constexpr Duration readTimeout = 1200ms;
constexpr Duration checkTimeout = 800ms;
constexpr Duration heartbeatTimeout = 1000ms;
constexpr Duration pollMargin = 900ms;
constexpr Duration orderTimeout = 800ms;
constexpr Duration lateWriteDelay = 3500ms;
constexpr Duration slowReadDelay = 700ms;
constexpr Duration slowConnectDelay = 500ms;
constexpr Duration weightsPeriod = 500ms;

struct SharedStore
{
    std::uint64_t version = 1;
    WeightOrderLease lease;
    LeaseInUse inUse;
    RowVersion batchesVersion{}; // Of the newest change of the batches table.
    std::map<NodeId, NodeHeartbeat> heartbeats;
    std::uint64_t desiredVersion = 2;
};

struct Engine
{
    WeightVersion loaded{1};
    std::uint64_t acceptedOrders = 0;
};

struct PendingOrder
{
    SendWeightOrder order;
    Time writeAt{}; // On the simulation's clock; the others are on the node's.
    Time deadline{};
};

struct Node
{
    std::size_t index = 0;
    std::uint64_t incarnation = 1;
    FleetState fleet;
    LeaderState leader = makeLeaderState({});
    std::set<Trouble> troubles;
    Duration suspendedFor{};
    // Connections to the store do not survive a cut.
    std::uint64_t connectionEpoch = 0;
    std::deque<FleetEvent> inbox;
    std::vector<PendingOrder> pendingOrders;

    [[nodiscard]] bool has(Trouble trouble) const { return this->troubles.contains(trouble); }
    [[nodiscard]] bool runs() const
    {
        return !this->has(Trouble::Frozen) && !this->has(Trouble::Suspended)
               && !this->has(Trouble::Killed);
    }
    [[nodiscard]] bool reachesStore() const { return !this->has(Trouble::WithoutStore); }
};

FleetState makeState(std::size_t index, std::uint64_t incarnation, Time now)
{
    FleetSettings settings;
    settings.self = {{"n" + std::to_string(index)}, "a:1", "zone", incarnation};
    settings.leaseDuration = leaseDuration;
    FleetState state = makeFleetState(std::move(settings), now);
    // Loads that take no time make for many orders.
    state.weightOrders.settings.expectedLoadDuration = 100ms;
    return state;
}

} // namespace

struct LeadershipSimulation::Implementation
{
    using Call = std::function<FleetEvent()>;

    SharedStore store;
    std::vector<Node> nodes;
    std::map<TargetId, Engine> engines;
    std::multimap<Time, std::function<void()>> schedule;
    std::map<std::string, std::vector<ReceivedCall>> calls;
    std::optional<ReceivedCall> lastOrder;
    std::shared_ptr<const RoutingTable> routing;
    Time now = start;

    Implementation()
    {
        for (std::size_t i = 0; i < test::nodes; ++i) {
            this->nodes.emplace_back();
            this->nodes.back().index = i;
            this->nodes.back().fleet = makeState(i, 1, start);
        }
        for (std::size_t i = 0; i < test::engines; ++i)
            this->engines[{"e" + std::to_string(i)}] = {};
        auto table = std::make_shared<RoutingTable>();
        table->version = ConfigurationVersion{1};
        table->services.push_back({{"engines"}, 0, true});
        table->accounts = ClientAccounts::create({}).value();
        this->routing = table;
    }

    [[nodiscard]] Time localTime(const Node &node) const { return this->now - node.suspendedFor; }

    void pass(Duration span)
    {
        for (const Time end = this->now + span; this->now < end;) {
            this->now += tick;
            this->store.desiredVersion =
                    2 + static_cast<std::uint64_t>((this->now - start) / weightsPeriod);
            while (!this->schedule.empty() && this->schedule.begin()->first <= this->now) {
                const auto entry = this->schedule.extract(this->schedule.begin());
                entry.mapped()();
            }
            for (Node &node : this->nodes)
                this->run(node);
        }
    }

    void run(Node &node)
    {
        if (node.has(Trouble::Suspended))
            node.suspendedFor += tick;
        if (!node.runs())
            return;
        this->writePendingOrders(node);
        while (!node.inbox.empty()) {
            const FleetEvent event = std::move(node.inbox.front());
            node.inbox.pop_front();
            this->handle(node, event);
        }
        this->handle(node, FleetTick{});
        this->lead(node, LeaderTick{});
    }

    void begin(Node &node, Trouble trouble)
    {
        if (!node.troubles.insert(trouble).second)
            return;
        if (trouble == Trouble::WithoutStore)
            ++node.connectionEpoch;
        if (trouble == Trouble::WithoutTargets)
            node.inbox.emplace_back(TargetReachChanged{false});
        if (trouble == Trouble::Stopping)
            node.inbox.emplace_back(FleetDraining{});
        if (trouble == Trouble::Killed)
            this->restart(node);
    }

    void end(Node &node, Trouble trouble)
    {
        if (node.troubles.erase(trouble) == 0)
            return;
        if (trouble == Trouble::Stopping)
            this->restart(node);
        if (trouble == Trouble::Suspended) {
            node.pendingOrders.clear();
            node.inbox.emplace_front(MachineSuspended{});
            this->lead(node, LeaderSuspended{});
        }
        if (trouble == Trouble::WithoutTargets)
            node.inbox.emplace_back(TargetReachChanged{true});
    }

    void restart(Node &node)
    {
        ++node.incarnation;
        ++node.connectionEpoch;
        node.fleet = makeState(node.index, node.incarnation, this->localTime(node));
        node.leader = makeLeaderState({});
        node.inbox.clear();
        node.pendingOrders.clear();
        if (node.has(Trouble::WithoutTargets))
            node.inbox.emplace_back(TargetReachChanged{false});
        if (node.has(Trouble::Stopping))
            node.inbox.emplace_back(FleetDraining{});
    }

    void handle(Node &node, const FleetEvent &event)
    {
        for (const FleetAction &action : step(node.fleet, event, this->localTime(node)))
            std::visit([&](const auto &content) { this->perform(node, content); }, action);
    }

    void deliver(Node &node, FleetEvent event, Time at)
    {
        this->schedule.emplace(at,
                               [&node, incarnation = node.incarnation, event = std::move(event)] {
                                   if (node.incarnation == incarnation)
                                       node.inbox.push_back(event);
                               });
    }

    // Answers a call that the store has carried out, unless the answer does not arrive.
    void answer(Node &node, std::uint64_t epoch, FleetEvent reply, FleetEvent failure, Time failsAt,
                Duration delay = {})
    {
        const bool isLost = !node.reachesStore() || node.connectionEpoch != epoch
                            || node.has(Trouble::AnswersLost);
        if (isLost)
            this->deliver(node, std::move(failure), std::max(failsAt, this->now));
        else
            this->deliver(node, std::move(reply), this->now + delay);
    }

    void read(Node &node, const Call &call, FleetEvent failure, Duration timeout)
    {
        const Time failsAt = this->now + timeout;
        if (!node.reachesStore())
            return this->deliver(node, std::move(failure), failsAt);
        const Duration delay = node.has(Trouble::ReadsSlow) ? slowReadDelay : Duration{};
        this->schedule.emplace(this->now + tick, [=, this, &node, epoch = node.connectionEpoch] {
            this->answer(node, epoch, call(), failure, failsAt, delay);
        });
    }

    void write(Node &node, const Call &call, FleetEvent failure, Duration timeout)
    {
        const Time failsAt = this->now + timeout;
        if (!node.reachesStore())
            return this->deliver(node, std::move(failure), failsAt);
        if (node.has(Trouble::WritesLate)) {
            this->schedule.emplace(this->now + lateWriteDelay, [call] { call(); });
            return this->deliver(node, std::move(failure), failsAt);
        }
        this->schedule.emplace(this->now + tick, [=, this, &node, epoch = node.connectionEpoch] {
            this->answer(node, epoch, call(), failure, failsAt);
        });
    }

    // Returns the version of the newest change of a table.
    RowVersion versionOf(FleetTable table) const
    {
        if (table == FleetTable::Routing)
            return RowVersion{this->store.desiredVersion};
        if (table == FleetTable::Batches)
            return this->store.batchesVersion;
        return {};
    }

    TableReadCompleted readTable(FleetTable table, bool isFull) const
    {
        TableReadCompleted read{table, isFull, {}, this->versionOf(table), 50s};
        switch (table) {
        case FleetTable::Routing:
            read.rows.push_back({"config", RowVersion{1}, this->routing});
            read.rows.push_back(
                    {"version", RowVersion{this->store.desiredVersion},
                     DesiredModelWeights{"m", WeightVersion{this->store.desiredVersion}}});
            break;
        case FleetTable::Targets:
            for (const auto &[id, engine] : this->engines)
                read.rows.push_back({id.value, RowVersion{number(engine.loaded)},
                                     std::make_shared<const FleetTarget>(makeTarget(id, engine))});
            break;
        case FleetTable::Nodes:
            for (const auto &[id, heartbeat] : this->store.heartbeats)
                read.rows.push_back({id.value, RowVersion{heartbeat.counter}, heartbeat});
            break;
        case FleetTable::Batches:
            if (this->store.lease.version != RowVersion{})
                read.rows.push_back({"lease", this->store.lease.version, this->store.lease});
            if (this->store.inUse.lease != RowVersion{})
                read.rows.push_back(
                        {"lease/in-use", this->store.batchesVersion, this->store.inUse});
            break;
        }
        return read;
    }

    static FleetTarget makeTarget(const TargetId &id, const Engine &engine)
    {
        FleetTarget target;
        target.target = {id, {"engines"}, "a:1", "zone", false};
        target.weights["m"] = engine.loaded;
        target.startedAt = 1;
        return target;
    }

    template<typename Action>
    void perform(Node &, const Action &)
    {
    }

    void perform(Node &node, const ReadTable &action)
    {
        this->read(
                node, [this, table = action.table] { return this->readTable(table, true); },
                TableReadFailed{action.table, false}, readTimeout);
    }

    // Holds a long poll until the table changes or the poll times out.
    void perform(Node &node, const FollowTable &action)
    {
        const TableReadFailed failure{action.table, false};
        const Time failsAt = this->now + action.pollTimeout + pollMargin;
        if (!node.reachesStore())
            return this->deliver(node, failure, failsAt);
        const Time endsAt = this->now + std::max(action.pollTimeout, tick);
        this->poll(node, action, node.connectionEpoch, endsAt, failsAt);
    }

    void poll(Node &node, const FollowTable &action, std::uint64_t epoch, Time endsAt, Time failsAt)
    {
        this->schedule.emplace(this->now + tick, [=, this, &node] {
            const bool hasNews = this->versionOf(action.table) > action.after;
            if (!hasNews && this->now < endsAt)
                return this->poll(node, action, epoch, endsAt, failsAt);
            this->answer(node, epoch, this->readTable(action.table, false),
                         TableReadFailed{action.table, false}, failsAt);
        });
    }

    void perform(Node &node, const WriteHeartbeat &action)
    {
        const Time sentAt = this->localTime(node);
        this->write(
                node,
                [this, heartbeat = action.heartbeat, sentAt]() -> FleetEvent {
                    NodeHeartbeat &row = this->store.heartbeats[heartbeat.node.id];
                    if (heartbeat.node.incarnation >= row.node.incarnation)
                        row = heartbeat;
                    return HeartbeatWriteCompleted{sentAt, true};
                },
                HeartbeatWriteCompleted{sentAt, false}, heartbeatTimeout);
    }

    void perform(Node &node, const WriteWeightOrderLease &action)
    {
        this->write(
                node,
                [this, action]() -> FleetEvent {
                    if (action.expected != this->store.lease.version)
                        return WeightOrderLeaseWriteCompleted{StoreOutcome::Conflict, {}};
                    this->store.lease = action.lease;
                    this->store.lease.version = RowVersion{++this->store.version};
                    this->store.batchesVersion = this->store.lease.version;
                    return WeightOrderLeaseWriteCompleted{StoreOutcome::Committed,
                                                          this->store.lease.version};
                },
                WeightOrderLeaseWriteCompleted{StoreOutcome::Unknown, {}}, writeTimeout);
    }

    void perform(Node &node, const WriteLeaseInUse &action)
    {
        this->write(
                node,
                [this, row = action.row]() -> FleetEvent {
                    if (row.lease == this->store.lease.version) {
                        this->store.inUse = row;
                        this->store.batchesVersion = RowVersion{++this->store.version};
                    }
                    return FleetTick{};
                },
                FleetTick{}, writeTimeout);
    }

    void perform(Node &node, const CheckLease &)
    {
        const Time sentAt = this->localTime(node);
        this->read(
                node,
                [this, sentAt]() -> FleetEvent {
                    return LeaseChecked{sentAt, true, this->store.lease};
                },
                LeaseChecked{sentAt, false, {}}, checkTimeout);
    }

    void perform(Node &node, const RequestEngineState &action)
    {
        const Engine &engine = this->engines.at(action.target.id);
        EngineStateReceived received{action.target.id, std::nullopt};
        if (!node.has(Trouble::WithoutTargets))
            received.state = EngineState{{{"m", engine.loaded}}, false, engine.acceptedOrders};
        this->deliver(node, received, this->now + tick);
    }

    void perform(Node &node, const SendWeightOrder &action)
    {
        const Duration delay = node.has(Trouble::TargetsSlow) ? slowConnectDelay : Duration{};
        const Time deadline =
                std::min(this->localTime(node) + orderTimeout, action.proof.validUntil);
        node.pendingOrders.push_back({action, this->now + delay, deadline});
        this->writePendingOrders(node);
    }

    void writePendingOrders(Node &node)
    {
        std::vector<PendingOrder> pending = std::exchange(node.pendingOrders, {});
        for (PendingOrder &entry : pending) {
            if (entry.writeAt > this->now) {
                node.pendingOrders.push_back(std::move(entry));
                continue;
            }
            if (this->localTime(node) < entry.deadline && !node.has(Trouble::WithoutTargets)) {
                this->receiveOrder(node, entry.order);
                continue;
            }
            const WeightOrderReplyReceived reply{entry.order.target.id, WeightOrderReply::Unknown};
            this->deliver(node, reply, this->now + tick);
        }
    }

    void receiveOrder(Node &node, const SendWeightOrder &order)
    {
        const ReceivedCall call{node.index, number(order.proof.fence), this->now};
        this->calls[order.target.id.value].push_back(call);
        this->lastOrder = call;
        Engine &engine = this->engines.at(order.target.id);
        WeightOrderReplyReceived reply{order.target.id, WeightOrderReply::Busy};
        if (order.expectedAcceptedOrders == engine.acceptedOrders) {
            ++engine.acceptedOrders;
            engine.loaded = order.version;
            reply.reply = WeightOrderReply::Accepted;
        }
        this->deliver(node, reply, this->now + tick);
    }

    void perform(Node &node, const PublishDirectory &action)
    {
        this->lead(node, LeaderDirectoryChanged{action.directory});
    }

    void lead(Node &node, const LeaderEvent &first)
    {
        constexpr int maxEvents = 50;
        std::deque<LeaderEvent> events{first};
        for (int i = 0; i < maxEvents && !events.empty(); ++i) {
            const LeaderEvent event = std::move(events.front());
            events.pop_front();
            for (const LeaderAction &action :
                 step(node.leader, event, this->localTime(node), wallStart + (this->now - start))) {
                if (const auto *find = std::get_if<FindUsageReport>(&action))
                    events.emplace_back(
                            UsageReportFound{find->window, node.reachesStore(), UsageCounts{}});
                const auto *report = std::get_if<SendUsageReport>(&action);
                if (report == nullptr)
                    continue;
                // The provider is down, so that the leader calls often.
                this->calls["provider"].push_back(
                        {node.index, number(report->proof.fence), this->now});
                events.emplace_back(UsageReportSent{report->window, report->proof.fence,
                                                    ProviderReply::Unanswered});
            }
        }
    }
};

LeadershipSimulation::LeadershipSimulation()
    : implementation(std::make_unique<Implementation>()) { }

LeadershipSimulation::~LeadershipSimulation() = default;

void LeadershipSimulation::begin(std::size_t node, Trouble trouble)
{
    this->implementation->begin(this->implementation->nodes.at(node), trouble);
}

void LeadershipSimulation::end(std::size_t node, Trouble trouble)
{
    this->implementation->end(this->implementation->nodes.at(node), trouble);
}

bool LeadershipSimulation::has(std::size_t node, Trouble trouble) const
{
    return this->implementation->nodes.at(node).has(trouble);
}

void LeadershipSimulation::pass(Duration span)
{
    this->implementation->pass(span);
}

void LeadershipSimulation::recover()
{
    for (Node &node : this->implementation->nodes) {
        for (const Trouble trouble : std::set<Trouble>(node.troubles))
            this->implementation->end(node, trouble);
    }
}

Time LeadershipSimulation::now() const
{
    return this->implementation->now;
}

std::size_t LeadershipSimulation::nodeCount() const
{
    return this->implementation->nodes.size();
}

const std::map<std::string, std::vector<ReceivedCall>> &LeadershipSimulation::calls() const
{
    return this->implementation->calls;
}

const ReceivedCall *LeadershipSimulation::lastOrder() const
{
    const auto &last = this->implementation->lastOrder;
    return last ? &*last : nullptr;
}

std::string findFencingViolation(const LeadershipSimulation &simulation)
{
    std::map<std::uint64_t, std::size_t> holders;
    for (const auto &[receiver, calls] : simulation.calls()) {
        const ReceivedCall *last = nullptr;
        std::map<std::size_t, Time> lastCallOf;
        for (const ReceivedCall &call : calls) {
            const auto describe = [&, &receiver = receiver](const char *problem) {
                return std::string(problem) + " at " + receiver + ", "
                       + std::to_string((call.at - start) / 1ms) + " ms: node "
                       + std::to_string(call.node) + " with token " + std::to_string(call.fence);
            };
            if (holders.emplace(call.fence, call.node).first->second != call.node)
                return describe("a token of two nodes");
            if (last != nullptr && call.fence < last->fence)
                return describe("a lower token after a higher one");
            const auto own = lastCallOf.find(call.node);
            if (last != nullptr && last->node != call.node && own != lastCallOf.end()
                && call.at - own->second < leaseDuration)
                return describe("turns within the lease");
            last = &call;
            lastCallOf[call.node] = call.at;
        }
    }
    return {};
}

} // namespace geraniumpulley::core::test
