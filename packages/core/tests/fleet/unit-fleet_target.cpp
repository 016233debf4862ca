#include <geraniumpulley/core/fleet/fleet_target.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

TEST_CASE("only targets of the service that are not leaving are serving")
{
    TargetMap targets;
    for (const char *id : {"a", "b", "c"}) {
        FleetTarget target;
        target.target = {{id}, {std::string(id) == "c" ? "other" : "service"}, "", "", false};
        targets.emplace(target.target.id, target);
    }
    targets.at({"b"}).target.leaving = true;
    const auto serving = servingTargets(targets, {"service"});
    REQUIRE(serving.size() == 1);
    CHECK(serving[0]->target.id.value == "a");
}

TEST_CASE("a model that is not known has version 0")
{
    const WeightMap weights{{"a", WeightVersion{3}}};
    CHECK(versionOf(weights, "a") == WeightVersion{3});
    CHECK(versionOf(weights, "b") == WeightVersion{});
}
