#include <geraniumpulley/core/fleet/fleet.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

// One node; its reads and heartbeats are answered by the test.
struct FleetWorld
{
    FleetState state;
    Time now = start;
    std::vector<FleetAction> actions;

    FleetWorld() : state(makeFleetState(settings(), start)) { this->send(FleetTick{}); }

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

    void read(FleetTable table, bool whole, std::vector<FleetRow> rows, std::uint64_t upTo = 1)
    {
        this->send(TableRead{table, whole, std::move(rows), RowVersion{upTo}, 50s});
    }

    void beatBack(std::uint64_t counter)
    {
        this->send(BeatWritten{this->now, true});
        this->read(FleetTable::Nodes, false,
                   {{"beat", RowVersion{counter}, NodeBeat{settings().self, counter, false}}});
    }
};

FleetRow targetRow(const std::string &id, bool leaving = false)
{
    FleetTarget target;
    target.target = {{id}, {"service"}, "a:1", "zone", leaving};
    return {id, RowVersion{1}, target};
}

FleetRow routingRow(std::uint64_t row, std::uint64_t version)
{
    auto table = std::make_shared<RoutingTable>();
    table->version = ConfigurationVersion{version};
    return {"config", RowVersion{row}, std::shared_ptr<const RoutingTable>(table)};
}

OrdersLease leaseOf(const std::string &holder, std::uint64_t incarnation, std::uint64_t version)
{
    return {{holder}, incarnation, RowVersion{version}};
}

} // namespace

TEST_CASE("the first tick reads all tables and writes a heartbeat")
{
    const FleetWorld world;
    CHECK(world.find<ReadTable>() != nullptr);
    CHECK(world.find<FollowTable>() != nullptr);
    CHECK(world.find<WriteBeat>() != nullptr);
}

TEST_CASE("an older routing row never replaces a newer one")
{
    FleetWorld world;
    world.read(FleetTable::Routing, true, {routingRow(10, 3)});
    CHECK(world.state.routing->version == ConfigurationVersion{3});
    world.read(FleetTable::Routing, true, {routingRow(9, 2)});
    CHECK(world.state.routing->version == ConfigurationVersion{3});
    world.read(FleetTable::Routing, false, {routingRow(12, 5)});
    CHECK(world.state.routing->version == ConfigurationVersion{5});
}

TEST_CASE("a target that leaves or is gone takes no new work at once")
{
    FleetWorld world;
    world.read(FleetTable::Targets, true, {targetRow("a"), targetRow("b")});
    world.read(FleetTable::Targets, false, {targetRow("a", true)});
    CHECK(world.find<PublishDirectory>()->directory->targets->at({"a"}).target.leaving);
    world.read(FleetTable::Targets, false, {{"b", RowVersion{2}, std::monostate{}}});
    CHECK(world.find<PublishDirectory>()->directory->targets->count({"b"}) == 0);
}

TEST_CASE("entries that lapsed in an outage of the store are kept until they may be back")
{
    FleetWorld world;
    world.read(FleetTable::Targets, true, {targetRow("a"), targetRow("b")});
    world.now += 5s;
    world.send(TableReadFailed{FleetTable::Targets, false});
    world.now += 200ms;
    world.read(FleetTable::Targets, true, {targetRow("a")});
    CHECK(world.state.targets.count({"b"}) == 1);
    world.now += 1s;
    world.read(FleetTable::Targets, false, {targetRow("b")});
    world.now += 3s;
    world.send(FleetTick{});
    CHECK(world.state.targets.count({"b"}) == 1);
    // One that does not come back is dropped.
    world.send(TableReadFailed{FleetTable::Targets, false});
    world.read(FleetTable::Targets, true, {targetRow("a")});
    world.now += 2300ms;
    world.send(FleetTick{});
    CHECK(world.state.targets.count({"b"}) == 0);
}

