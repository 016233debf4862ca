#include <geraniumpulley/core/fleet/assignment_cache.hpp>

#include <doctest/doctest.h>

#include <memory>

using namespace geraniumpulley::core;

namespace {

std::shared_ptr<const TargetMap> makeEngines(std::size_t count)
{
    auto targets = std::make_shared<TargetMap>();
    for (std::size_t i = 0; i < count; ++i) {
        FleetTarget target;
        target.target = {{"e" + std::to_string(i)}, {"engines"}, "", "", false};
        target.weights["m"] = WeightVersion{1};
        targets->emplace(target.target.id, target);
    }
    return targets;
}

Directory makeDirectory()
{
    auto routing = std::make_shared<RoutingTable>();
    routing->services.push_back({{"engines"}, 0, true});
    Directory directory;
    directory.routing = routing;
    directory.targets = makeEngines(2);
    directory.desiredWeights = std::make_shared<WeightMap>();
    directory.modelWork = std::make_shared<ModelWork>();
    return directory;
}

} // namespace

TEST_CASE("assignments follow the directory")
{
    AssignmentCache cache;
    Directory directory = makeDirectory();
    CHECK(assignmentsFor(cache, directory).size() == 2);
    directory.targets = makeEngines(3);
    CHECK(assignmentsFor(cache, directory).size() == 3);
    directory.routing = std::make_shared<RoutingTable>();
    CHECK(assignmentsFor(cache, directory).empty());
}

TEST_CASE("assignments are kept while no part of the directory that they depend on changes")
{
    AssignmentCache cache;
    Directory directory = makeDirectory();
    const std::string *model = &assignmentsFor(cache, directory).at({"e0"});
    directory.batches = std::make_shared<BatchMap>();
    CHECK(&assignmentsFor(cache, directory).at({"e0"}) == model);
}

TEST_CASE("without known tables no engine is assigned")
{
    AssignmentCache cache;
    CHECK(assignmentsFor(cache, Directory{}).empty());
    Directory directory = makeDirectory();
    directory.modelWork = nullptr;
    CHECK(assignmentsFor(cache, directory).empty());
}
