#include <geraniumpulley/core/fleet/directory.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

namespace {

std::vector<FleetTarget> makeTargets(std::size_t count)
{
    std::vector<FleetTarget> targets(count);
    for (std::size_t i = 0; i < count; ++i) {
        targets[i].target.id = {"t" + std::to_string(i)};
        targets[i].weights = {{"a", {}}, {"b", {}}, {"c", {}}};
    }
    return targets;
}

std::vector<const FleetTarget *> pointers(const std::vector<FleetTarget> &targets)
{
    std::vector<const FleetTarget *> result;
    result.reserve(targets.size());
    for (const FleetTarget &target : targets)
        result.push_back(&target);
    return result;
}

} // namespace

TEST_CASE("every target gets one model, and models get equal shares")
{
    for (const std::size_t count : {1U, 8U, 9U, 35U}) {
        const std::vector<FleetTarget> targets = makeTargets(count);
        const auto assigned = assignModels(pointers(targets), {"a", "b", "c"});
        CHECK(assigned.size() == count);
        std::map<std::string, std::size_t> shares;
        for (const auto &[target, model] : assigned)
            ++shares[model];
        for (const auto &[model, share] : shares)
            CHECK(share <= (count + 2) / 3);
    }
}

TEST_CASE("a target that leaves moves few of the others")
{
    const std::vector<FleetTarget> targets = makeTargets(36);
    const auto before = assignModels(pointers(targets), {"a", "b", "c"});
    std::vector<const FleetTarget *> fewer = pointers(targets);
    fewer.pop_back();
    const auto after = assignModels(fewer, {"a", "b", "c"});
    std::size_t moved = 0;
    for (const auto &[target, model] : after)
        moved += before.at(target) == model ? 0 : 1;
    CHECK(moved <= 4);
}

TEST_CASE("without models nothing is assigned")
{
    const std::vector<FleetTarget> targets = makeTargets(3);
    CHECK(assignModels(pointers(targets), {}).empty());
}

TEST_CASE("only targets of the service that take work are serving")
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
