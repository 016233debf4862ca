#include "engine_simulation.hpp"

#include <doctest/doctest.h>

using namespace engine_simulation;

namespace {

constexpr Duration settleTime = 10s; // Long enough for the first claims to become usable.

struct Fixture
{
    explicit Fixture(const SimulationSettings &settings = {}) : simulation(settings)
    {
        this->simulation.runFor(settleTime);
    }

    [[nodiscard]] bool allAt(std::uint64_t version) const
    {
        return this->simulation.engineCountAt(version) == this->simulation.engines.size();
    }

    Duration runUntilAllAt(std::uint64_t version, Duration timeout = 60s)
    {
        return this->simulation.runUntil([&] { return this->allAt(version); }, timeout);
    }

    std::size_t pauseOwner()
    {
        const std::size_t owner = this->simulation.ownerOfEngine({"engine-0"});
        this->simulation.nodes[owner].paused = true;
        return owner;
    }

    Simulation simulation;
};

} // namespace

TEST_CASE("a new desired version reaches all engines within the limit of concurrent swaps")
{
    Fixture fixture;
    fixture.simulation.postWeights(5, 3);
    CHECK(fixture.runUntilAllAt(5) < 12s);
    CHECK(fixture.simulation.maxLoadingEngines == 4); // 60% of the 10 engines keep serving.
    REQUIRE(fixture.simulation.answers.size() == 1);
    CHECK(fixture.simulation.answers[0].verdict == WeightsVerdict::Accepted);
}

TEST_CASE("a lower desired version is refused and changes nothing")
{
    Fixture fixture;
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5);
    fixture.simulation.postWeights(4, 7);
    fixture.simulation.runFor(10s);
    CHECK(fixture.simulation.answers.back().verdict == WeightsVerdict::Lower);
    CHECK(fixture.simulation.answers.back().desired == WeightVersion{5});
    CHECK(fixture.simulation.downgradeOrders == 0);
}

TEST_CASE("a desired version raised during a swap takes effect without lowering any engine")
{
    Fixture fixture;
    fixture.simulation.postWeights(5);
    fixture.simulation.runFor(3s);
    fixture.simulation.postWeights(6, 1);
    fixture.runUntilAllAt(6);
    CHECK(fixture.allAt(6));
    CHECK(fixture.simulation.downgradeOrders == 0);
    CHECK(fixture.simulation.overlappingOrders == 0);
}

TEST_CASE("an engine that restarts with an older version is updated again")
{
    Fixture fixture;
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5);
    fixture.simulation.restart(fixture.simulation.engine(4), 2);
    CHECK_FALSE(fixture.allAt(5));
    fixture.runUntilAllAt(5);
    CHECK(fixture.allAt(5));
}

TEST_CASE("an engine that restarts above the desired version gets no order")
{
    Fixture fixture;
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5);
    FakeEngine &engine = fixture.simulation.engine(4);
    fixture.simulation.restart(engine, 9);
    const std::uint32_t orders = engine.orderCount;
    fixture.simulation.runFor(30s);
    CHECK(engine.orderCount == orders);
    CHECK(engine.version == 9);
}

TEST_CASE("an engine whose loads fail does not delay the others and is retried with backoff")
{
    Fixture fixture;
    fixture.simulation.engine(3).failsLoads = true;
    fixture.simulation.postWeights(5);
    const auto areOthersUpdated = [&] { return fixture.simulation.engineCountAt(5) == 9; };
    CHECK(fixture.simulation.runUntil(areOthersUpdated, 60s) < 15s);
    fixture.simulation.runFor(30s);
    CHECK(fixture.simulation.enginesGivenUp > 0);
    CHECK(fixture.simulation.engine(3).orderCount < 10); // Retries are limited by the backoff.
    fixture.simulation.engine(3).failsLoads = false;
    fixture.runUntilAllAt(5, 90s);
    CHECK(fixture.allAt(5));
}

TEST_CASE("dead engines do not delay the others")
{
    Fixture fixture;
    fixture.simulation.engine(1).alive = false;
    fixture.simulation.engine(2).alive = false;
    fixture.simulation.postWeights(5);
    const auto areOthersUpdated = [&] { return fixture.simulation.engineCountAt(5) == 8; };
    CHECK(fixture.simulation.runUntil(areOthersUpdated, 60s) < 50s);
    CHECK(fixture.simulation.maxLoadingEngines <= 4);
}

