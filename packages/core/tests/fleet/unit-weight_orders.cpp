#include <geraniumpulley/core/fleet/weight_orders.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

struct WeightOrdersFixture
{
    WeightOrders orders;
    Directory directory;
    TargetMap targets;
    WeightMap desired;
    WeightMap minVersions;
    EngineAssignments assignments;

    explicit WeightOrdersFixture(std::size_t engines,
                                 const std::vector<std::string> &models = {"m"})
    {
        auto routing = std::make_shared<RoutingTable>();
        routing->services.push_back({{"engines"}, 0, true});
        this->directory.routing = routing;
        for (std::size_t i = 0; i < engines; ++i) {
            FleetTarget target;
            target.target = {{"e" + std::to_string(i)}, {"engines"}, "", "", false};
            for (const std::string &model : models)
                target.weights[model] = WeightVersion{1};
            target.startedAt = 1;
            this->targets.emplace(target.target.id, target);
        }
        for (const std::string &model : models)
            this->desired[model] = WeightVersion{2};
        this->publish();
    }

    void publish()
    {
        this->directory.targets = std::make_shared<TargetMap>(this->targets);
        this->directory.desiredWeights = std::make_shared<WeightMap>(this->desired);
        this->directory.minWeights = std::make_shared<WeightMap>(this->minVersions);
        this->assignments =
                assignEngines(servingTargets(this->targets, {"engines"}), {}, this->desired);
    }

    std::vector<RequestEngineState> plan(Time now)
    {
        return planOrders(this->orders, this->directory, this->assignments, now);
    }

    std::optional<SendWeightOrder> receiveState(const TargetId &target,
                                                const std::optional<EngineState> &state, Time now)
    {
        return onEngineStateReceived(this->orders, this->directory, target, state,
                                     {FencingToken{5}, now + 1s}, now);
    }
};

EngineState makeEngineState(std::uint64_t version, bool loading = false)
{
    return {{{"m", WeightVersion{version}}}, loading, 3};
}

} // namespace

TEST_CASE("an order follows a state request and is conditional on the number of accepted orders")
{
    WeightOrdersFixture fixture(1);
    const auto requests = fixture.plan(start);
    REQUIRE(requests.size() == 1);
    const auto order = fixture.receiveState(requests[0].target.id, makeEngineState(1), start);
    REQUIRE(order.has_value());
    CHECK(order->version == WeightVersion{2});
    CHECK(order->expectedAcceptedOrders == 3);
    CHECK(order->proof.fence == FencingToken{5});
}

TEST_CASE("only a share of the engines loads at the same time")
{
    WeightOrdersFixture fixture(36);
    CHECK(fixture.plan(start).size() == 7);
    CHECK(fixture.plan(start + 1ms).empty());
    WeightOrdersFixture small(8);
    CHECK(small.plan(start).size() == 2);
}

TEST_CASE("an engine that already has the version gets no order")
{
    WeightOrdersFixture fixture(1);
    const auto requests = fixture.plan(start);
    CHECK_FALSE(fixture.receiveState(requests[0].target.id, makeEngineState(2), start).has_value());
    CHECK(fixture.plan(start + 1s).empty());
}

TEST_CASE("a loading engine gets no order, and its state is requested again")
{
    WeightOrdersFixture fixture(1);
    const TargetId engine = fixture.plan(start)[0].target.id;
    CHECK_FALSE(fixture.receiveState(engine, makeEngineState(1, true), start).has_value());
    CHECK(fixture.plan(start + 50ms).empty());
    CHECK(fixture.plan(start + 110ms).size() == 1);
}

TEST_CASE("an order without an answer is not repeated before a state request")
{
    WeightOrdersFixture fixture(1);
    const TargetId engine = fixture.plan(start)[0].target.id;
    REQUIRE(fixture.receiveState(engine, makeEngineState(1), start).has_value());
    onWeightOrderReply(fixture.orders, engine, WeightOrderReply::Unknown, start + 800ms);
    CHECK(fixture.plan(start + 900ms).empty());
    const auto requests = fixture.plan(start + 1300ms);
    REQUIRE(requests.size() == 1);
    // The engine has executed the order late, and has the version.
    CHECK_FALSE(fixture.receiveState(engine, makeEngineState(2), start + 1300ms).has_value());
}

TEST_CASE("a completed load makes room for the next engine")
{
    WeightOrdersFixture fixture(8);
    const auto requests = fixture.plan(start);
    REQUIRE(requests.size() == 2);
    REQUIRE(fixture.receiveState(requests[0].target.id, makeEngineState(1), start).has_value());
    onWeightOrderReply(fixture.orders, requests[0].target.id, WeightOrderReply::Accepted, start);
    CHECK(fixture.plan(start + 500ms).empty());
    REQUIRE(!fixture.plan(start + 1010ms).empty());
    CHECK_FALSE(fixture.receiveState(requests[0].target.id, makeEngineState(2), start + 1010ms)
                        .has_value());
    CHECK(fixture.plan(start + 1011ms).size() == 1);
}

TEST_CASE("a restart of an engine discards its order in progress")
{
    WeightOrdersFixture fixture(1);
    const TargetId engine = fixture.plan(start)[0].target.id;
    REQUIRE(fixture.receiveState(engine, makeEngineState(1), start).has_value());
    fixture.targets.at(engine).startedAt = 2;
    fixture.publish();
    CHECK(fixture.plan(start + 10ms).size() == 1);
}

TEST_CASE("an order has the version that is desired when it is sent")
{
    WeightOrdersFixture fixture(1);
    const TargetId engine = fixture.plan(start)[0].target.id;
    fixture.desired["m"] = WeightVersion{4};
    fixture.publish();
    const auto order = fixture.receiveState(engine, makeEngineState(1), start);
    REQUIRE(order.has_value());
    CHECK(order->version == WeightVersion{4});
}

TEST_CASE("engines that the newest batch cannot use load first, starting with the model with the "
          "fewest usable ones")
{
    WeightOrdersFixture fixture(8, {"a", "b"});
    // All engines of `a` are one version behind, which its batches accept. One engine of `b` is up
    // to date, and three are too old for its batches.
    std::map<std::string, std::size_t> enginesByModel;
    for (auto &[id, target] : fixture.targets) {
        const std::string &model = fixture.assignments.at(id);
        const std::size_t index = enginesByModel[model]++;
        target.weights["a"] = target.weights["b"] = WeightVersion{1};
        if (model == "a")
            target.weights[model] = WeightVersion{4};
        else
            target.weights[model] = WeightVersion{index == 0 ? 5U : 3U};
    }
    fixture.desired = {{"a", WeightVersion{5}}, {"b", WeightVersion{5}}};
    fixture.minVersions = {{"a", WeightVersion{4}}, {"b", WeightVersion{4}}};
    fixture.publish();
    for (const RequestEngineState &request : fixture.plan(start)) {
        CHECK(fixture.assignments.at(request.target.id) == "b");
        CHECK(fixture.targets.at(request.target.id).weights.at("b") == WeightVersion{3});
    }
}