TEST_CASE("the lease on weight orders is taken when nobody has it, and only once")
{
    FleetWorld world;
    world.read(FleetTable::Batches, true, {});
    CHECK(world.find<WriteOrdersLease>() == nullptr);
    world.beatBack(1);
    const auto *write = world.find<WriteOrdersLease>();
    REQUIRE(write != nullptr);
    CHECK(write->expected == RowVersion{});
    world.send(FleetTick{});
    CHECK(world.find<WriteOrdersLease>() == nullptr);
    world.send(OrdersLeaseWritten{StoreOutcome::Conflict, {}});
    CHECK(world.find<WriteOrdersLease>() == nullptr);
}

TEST_CASE("a holder that follows another one waits the lease out before its first order")
{
    FleetWorld world;
    world.read(FleetTable::Batches, true, {{"lease", RowVersion{4}, leaseOf("other", 1, 4)}});
    for (std::uint64_t beat = 1; beat <= 5; ++beat) {
        world.now += 600ms;
        world.beatBack(beat);
    }
    REQUIRE(world.state.leaseWriting);
    world.send(OrdersLeaseWritten{StoreOutcome::Done, RowVersion{8}});
    CHECK(world.state.lease.holder.value == "self");
    CHECK(world.state.ordersAllowedFrom == world.now + 3s);
}

TEST_CASE("a lease of this node whose answer was lost is found in the table")
{
    FleetWorld world;
    world.read(FleetTable::Batches, true, {});
    world.beatBack(1);
    world.send(OrdersLeaseWritten{StoreOutcome::Unknown, {}});
    world.read(FleetTable::Batches, false, {{"lease", RowVersion{6}, leaseOf("self", 1, 6)}});
    CHECK(world.state.lease.version == RowVersion{6});
    CHECK(world.state.lease.holder.value == "self");
}

TEST_CASE("a machine that stood still does not trust its own memory before the next heartbeat")
{
    FleetWorld world;
    world.beatBack(1);
    CHECK(world.state.ownershipKnownUntil > world.now);
    world.send(ClockSuspended{});
    CHECK(world.state.ownershipKnownUntil <= world.now);
}

TEST_CASE("a tick leaves nothing due at once, also when the store is lost while an engine loads")
{
    FleetWorld world;
    auto table = std::make_shared<RoutingTable>();
    table->version = ConfigurationVersion{3};
    table->services.push_back({{"service"}, 0, true});
    FleetTarget engine;
    engine.target = {{"e"}, {"service"}, "a:1", "zone", false};
    engine.weights["m"] = WeightVersion{1};
    world.read(FleetTable::Routing, true,
               {{"config", RowVersion{3}, std::shared_ptr<const RoutingTable>(table)},
                {"version", RowVersion{4}, DesiredModelWeights{"m", WeightVersion{2}}}});
    world.read(FleetTable::Targets, true, {{"e", RowVersion{1}, engine}});
    world.read(FleetTable::Batches, true, {});
    world.beatBack(1);
    world.send(OrdersLeaseWritten{StoreOutcome::Done, RowVersion{8}});
    REQUIRE(world.find<AskEngineState>() != nullptr);
    for (int i = 0; i < 100; ++i) {
        world.now += 100ms;
        world.send(FleetTick{});
        const std::optional<Time> due = dueAt(world.state, world.now);
        CHECK((!due || *due > world.now));
    }
}

TEST_CASE("a stopping node gives the lease up")
{
    FleetWorld world;
    world.read(FleetTable::Batches, true, {});
    world.beatBack(1);
    world.send(OrdersLeaseWritten{StoreOutcome::Done, RowVersion{8}});
    world.now += 1s;
    world.send(FleetDraining{});
    const auto *write = world.find<WriteOrdersLease>();
    REQUIRE(write != nullptr);
    CHECK(write->lease.holder.value.empty());
    CHECK(write->expected == RowVersion{8});
}

