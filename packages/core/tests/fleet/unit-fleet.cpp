#include <geraniumpulley/core/fleet/fleet.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

// One node, whose reads and writes of the store are answered by the test.
struct FleetFixture
{
    FleetState state;
    Time now = start;
    std::vector<FleetAction> actions;

    FleetFixture() : state(makeFleetState(settings(), start)) { this->send(FleetTick{}); }

    static FleetSettings settings()
    {
        FleetSettings settings;
        settings.self = {{"self"}, "self:1", "zone", 1};
        return settings;
    }

    void send(const FleetEvent &event) { this->actions = step(this->state, event, this->now); }

    template<typename Action>
    const Action *find() const
    {
        for (const FleetAction &action : this->actions) {
            if (const auto *found = std::get_if<Action>(&action))
                return found;
        }
        return nullptr;
    }

    void read(FleetTable table, bool isFull, std::vector<FleetRow> rows, std::uint64_t upTo = 1)
    {
        this->send(TableReadCompleted{table, isFull, std::move(rows), RowVersion{upTo}, 50s});
    }

    // Lets all reads of the targets fail for a time.
    void failTargetReads(Duration duration)
    {
        constexpr Duration step = 100ms;
        for (const Time end = this->now + duration; this->now < end; this->now += step) {
            this->send(FleetTick{});
            if (this->state.followers[static_cast<std::size_t>(FleetTable::Targets)].readInFlight)
                this->send(TableReadFailed{FleetTable::Targets, false});
        }
    }

    // Answers the next check of the lease.
    void confirmLease(std::uint64_t version)
    {
        this->now += 1ms;
        this->send(LeaseChecked{
                this->now,
                true,
                {settings().self.id, settings().self.incarnation, RowVersion{version}}});
    }

    void confirmHeartbeat(std::uint64_t counter)
    {
        this->send(HeartbeatWriteCompleted{this->now, true});
        this->read(FleetTable::Nodes, false,
                   {{"beat", RowVersion{counter}, NodeHeartbeat{settings().self, counter, false}}});
    }
};

FleetTarget makeTarget(const std::string &id, bool leaving = false)
{
    FleetTarget target;
    target.target = {{id}, {"service"}, "a:1", "zone", leaving};
    return target;
}

FleetRow makeRow(const FleetTarget &target)
{
    return {target.target.id.value, RowVersion{1}, std::make_shared<const FleetTarget>(target)};
}

FleetRow makeTargetRow(const std::string &id, bool leaving = false)
{
    return makeRow(makeTarget(id, leaving));
}

FleetRow makeRoutingRow(std::uint64_t rowVersion, std::uint64_t version)
{
    auto table = std::make_shared<RoutingTable>();
    table->version = ConfigurationVersion{version};
    return {"config", RowVersion{rowVersion}, std::shared_ptr<const RoutingTable>(table)};
}

WeightOrderLease makeLease(const std::string &holder, std::uint64_t incarnation,
                           std::uint64_t version)
{
    return {{holder}, incarnation, RowVersion{version}};
}

} // namespace

TEST_CASE("the first tick reads all tables and writes a heartbeat")
{
    const FleetFixture fixture;
    CHECK(fixture.find<ReadTable>() != nullptr);
    CHECK(fixture.find<FollowTable>() != nullptr);
    CHECK(fixture.find<WriteHeartbeat>() != nullptr);
}

TEST_CASE("an older routing row never replaces a newer one")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Routing, true, {makeRoutingRow(10, 3)});
    CHECK(fixture.state.routing->version == ConfigurationVersion{3});
    fixture.read(FleetTable::Routing, true, {makeRoutingRow(9, 2)});
    CHECK(fixture.state.routing->version == ConfigurationVersion{3});
    fixture.read(FleetTable::Routing, false, {makeRoutingRow(12, 5)});
    CHECK(fixture.state.routing->version == ConfigurationVersion{5});
}

