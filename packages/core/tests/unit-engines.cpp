#include "engine_world.hpp"

#include <doctest/doctest.h>

using namespace engine_world;

namespace {

constexpr Duration settleTime = 10s; // Claims become usable within it.

struct Fixture
{
    explicit Fixture(const WorldSettings &settings = {}) : world(settings)
    {
        this->world.runFor(settleTime);
    }

    [[nodiscard]] bool allAt(std::uint64_t version) const
    {
        return this->world.enginesAt(version) == this->world.engines.size();
    }

    Duration timeUntilAllAt(std::uint64_t version, Duration limit = 60s)
    {
        return this->world.runUntil([&] { return this->allAt(version); }, limit);
    }

    std::size_t freezeOwner()
    {
        const std::size_t owner = this->world.ownerOfEngine({"engine-0"});
        this->world.nodes[owner].frozen = true;
        return owner;
    }

    World world;
};

} // namespace

TEST_CASE("a posted version reaches all engines within the share that may swap")
{
    Fixture fixture;
    fixture.world.post(5, 3);
    CHECK(fixture.timeUntilAllAt(5) < 12s);
    CHECK(fixture.world.mostLoading == 4); // 60% of 10 engines serve.
    REQUIRE(fixture.world.answers.size() == 1);
    CHECK(fixture.world.answers[0].verdict == WeightsVerdict::Accepted);
}

TEST_CASE("a lower version is refused and changes nothing")
{
    Fixture fixture;
    fixture.world.post(5);
    fixture.timeUntilAllAt(5);
    fixture.world.post(4, 7);
    fixture.world.runFor(10s);
    CHECK(fixture.world.answers.back().verdict == WeightsVerdict::Lower);
    CHECK(fixture.world.answers.back().desired == WeightVersion{5});
    CHECK(fixture.world.loweringOrders == 0);
}

TEST_CASE("a version raised during a wave wins and no engine goes back")
{
    Fixture fixture;
    fixture.world.post(5);
    fixture.world.runFor(3s);
    fixture.world.post(6, 1);
    fixture.timeUntilAllAt(6);
    CHECK(fixture.allAt(6));
    CHECK(fixture.world.loweringOrders == 0);
    CHECK(fixture.world.doubleOrders == 0);
}

TEST_CASE("an engine that restarts under its address with an older version is brought back")
{
    Fixture fixture;
    fixture.world.post(5);
    fixture.timeUntilAllAt(5);
    fixture.world.restart(fixture.world.engine(4), 2);
    CHECK_FALSE(fixture.allAt(5));
    fixture.timeUntilAllAt(5);
    CHECK(fixture.allAt(5));
}

TEST_CASE("an engine that restarts with a higher version than desired gets no order")
{
    Fixture fixture;
    fixture.world.post(5);
    fixture.timeUntilAllAt(5);
    EngineModel &engine = fixture.world.engine(4);
    fixture.world.restart(engine, 9);
    const std::uint32_t orders = engine.orders;
    fixture.world.runFor(30s);
    CHECK(engine.orders == orders);
    CHECK(engine.version == 9);
}

TEST_CASE("an engine whose swaps fail does not hold up the others and is tried again later")
{
    Fixture fixture;
    fixture.world.engine(3).fails = true;
    fixture.world.post(5);
    const auto othersDone = [&] { return fixture.world.enginesAt(5) == 9; };
    CHECK(fixture.world.runUntil(othersDone, 60s) < 15s);
    fixture.world.runFor(30s);
    CHECK(fixture.world.givenUp > 0);
    CHECK(fixture.world.engine(3).orders < 10); // Backoff, not a loop.
    fixture.world.engine(3).fails = false;
    fixture.timeUntilAllAt(5, 90s);
    CHECK(fixture.allAt(5));
}

TEST_CASE("a dead engine does not hold up the others")
{
    Fixture fixture;
    fixture.world.engine(1).alive = false;
    fixture.world.engine(2).alive = false;
    fixture.world.post(5);
    const auto othersDone = [&] { return fixture.world.enginesAt(5) == 8; };
    CHECK(fixture.world.runUntil(othersDone, 60s) < 50s);
    CHECK(fixture.world.mostLoading <= 4);
}

TEST_CASE("lost answers of orders are resolved by reports, without a second order")
{
    Fixture fixture;
    fixture.world.loseOrderAnswers = true;
    fixture.world.post(5);
    fixture.timeUntilAllAt(5);
    CHECK(fixture.allAt(5));
    CHECK(fixture.world.doubleOrders == 0);
    for (const auto &[id, engine] : fixture.world.engines)
        CHECK(engine.orders == 1);
}

TEST_CASE("an owner that wakes from a freeze takes no engine back")
{
    Fixture fixture;
    fixture.world.post(5);
    fixture.world.runFor(2s);
    const std::size_t frozen = fixture.freezeOwner();
    fixture.world.runFor(5s);
    fixture.world.publishView(); // The others have dropped the silent node.
    fixture.world.runFor(8s);
    fixture.world.post(6, frozen == 0 ? 1 : 0);
    fixture.world.runFor(3s);
    fixture.world.thaw(frozen);
    fixture.world.runFor(2s);
    fixture.world.publishView();
    fixture.timeUntilAllAt(6);
    CHECK(fixture.allAt(6));
    CHECK(fixture.world.loweringOrders == 0);
    CHECK(fixture.world.doubleOrders == 0);
    CHECK(fixture.world.mostLoading <= 4);
}

