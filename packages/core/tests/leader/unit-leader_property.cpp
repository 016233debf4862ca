#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/core/leader/leader.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};
const WallTime wallStart{1'000'000s};
constexpr Duration tick = 100ms;
constexpr std::size_t nodeCount = 3;

// A call of a leader at the provider.
struct ProviderCall
{
    std::size_t node = 0;
    std::uint64_t fence = 0;
    Time at{};
};

struct SharedStore
{
    std::uint64_t version = 0;
    WeightOrderLease lease;
    std::map<NodeId, NodeHeartbeat> heartbeats;
};

// What happens to a node in a schedule. A frozen node does nothing; one without the store keeps
// running, but its reads and writes fail.
enum class Condition { Sound, Frozen, WithoutStore };

struct ScheduleStep
{
    std::size_t node = 0;
    Condition condition = Condition::Sound;
    int ticks = 1;
};

struct SimulatedNode
{
    SharedStore &store;
    std::size_t index;
    FleetState fleet;
    LeaderState leader = makeLeaderState({});
    Condition condition = Condition::Sound;
    std::vector<ProviderCall> &calls;
    Time now{};

    SimulatedNode(SharedStore &store, std::size_t index, std::vector<ProviderCall> &calls)
        : store(store), index(index), fleet(makeFleetState(settings(index), start)), calls(calls)
    {
    }

    static FleetSettings settings(std::size_t index)
    {
        FleetSettings settings;
        settings.self = {{"n" + std::to_string(index)}, "a:1", "zone", 1};
        return settings;
    }

    bool reachesStore() const { return this->condition == Condition::Sound; }

    void run(Time time)
    {
        if (this->condition == Condition::Frozen)
            return;
        this->now = time;
        this->send(FleetTick{});
        this->lead(LeaderTick{});
    }

    void send(const FleetEvent &first)
    {
        std::deque<FleetEvent> events{first};
        for (int i = 0; i < 50 && !events.empty(); ++i) {
            const FleetEvent event = std::move(events.front());
            events.pop_front();
            for (const FleetAction &action : step(this->fleet, event, this->now))
                std::visit([&](const auto &content) { this->perform(content, events); }, action);
        }
    }

    template<typename Action>
    void perform(const Action &, std::deque<FleetEvent> &)
    {
    }

    TableReadCompleted readTable(FleetTable table, bool isFull) const
    {
        TableReadCompleted read{table, isFull, {}, RowVersion{this->store.version + 1}, 50s};
        if (table == FleetTable::Nodes) {
            for (const auto &[id, heartbeat] : this->store.heartbeats)
                read.rows.push_back({id.value, RowVersion{heartbeat.counter}, heartbeat});
        }
        if (table == FleetTable::Batches && this->store.lease.version != RowVersion{})
            read.rows.push_back({"lease", this->store.lease.version, this->store.lease});
        return read;
    }

    void perform(const ReadTable &read, std::deque<FleetEvent> &events)
    {
        if (this->reachesStore())
            events.emplace_back(this->readTable(read.table, true));
        else
            events.emplace_back(TableReadFailed{read.table, false});
    }
    void perform(const FollowTable &follow, std::deque<FleetEvent> &events)
    {
        if (this->reachesStore())
            events.emplace_back(this->readTable(follow.table, false));
        else
            events.emplace_back(TableReadFailed{follow.table, false});
    }
    void perform(const WriteHeartbeat &write, std::deque<FleetEvent> &events)
    {
        if (this->reachesStore())
            this->store.heartbeats[write.heartbeat.node.id] = write.heartbeat;
        events.emplace_back(HeartbeatWriteCompleted{this->now, this->reachesStore()});
    }
    void perform(const WriteWeightOrderLease &write, std::deque<FleetEvent> &events)
    {
        WeightOrderLeaseWriteCompleted completed{StoreOutcome::NotCommitted, {}};
        if (this->reachesStore()) {
            completed.outcome = StoreOutcome::Conflict;
            if (write.expected == this->store.lease.version) {
                this->store.lease = write.lease;
                this->store.lease.version = RowVersion{++this->store.version};
                completed = {StoreOutcome::Committed, this->store.lease.version};
            }
        }
        events.emplace_back(completed);
    }
    void perform(const CheckLease &, std::deque<FleetEvent> &events)
    {
        events.emplace_back(LeaseChecked{this->now, this->reachesStore(), this->store.lease});
    }
    void perform(const PublishDirectory &publish, std::deque<FleetEvent> &)
    {
        auto directory = std::make_shared<Directory>(*publish.directory);
        auto routing = std::make_shared<RoutingTable>();
        routing->accounts = ClientAccounts::create({}).value();
        directory->routing = routing;
        this->lead(LeaderDirectoryChanged{directory});
    }