TEST_CASE("the next snapshot marks leaving targets and omits removed ones")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
    fixture.read(FleetTable::Targets, false, {makeTargetRow("a", true)});
    CHECK(fixture.find<PublishDirectory>()->directory->targets->at({"a"}).target.leaving);
    fixture.read(FleetTable::Targets, false, {{"b", RowVersion{2}, std::monostate{}}});
    CHECK(fixture.find<PublishDirectory>()->directory->targets->count({"b"}) == 0);
}

TEST_CASE("parts of the directory that have not changed are the same in the next snapshot")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
    fixture.read(FleetTable::Batches, true, {});
    const DirectoryPointer before = fixture.find<PublishDirectory>()->directory;
    BatchHead head;
    head.id = {"batch"};
    head.version = RowVersion{3};
    fixture.read(FleetTable::Batches, false, {{"batch", RowVersion{3}, head}});
    const DirectoryPointer after = fixture.find<PublishDirectory>()->directory;
    CHECK(after->batches != before->batches);
    CHECK(after->targets == before->targets);
    CHECK(after->desiredWeights == before->desiredWeights);
    fixture.read(FleetTable::Targets, false, {makeTargetRow("a")});
    CHECK(fixture.find<PublishDirectory>() == nullptr);
    fixture.read(FleetTable::Targets, false, {makeTargetRow("c")});
    CHECK(fixture.find<PublishDirectory>()->directory->targets->count({"c"}) == 1);
}

TEST_CASE("a node without the lease on weight orders assigns no engines")
{
    FleetFixture fixture;
    fixture.confirmHeartbeat(1);
    auto table = std::make_shared<RoutingTable>();
    table->services.push_back({{"service"}, 0, true});
    fixture.read(FleetTable::Routing, true,
                 {{"config", RowVersion{1}, std::shared_ptr<const RoutingTable>(table)}});
    FleetTarget engine = makeTarget("a");
    engine.weights["m"] = WeightVersion{1};
    fixture.read(FleetTable::Targets, true, {makeRow(engine)});
    CHECK(fixture.state.assignments.assignments.empty());
    fixture.read(FleetTable::Batches, true,
                 {{"weight-orders", RowVersion{2}, makeLease("self", 1, 2)}});
    fixture.confirmLease(2);
    CHECK(fixture.state.assignments.assignments.at({"a"}) == "m");
}

TEST_CASE("targets whose rows lapsed in an outage of the store are kept for a limited time")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
    fixture.failTargetReads(3s);
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a")});
    CHECK(fixture.state.targets.count({"b"}) == 1);
    fixture.now += 1s;
    fixture.read(FleetTable::Targets, false, {makeTargetRow("b")});
    fixture.now += 3s;
    fixture.send(FleetTick{});
    CHECK(fixture.state.targets.count({"b"}) == 1);
    // A target that does not return is removed, also if its row is missed late.
    fixture.failTargetReads(3s);
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
    fixture.now += 1500ms;
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a")});
    CHECK(fixture.state.targets.count({"b"}) == 1);
    fixture.now += 800ms;
    fixture.send(FleetTick{});
    CHECK(fixture.state.targets.count({"b"}) == 0);
}

// Guards against requests to targets that were removed while the store served others, but refused
// reads of this node.
TEST_CASE("a target that is removed around short failures of reads gets no further request")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
    // Reads fail for a while until they go through other nodes, and again when the direct route is
    // tried once more.
    for (int i = 0; i < 5; ++i) {
        fixture.failTargetReads(400ms);
        fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
        fixture.now += 1s;
    }
    fixture.failTargetReads(1300ms);
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a")});
    CHECK(fixture.state.targets.count({"b"}) == 0);
}

TEST_CASE("history that the store no longer keeps is no outage")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
    fixture.now += 500ms;
    fixture.send(FleetTick{});
    fixture.now += 3s;
    fixture.send(TableReadFailed{FleetTable::Targets, true});
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a")});
    CHECK(fixture.state.targets.count({"b"}) == 0);
}