TEST_CASE("engines that check fencing refuse an owner that lost its group")
{
    WorldSettings settings;
    settings.service.checksFencing = true;
    Fixture fixture(settings);
    fixture.world.post(5);
    fixture.world.runFor(2s);
    const std::size_t frozen = fixture.freezeOwner();
    fixture.world.publishView();
    fixture.timeUntilAllAt(5);
    CHECK(fixture.allAt(5));
    fixture.world.thaw(frozen);
    fixture.world.runFor(10s);
    CHECK(fixture.world.loweringOrders == 0);
    CHECK(fixture.world.doubleOrders == 0);
}

TEST_CASE("an owner that cannot check its claim stops, and goes on when the table answers")
{
    Fixture fixture;
    fixture.world.engine(9).fails = true;
    fixture.world.post(5);
    fixture.world.runFor(4s);
    fixture.world.tableDown = true;
    fixture.world.runFor(10s);
    const std::uint32_t orders = fixture.world.engine(9).orders;
    fixture.world.engine(9).fails = false;
    fixture.world.runFor(60s);
    CHECK(fixture.world.engine(9).orders == orders);
    fixture.world.tableDown = false;
    fixture.timeUntilAllAt(5);
    CHECK(fixture.allAt(5));
}

TEST_CASE("a post during an outage of the table is answered as unknown, not as accepted")
{
    Fixture fixture;
    fixture.world.tableDown = true;
    fixture.world.post(5);
    fixture.world.runFor(10s);
    REQUIRE(fixture.world.answers.size() == 1);
    CHECK(fixture.world.answers[0].verdict == WeightsVerdict::Unknown);
    CHECK(fixture.world.enginesAt(5) == 0);
}

TEST_CASE("the weight store serves no more loads at once than it is configured for")
{
    WorldSettings settings;
    settings.engines = 40;
    settings.service.weightLoadsAtOnce = 2;
    settings.loadTime = 4s;
    Fixture fixture(settings);
    fixture.world.post(5);
    fixture.timeUntilAllAt(5, 120s);
    CHECK(fixture.allAt(5));
    CHECK(fixture.world.mostStoreLoads <= 2);
}

TEST_CASE("reports that lag by five seconds delay a wave but keep its share")
{
    WorldSettings settings;
    settings.reportLag = 5s;
    Fixture fixture(settings);
    fixture.world.post(5);
    fixture.timeUntilAllAt(5);
    CHECK(fixture.allAt(5));
    CHECK(fixture.world.mostLoading <= 4);
    CHECK(fixture.world.doubleOrders == 0);
    for (const auto &[id, engine] : fixture.world.engines)
        CHECK(engine.orders == 1);
}

TEST_CASE("an older report after a newer one changes nothing, a later incarnation does")
{
    EngineReport newer;
    newer.incarnation = "a";
    newer.sequence = 7;
    newer.heardAt = Time{10s};
    EngineReport older = newer;
    older.sequence = 6;
    older.heardAt = Time{11s};
    CHECK_FALSE(isNewer(older, newer));
    EngineReport late = older;
    late.incarnation = "b";
    late.age = 5s; // Measured before the newer one.
    CHECK_FALSE(isNewer(late, newer));
    late.age = 0s;
    CHECK(isNewer(late, newer));
}

TEST_CASE("a draining engine is published as swapping before its order")
{
    WorldSettings settings;
    Fixture fixture(settings);
    for (auto &[id, engine] : fixture.world.engines)
        engine.inFlight = 3;
    bool marked = true;
    fixture.world.onAction = [&](std::size_t node, const EnginesAction &action) {
        const auto *order = std::get_if<OrderWeights>(&action);
        if (order == nullptr)
            return;
        const EngineReport *report =
                findReport(*fixture.world.nodes[node].published, order->target.id);
        marked = marked && report != nullptr && report->swapping;
    };
    fixture.world.post(5);
    fixture.timeUntilAllAt(5);
    CHECK(fixture.allAt(5));
    CHECK(marked);
}

TEST_CASE("every node hears the reports of all engines of a small service")
{
    Fixture fixture;
    for (const NodeModel &node : fixture.world.nodes) {
        REQUIRE(node.published != nullptr);
        CHECK(node.published->reports.size() == 10);
    }
}

TEST_CASE("a new owner orders nothing before the former one has found out that it lost the group")
{
    Fixture fixture;
    const std::size_t frozen = fixture.freezeOwner();
    fixture.world.post(5, frozen == 0 ? 1 : 0);
    fixture.world.publishView();
    const EngineModel &engine = fixture.world.engines.at({"engine-0"});
    const Time begin = fixture.world.now;
    std::optional<Time> heldAt;
    while (engine.orders == 0 && fixture.world.now < begin + 60s) {
        fixture.world.runFor(100ms);
        const std::size_t owner = fixture.world.ownerOfEngine({"engine-0"});
        for (const auto &[key, hold] : fixture.world.nodes[owner].state.holds) {
            if (owner != frozen && hold.held && !heldAt)
                heldAt = fixture.world.now;
        }
    }
    REQUIRE(engine.orders > 0);
    REQUIRE(heldAt.has_value());
    const Duration silenceLimit = EnginesSettings{}.silenceLimit;
    CHECK(fixture.world.now - *heldAt >= silenceLimit - 100ms);
}
