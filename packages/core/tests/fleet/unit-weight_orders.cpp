#include <geraniumpulley/core/fleet/weight_orders.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{std::chrono::seconds(100)};

struct OrdersWorld
{
    WeightOrders orders;
    Directory directory;
    TargetMap targets;
    WeightMap desired;
    WeightMap least;

    explicit OrdersWorld(std::size_t engines, const std::vector<std::string> &models = {"m"})
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
        this->directory.leastWeights = std::make_shared<WeightMap>(this->least);
        this->directory.shares = std::make_shared<EngineShares>(
                shareEngines(servingTargets(this->targets, {"engines"}), {}, this->desired));
    }

    std::vector<AskEngineState> plan(Time now)
    {
        return planOrders(this->orders, this->directory, now);
    }

    std::optional<PlaceWeightOrder> hear(const TargetId &target,
                                         const std::optional<EngineState> &state, Time now)
    {
        return noteEngineState(this->orders, this->directory, target, state, FencingNumber{5}, now);
    }
};

EngineState makeState(std::uint64_t version, bool loading = false)
{
    return {{{"m", WeightVersion{version}}}, loading, 3};
}

} // namespace

TEST_CASE("an engine is asked for its state, then ordered on condition of its count of orders")
{
    OrdersWorld world(1);
    const auto asked = world.plan(start);
    REQUIRE(asked.size() == 1);
    const auto order = world.hear(asked[0].target.id, makeState(1), start);
    REQUIRE(order.has_value());
    CHECK(order->version == WeightVersion{2});
    CHECK(order->expectedOrders == 3);
    CHECK(order->fence == FencingNumber{5});
}

TEST_CASE("only a share of the engines loads at once")
{
    OrdersWorld world(36);
    CHECK(world.plan(start).size() == 7);
    CHECK(world.plan(start + 1ms).empty());
    OrdersWorld few(8);
    CHECK(few.plan(start).size() == 2);
}

TEST_CASE("an engine that has the version already gets no order")
{
    OrdersWorld world(1);
    const auto asked = world.plan(start);
    CHECK_FALSE(world.hear(asked[0].target.id, makeState(2), start).has_value());
    CHECK(world.plan(start + 1s).empty());
}

TEST_CASE("an engine that loads is asked again and not ordered")
{
    OrdersWorld world(1);
    const TargetId engine = world.plan(start)[0].target.id;
    CHECK_FALSE(world.hear(engine, makeState(1, true), start).has_value());
    CHECK(world.plan(start + 50ms).empty());
    CHECK(world.plan(start + 110ms).size() == 1);
}

TEST_CASE("an order without an answer is followed by a question, not by a blind repetition")
{
    OrdersWorld world(1);
    const TargetId engine = world.plan(start)[0].target.id;
    REQUIRE(world.hear(engine, makeState(1), start).has_value());
    noteOrderReply(world.orders, engine, WeightOrderReply::Unknown, start + 800ms);
    CHECK(world.plan(start + 900ms).empty());
    const auto asked = world.plan(start + 1300ms);
    REQUIRE(asked.size() == 1);
    // Carried out late after all: the count has moved on, and the version is there.
    CHECK_FALSE(world.hear(engine, makeState(2), start + 1300ms).has_value());
}

TEST_CASE("an accepted order frees its place when the engine has loaded")
{
    OrdersWorld world(8);
    const auto asked = world.plan(start);
    REQUIRE(asked.size() == 2);
    REQUIRE(world.hear(asked[0].target.id, makeState(1), start).has_value());
    noteOrderReply(world.orders, asked[0].target.id, WeightOrderReply::Accepted, start);
    CHECK(world.plan(start + 500ms).empty());
    REQUIRE(!world.plan(start + 1010ms).empty());
    CHECK_FALSE(world.hear(asked[0].target.id, makeState(2), start + 1010ms).has_value());
    CHECK(world.plan(start + 1011ms).size() == 1);
}

TEST_CASE("a restarted engine begins anew")
{
    OrdersWorld world(1);
    const TargetId engine = world.plan(start)[0].target.id;
    REQUIRE(world.hear(engine, makeState(1), start).has_value());
    world.targets.at(engine).startedAt = 2;
    world.publish();
    CHECK(world.plan(start + 10ms).size() == 1);
}

TEST_CASE("the newest version is ordered when it was raised meanwhile")
{
    OrdersWorld world(1);
    const TargetId engine = world.plan(start)[0].target.id;
    world.desired["m"] = WeightVersion{4};
    world.publish();
    const auto order = world.hear(engine, makeState(1), start);
    REQUIRE(order.has_value());
    CHECK(order->version == WeightVersion{4});
}

TEST_CASE("engines that the newest batch cannot use load first, those of the model with fewest")
{
    OrdersWorld world(8, {"a", "b"});
    // All engines of `a` are one version behind, which its batches allow. Of those of `b` one is up
    // to date, and three are too old.
    std::map<std::string, std::size_t> seen;
    for (auto &[id, target] : world.targets) {
        const std::string &model = world.directory.shares->at(id);
        const std::size_t place = seen[model]++;
        target.weights["a"] = target.weights["b"] = WeightVersion{1};
        if (model == "a")
            target.weights[model] = WeightVersion{4};
        else
            target.weights[model] = WeightVersion{place == 0 ? 5U : 3U};
    }
    world.desired = {{"a", WeightVersion{5}}, {"b", WeightVersion{5}}};
    world.least = {{"a", WeightVersion{4}}, {"b", WeightVersion{4}}};
    world.publish();
    for (const AskEngineState &asked : world.plan(start)) {
        CHECK(world.directory.shares->at(asked.target.id) == "b");
        CHECK(world.targets.at(asked.target.id).weights.at("b") == WeightVersion{3});
    }
}