TEST_CASE("a free lease on weight orders is acquired, with only one write in flight")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Batches, true, {});
    CHECK(fixture.find<WriteWeightOrderLease>() == nullptr);
    fixture.confirmHeartbeat(1);
    const auto *write = fixture.find<WriteWeightOrderLease>();
    REQUIRE(write != nullptr);
    CHECK(write->expected == RowVersion{});
    fixture.send(FleetTick{});
    CHECK(fixture.find<WriteWeightOrderLease>() == nullptr);
    fixture.send(WeightOrderLeaseWriteCompleted{StoreOutcome::Conflict, {}});
    CHECK(fixture.find<WriteWeightOrderLease>() == nullptr);
}

TEST_CASE("a new lease holder sends no order before the lease of the former one has ended")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Batches, true, {{"lease", RowVersion{4}, makeLease("other", 1, 4)}});
    for (std::uint64_t counter = 1; counter <= 5; ++counter) {
        fixture.now += 600ms;
        fixture.confirmHeartbeat(counter);
    }
    REQUIRE(fixture.state.leaseWriteInFlight);
    fixture.send(WeightOrderLeaseWriteCompleted{StoreOutcome::Committed, RowVersion{8}});
    CHECK(fixture.state.leadership.lease.holder.value == "self");
    CHECK(fixture.state.leadership.actsFrom == fixture.now + 3s);
}

TEST_CASE("a lease write whose answer was lost is recognised from the table")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Batches, true, {});
    fixture.confirmHeartbeat(1);
    fixture.send(WeightOrderLeaseWriteCompleted{StoreOutcome::Unknown, {}});
    fixture.read(FleetTable::Batches, false, {{"lease", RowVersion{6}, makeLease("self", 1, 6)}});
    CHECK(fixture.state.leadership.lease.version == RowVersion{6});
    CHECK(fixture.state.leadership.lease.holder.value == "self");
}

TEST_CASE("a suspension of the machine invalidates ownership until the next heartbeat")
{
    FleetFixture fixture;
    fixture.confirmHeartbeat(1);
    CHECK(fixture.state.ownershipValidUntil > fixture.now);
    fixture.send(MachineSuspended{});
    CHECK(fixture.state.ownershipValidUntil <= fixture.now);
}

TEST_CASE("no tick is due directly after a tick, even if the store is lost while an engine loads")
{
    FleetFixture fixture;
    auto table = std::make_shared<RoutingTable>();
    table->version = ConfigurationVersion{3};
    table->services.push_back({{"service"}, 0, true});
    FleetTarget engine;
    engine.target = {{"e"}, {"service"}, "a:1", "zone", false};
    engine.weights["m"] = WeightVersion{1};
    fixture.read(FleetTable::Routing, true,
                 {{"config", RowVersion{3}, std::shared_ptr<const RoutingTable>(table)},
                  {"version", RowVersion{4}, DesiredModelWeights{"m", WeightVersion{2}}}});
    fixture.read(FleetTable::Targets, true, {makeRow(engine)});
    fixture.read(FleetTable::Batches, true, {});
    fixture.confirmHeartbeat(1);
    fixture.send(WeightOrderLeaseWriteCompleted{StoreOutcome::Committed, RowVersion{8}});
    fixture.confirmLease(8);
    REQUIRE(fixture.find<RequestEngineState>() != nullptr);
    for (int i = 0; i < 100; ++i) {
        fixture.now += 100ms;
        fixture.send(FleetTick{});
        const std::optional<Time> due = dueAt(fixture.state, fixture.now);
        CHECK((!due || *due > fixture.now));
    }
}

TEST_CASE("a draining node releases the lease")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Batches, true, {});
    fixture.confirmHeartbeat(1);
    fixture.send(WeightOrderLeaseWriteCompleted{StoreOutcome::Committed, RowVersion{8}});
    fixture.now += 1s;
    fixture.send(FleetDraining{});
    const auto *write = fixture.find<WriteWeightOrderLease>();
    REQUIRE(write != nullptr);
    CHECK(write->lease.holder.value.empty());
    CHECK(write->expected == RowVersion{8});
}