TEST_CASE("lost order answers are resolved by reports without a second order")
{
    Fixture fixture;
    fixture.simulation.losesOrderAnswers = true;
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5);
    CHECK(fixture.allAt(5));
    CHECK(fixture.simulation.overlappingOrders == 0);
    for (const auto &[id, engine] : fixture.simulation.engines)
        CHECK(engine.orderCount == 1);
}

// Guards against a paused owner that, when it resumes, repeats an order for an older version.
TEST_CASE("an owner that resumes after a pause lowers no engine")
{
    Fixture fixture;
    fixture.simulation.postWeights(5);
    fixture.simulation.runFor(2s);
    const std::size_t pausedNode = fixture.pauseOwner();
    fixture.simulation.runFor(5s);
    fixture.simulation.publishView(); // The new view lacks the paused node.
    fixture.simulation.runFor(8s);
    fixture.simulation.postWeights(6, pausedNode == 0 ? 1 : 0);
    fixture.simulation.runFor(3s);
    fixture.simulation.resume(pausedNode);
    fixture.simulation.runFor(2s);
    fixture.simulation.publishView();
    fixture.runUntilAllAt(6);
    CHECK(fixture.allAt(6));
    CHECK(fixture.simulation.downgradeOrders == 0);
    CHECK(fixture.simulation.overlappingOrders == 0);
    CHECK(fixture.simulation.maxLoadingEngines <= 4);
}

TEST_CASE("engines that check fencing refuse the orders of a former owner")
{
    SimulationSettings settings;
    settings.service.checksFencing = true;
    Fixture fixture(settings);
    fixture.simulation.postWeights(5);
    fixture.simulation.runFor(2s);
    const std::size_t pausedNode = fixture.pauseOwner();
    fixture.simulation.publishView();
    fixture.runUntilAllAt(5);
    CHECK(fixture.allAt(5));
    fixture.simulation.resume(pausedNode);
    fixture.simulation.runFor(10s);
    CHECK(fixture.simulation.downgradeOrders == 0);
    CHECK(fixture.simulation.overlappingOrders == 0);
}

TEST_CASE("an owner that cannot check its claim sends no orders until the table answers again")
{
    Fixture fixture;
    fixture.simulation.engine(9).failsLoads = true;
    fixture.simulation.postWeights(5);
    fixture.simulation.runFor(4s);
    fixture.simulation.tableDown = true;
    fixture.simulation.runFor(10s);
    const std::uint32_t orders = fixture.simulation.engine(9).orderCount;
    fixture.simulation.engine(9).failsLoads = false;
    fixture.simulation.runFor(60s);
    CHECK(fixture.simulation.engine(9).orderCount == orders);
    fixture.simulation.tableDown = false;
    fixture.runUntilAllAt(5);
    CHECK(fixture.allAt(5));
}

TEST_CASE("a weights update during a table outage is answered as unknown, not as accepted")
{
    Fixture fixture;
    fixture.simulation.tableDown = true;
    fixture.simulation.postWeights(5);
    fixture.simulation.runFor(10s);
    REQUIRE(fixture.simulation.answers.size() == 1);
    CHECK(fixture.simulation.answers[0].verdict == WeightsVerdict::Unknown);
    CHECK(fixture.simulation.engineCountAt(5) == 0);
}

TEST_CASE("concurrent loads from the weight store stay within the configured limit")
{
    SimulationSettings settings;
    settings.engines = 40;
    settings.service.maxConcurrentWeightLoads = 2;
    settings.loadTime = 4s;
    Fixture fixture(settings);
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5, 120s);
    CHECK(fixture.allAt(5));
    CHECK(fixture.simulation.maxStoreLoads <= 2);
}