TEST_CASE("a node that starts while the store is away learns routes and targets from another one")
{
    FleetWorld world;
    CHECK(world.find<AskPeerTables>() == nullptr);
    world.send(TableReadFailed{FleetTable::Routing, false});
    REQUIRE(world.find<AskPeerTables>() != nullptr);
    world.send(FleetTick{});
    CHECK(world.find<AskPeerTables>() == nullptr);
    TableRead routing{FleetTable::Routing, false, {routingRow(10, 3)}, {}, {}};
    TableRead targets{FleetTable::Targets, false, {targetRow("a")}, {}, {}};
    world.send(PeerTablesHeard{{routing, targets}});
    const auto *published = world.find<PublishDirectory>();
    REQUIRE(published != nullptr);
    CHECK(published->directory->routing->version == ConfigurationVersion{3});
    CHECK(published->directory->targetsKnown);
    CHECK(published->directory->targets->size() == 1);
    // What the store said later is not replaced by another node's copy.
    world.read(FleetTable::Routing, true, {routingRow(12, 5)});
    world.send(PeerTablesHeard{{routing, targets}});
    CHECK(world.state.routing->version == ConfigurationVersion{5});
}

namespace {

// The store's side of one node among many: it answers within 4 ms, holds a question as long as it
// is asked to where nothing changes, and has a new head of a batch twice a second.
struct StoreOfMany
{
    std::size_t nodes;
    FleetWorld world;
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
                        NodeBeat{FleetWorld::settings().self, this->version, false}});
        for (std::size_t i = 1; i < this->nodes; ++i) {
            const Node node{{"n" + std::to_string(i)}, "n:1", "zone", 1};
            rows.push_back(
                    {"beat", RowVersion{this->version}, NodeBeat{node, this->version, false}});
        }
        return rows;
    }

    void answer(FleetTable table, bool whole, Duration after)
    {
        ++this->reads;
        TableRead read{table, whole, this->rowsOf(table), RowVersion{this->version}, 50s};
        this->answers.emplace(this->world.now + after, std::move(read));
    }

    void takeActions()
    {
        constexpr Duration answerTime = 4ms;
        constexpr Duration headPeriod = 500ms;
        for (const FleetAction &action : this->world.actions) {
            if (const auto *whole = std::get_if<ReadTable>(&action))
                this->answer(whole->table, true, answerTime);
            if (const auto *changes = std::get_if<FollowTable>(&action)) {
                Duration held = changes->wait;
                if (changes->table == FleetTable::Batches)
                    held = std::min(held, headPeriod);
                this->answer(changes->table, false, std::max(held, answerTime));
            }
            if (std::holds_alternative<WriteBeat>(action))
                this->answers.emplace(this->world.now + answerTime,
                                      BeatWritten{this->world.now, true});
        }
    }

    std::size_t readsWithin(Duration time)
    {
        const Time end = this->world.now + time;
        this->takeActions();
        while (this->world.now < end) {
            const Time due = dueAt(this->world.state, this->world.now).value_or(end);
            if (!this->answers.empty() && this->answers.begin()->first <= due) {
                const auto next = this->answers.extract(this->answers.begin());
                this->world.now = next.key();
                this->world.send(next.mapped());
            } else {
                this->world.now = std::max(due, this->world.now);
                this->world.send(FleetTick{});
            }
            this->takeActions();
        }
        return this->reads;
    }
};

} // namespace

TEST_CASE("at any number of nodes the store is read less often than it allows")
{
    constexpr std::size_t readsAllowed = 2000; // A second; the rate of the users' smallest store.
    for (const std::size_t nodes : {10U, 67U, 150U, 340U}) {
        StoreOfMany store{nodes, {}, {}};
        const std::size_t reads = store.readsWithin(60s) / 60;
        CAPTURE(nodes);
        CAPTURE(reads);
        CHECK(reads * nodes < readsAllowed);
    }
}