TEST_CASE("a node that starts during an outage of the store learns routes and targets from a peer")
{
    FleetFixture fixture;
    CHECK(fixture.find<RequestPeerTables>() == nullptr);
    fixture.send(TableReadFailed{FleetTable::Routing, false});
    REQUIRE(fixture.find<RequestPeerTables>() != nullptr);
    fixture.send(FleetTick{});
    CHECK(fixture.find<RequestPeerTables>() == nullptr);
    TableReadCompleted routing{FleetTable::Routing, false, {makeRoutingRow(10, 3)}, {}, {}};
    TableReadCompleted targets{FleetTable::Targets, false, {makeTargetRow("a")}, {}, {}};
    fixture.send(PeerTablesReceived{{routing, targets}});
    const auto *published = fixture.find<PublishDirectory>();
    REQUIRE(published != nullptr);
    CHECK(published->directory->routing->version == ConfigurationVersion{3});
    CHECK(published->directory->targetsKnown);
    CHECK(published->directory->targets->size() == 1);
    // Later rows from the store are not replaced by the copy of a peer.
    fixture.read(FleetTable::Routing, true, {makeRoutingRow(12, 5)});
    fixture.send(PeerTablesReceived{{routing, targets}});
    CHECK(fixture.state.routing->version == ConfigurationVersion{5});
}

namespace {

// Simulates the store for one node of a large fleet: it answers within 4 ms, holds long polls until
// their timeout if nothing changes, and gets a new batch head twice a second.
struct SimulatedStore
{
    std::size_t nodes;
    FleetFixture fixture;
    std::multimap<Time, FleetEvent> answers;
    std::size_t reads = 0;
    std::uint64_t version = 1;

    std::vector<FleetRow> rowsOf(FleetTable table)
    {
        std::vector<FleetRow> rows;
        if (table != FleetTable::Nodes)
            return rows;
        ++this->version;
        rows.push_back({"beat", RowVersion{this->version},
                        NodeHeartbeat{FleetFixture::settings().self, this->version, false}});
        for (std::size_t i = 1; i < this->nodes; ++i) {
            const Node node{{"n" + std::to_string(i)}, "n:1", "zone", 1};
            rows.push_back(
                    {"beat", RowVersion{this->version}, NodeHeartbeat{node, this->version, false}});
        }
        return rows;
    }

    void scheduleAnswer(FleetTable table, bool isFull, Duration delay)
    {
        ++this->reads;
        TableReadCompleted read{table, isFull, this->rowsOf(table), RowVersion{this->version}, 50s};
        this->answers.emplace(this->fixture.now + delay, std::move(read));
    }

    void performActions()
    {
        constexpr Duration answerDelay = 4ms;
        constexpr Duration headPeriod = 500ms;
        for (const FleetAction &action : this->fixture.actions) {
            if (const auto *full = std::get_if<ReadTable>(&action))
                this->scheduleAnswer(full->table, true, answerDelay);
            if (const auto *changes = std::get_if<FollowTable>(&action)) {
                Duration holdTime = changes->pollTimeout;
                if (changes->table == FleetTable::Batches)
                    holdTime = std::min(holdTime, headPeriod);
                this->scheduleAnswer(changes->table, false, std::max(holdTime, answerDelay));
            }
            if (std::holds_alternative<WriteHeartbeat>(action))
                this->answers.emplace(this->fixture.now + answerDelay,
                                      HeartbeatWriteCompleted{this->fixture.now, true});
        }
    }

    std::size_t countReads(Duration period)
    {
        const Time end = this->fixture.now + period;
        this->performActions();
        while (this->fixture.now < end) {
            const Time due = dueAt(this->fixture.state, this->fixture.now).value_or(end);
            if (!this->answers.empty() && this->answers.begin()->first <= due) {
                const auto next = this->answers.extract(this->answers.begin());
                this->fixture.now = next.key();
                this->fixture.send(next.mapped());
            } else {
                this->fixture.now = std::max(due, this->fixture.now);
                this->fixture.send(FleetTick{});
            }
            this->performActions();
        }
        return this->reads;
    }
};

} // namespace