TEST_CASE("reports that lag by five seconds do not break the limit of concurrent swaps")
{
    SimulationSettings settings;
    settings.reportLag = 5s;
    Fixture fixture(settings);
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5);
    CHECK(fixture.allAt(5));
    CHECK(fixture.simulation.maxLoadingEngines <= 4);
    CHECK(fixture.simulation.overlappingOrders == 0);
    for (const auto &[id, engine] : fixture.simulation.engines)
        CHECK(engine.orderCount == 1);
}

TEST_CASE("an older report does not replace a newer one, but one of a later incarnation does")
{
    EngineReport newer;
    newer.incarnation = "a";
    newer.sequence = 7;
    newer.receivedAt = Time{10s};
    EngineReport older = newer;
    older.sequence = 6;
    older.receivedAt = Time{11s};
    CHECK_FALSE(isNewer(older, newer));
    EngineReport restarted = older;
    restarted.incarnation = "b";
    restarted.age = 5s; // Measured before `newer`.
    CHECK_FALSE(isNewer(restarted, newer));
    restarted.age = 0s;
    CHECK(isNewer(restarted, newer));
}

TEST_CASE("a draining engine is published as swapping before its order")
{
    SimulationSettings settings;
    Fixture fixture(settings);
    for (auto &[id, engine] : fixture.simulation.engines)
        engine.inFlight = 3;
    bool isMarkedBeforeOrder = true;
    fixture.simulation.onAction = [&](std::size_t node, const EnginesAction &action) {
        const auto *order = std::get_if<OrderWeights>(&action);
        if (order == nullptr)
            return;
        const EngineReport *report =
                findReport(*fixture.simulation.nodes[node].published, order->target.id);
        isMarkedBeforeOrder = isMarkedBeforeOrder && report != nullptr && report->swapping;
    };
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5);
    CHECK(fixture.allAt(5));
    CHECK(isMarkedBeforeOrder);
}

TEST_CASE("every node receives the reports of all engines of a small service")
{
    Fixture fixture;
    for (const FakeNode &node : fixture.simulation.nodes) {
        REQUIRE(node.published != nullptr);
        CHECK(node.published->reports.size() == 10);
    }
}

// Guards against an order that waits for its connection until another node orders.
TEST_CASE("an order is not sent after the time for which its claim was confirmed")
{
    Fixture fixture;
    std::size_t orders = 0;
    fixture.simulation.onAction = [&](std::size_t node, const EnginesAction &action) {
        const auto *order = std::get_if<OrderWeights>(&action);
        if (order == nullptr)
            return;
        ++orders;
        const EnginesState &state = fixture.simulation.nodes[node].state;
        Time confirmedUntil{};
        for (const auto &[key, claim] : state.groupClaims) {
            if (claim.held && claim.fence == order->fence)
                confirmedUntil = claim.checkedAt + state.settings.silenceTimeout;
        }
        CHECK(order->sendBefore > fixture.simulation.now);
        CHECK(order->sendBefore < confirmedUntil);
    };
    fixture.simulation.postWeights(5);
    fixture.runUntilAllAt(5);
    CHECK(orders > 0);
}

// Without fencing checks at the engines, the new owner waits for the silence timeout, after which
// the former owner can no longer send orders.
TEST_CASE("a new owner sends no orders before the former one has stopped sending them")
{
    Fixture fixture;
    const std::size_t pausedNode = fixture.pauseOwner();
    fixture.simulation.postWeights(5, pausedNode == 0 ? 1 : 0);
    fixture.simulation.publishView();
    const FakeEngine &engine = fixture.simulation.engines.at({"engine-0"});
    const Time begin = fixture.simulation.now;
    std::optional<Time> heldAt;
    while (engine.orderCount == 0 && fixture.simulation.now < begin + 60s) {
        fixture.simulation.runFor(100ms);
        const std::size_t owner = fixture.simulation.ownerOfEngine({"engine-0"});
        for (const auto &[key, claim] : fixture.simulation.nodes[owner].state.groupClaims) {
            if (owner != pausedNode && claim.held && !heldAt)
                heldAt = fixture.simulation.now;
        }
    }
    REQUIRE(engine.orderCount > 0);
    REQUIRE(heldAt.has_value());
    const Duration silenceLimit = EnginesSettings{}.silenceTimeout;
    CHECK(fixture.simulation.now - *heldAt >= silenceLimit - 100ms);
}