    void lead(const LeaderEvent &first)
    {
        std::deque<LeaderEvent> events{first};
        for (int i = 0; i < 50 && !events.empty(); ++i) {
            const LeaderEvent event = std::move(events.front());
            events.pop_front();
            for (const LeaderAction &action :
                 step(this->leader, event, this->now, wallStart + (this->now - start))) {
                if (const auto *find = std::get_if<FindUsageReport>(&action))
                    events.emplace_back(
                            UsageReportFound{find->window, this->reachesStore(), UsageCounts{}});
                if (const auto *report = std::get_if<SendUsageReport>(&action)) {
                    this->calls.push_back({this->index, number(report->proof.fence), this->now});
                    // The provider is down, so that the leader calls often.
                    events.emplace_back(UsageReportSent{report->window, report->proof.fence,
                                                        ProviderReply::Unanswered});
                }
            }
        }
    }
};

std::vector<ProviderCall> play(const std::vector<ScheduleStep> &schedule)
{
    SharedStore store;
    std::vector<ProviderCall> calls;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;
    for (std::size_t i = 0; i < nodeCount; ++i)
        nodes.push_back(std::make_unique<SimulatedNode>(store, i, calls));
    Time now = start;
    const auto pass = [&](int ticks) {
        for (int i = 0; i < ticks; ++i) {
            now += tick;
            for (const auto &node : nodes)
                node->run(now);
        }
    };
    constexpr int ticksToElect = 100;
    pass(ticksToElect);
    for (const ScheduleStep &step : schedule) {
        nodes[step.node]->condition = step.condition;
        pass(step.ticks);
    }
    return calls;
}

ScheduleStep makeStep(int encoded)
{
    constexpr int conditions = 3;
    const int node = encoded % static_cast<int>(nodeCount);
    const int condition = (encoded / static_cast<int>(nodeCount)) % conditions;
    constexpr int maxTicks = 80;
    return {static_cast<std::size_t>(node), static_cast<Condition>(condition),
            1 + (encoded / 16) % maxTicks};
}

} // namespace

TEST_CASE("a sound fleet has a leader that calls the provider, and a frozen one is replaced")
{
    const auto calls = play({{0, Condition::Sound, 50}});
    REQUIRE_FALSE(calls.empty());
    const std::size_t first = calls.back().node;
    const auto callsAfter = play({{first, Condition::Frozen, 200}});
    CHECK(callsAfter.back().node != first);
    CHECK(callsAfter.back().fence > calls.back().fence);
}

// Guards against two leaders at once: equal numbers of two nodes, a lower number after a higher
// one, and holders that take turns within the lease time. The provider checks no numbers here.
TEST_CASE("whatever freezes or is cut off, the numbers of leaders rise and turns do not mix")
{
    rc::check([](const std::vector<std::uint16_t> &encoded) {
        std::vector<ScheduleStep> schedule;
        schedule.reserve(encoded.size());
        for (const std::uint16_t step : encoded)
            schedule.push_back(makeStep(step));
        const std::vector<ProviderCall> calls = play(schedule);
        constexpr Duration leaseDuration = 3s;
        std::map<std::uint64_t, std::size_t> holders;
        std::optional<ProviderCall> last;
        std::map<std::size_t, Time> lastCallOf;
        for (const ProviderCall &call : calls) {
            RC_ASSERT(holders.emplace(call.fence, call.node).first->second == call.node);
            RC_ASSERT(!last || call.fence >= last->fence);
            const auto own = lastCallOf.find(call.node);
            const bool hasReturned = last && last->node != call.node && own != lastCallOf.end();
            RC_ASSERT(!hasReturned || call.at - own->second >= leaseDuration);
            last = call;
            lastCallOf[call.node] = call.at;
        }
    });
}