TEST_CASE("with any number of nodes the read rate stays below the limit of the store")
{
    constexpr std::size_t maxReadsPerSecond = 2000; // The limit of the smallest store in use.
    for (const std::size_t nodes : {10U, 67U, 150U, 340U}) {
        SimulatedStore store{nodes, {}, {}};
        const std::size_t readsPerSecond = store.countReads(60s) / 60;
        CAPTURE(nodes);
        CAPTURE(readsPerSecond);
        CHECK(readsPerSecond * nodes < maxReadsPerSecond);
    }
}

TEST_CASE(
        "a node that alone reaches no target releases the lease, and keeps it in an outage of all")
{
    for (const bool peerReaches : {true, false}) {
        CAPTURE(peerReaches);
        FleetFixture fixture;
        fixture.read(FleetTable::Batches, true, {});
        fixture.confirmHeartbeat(1);
        fixture.send(WeightOrderLeaseWriteCompleted{StoreOutcome::Committed, RowVersion{8}});
        NodeHeartbeat peer{{{"peer"}, "peer:1", "zone", 1}, 1, false};
        peer.reachesTargets = peerReaches;
        fixture.read(FleetTable::Nodes, false, {{"beat", RowVersion{9}, peer}});
        fixture.now += 1s;
        fixture.send(TargetReachChanged{false});
        const auto *heartbeat = fixture.find<WriteHeartbeat>();
        REQUIRE(heartbeat != nullptr);
        CHECK_FALSE(heartbeat->heartbeat.reachesTargets);
        const auto *write = fixture.find<WriteWeightOrderLease>();
        REQUIRE((write != nullptr) == peerReaches);
        if (write == nullptr)
            continue;
        CHECK(write->lease.holder.value.empty());
        fixture.send(WeightOrderLeaseWriteCompleted{StoreOutcome::Committed, RowVersion{10}});
        fixture.now += 1s;
        fixture.send(FleetTick{});
        CHECK(fixture.find<WriteWeightOrderLease>() == nullptr);
    }
}

TEST_CASE("a target that states in an answer that it leaves gets no work, whatever its row says")
{
    FleetFixture fixture;
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a"), makeTargetRow("b")});
    fixture.send(TargetLeavingStated{{"a"}});
    REQUIRE(fixture.find<PublishDirectory>() != nullptr);
    const auto isLeaving = [&](const char *id) {
        return fixture.state.published.targets->at({id}).target.leaving;
    };
    CHECK(isLeaving("a"));
    CHECK_FALSE(isLeaving("b"));
    // Its row lapses and comes back in an outage of the store.
    fixture.send(TableReadFailed{FleetTable::Targets, false});
    fixture.read(FleetTable::Targets, true, {makeTargetRow("b")});
    fixture.now += 3s;
    fixture.send(FleetTick{});
    CHECK(fixture.state.published.targets->count({"a"}) == 0);
    fixture.read(FleetTable::Targets, false, {makeTargetRow("a")});
    CHECK(isLeaving("a"));
    FleetTarget restarted = makeTarget("a");
    restarted.startedAt = 7;
    fixture.read(FleetTable::Targets, false, {makeRow(restarted)});
    CHECK_FALSE(isLeaving("a"));
}

TEST_CASE(
        "the directory tells when the targets were read, and a suspension of the machine voids it")
{
    FleetFixture fixture;
    CHECK_FALSE(fixture.state.published.targetsReadAt.has_value());
    fixture.read(FleetTable::Targets, true, {makeTargetRow("a")});
    CHECK(fixture.state.published.targetsReadAt == fixture.now);
    fixture.send(MachineSuspended{});
    CHECK_FALSE(fixture.state.published.targetsReadAt.has_value());
}
