#include <geraniumpulley/core/fleet/engine_assignments.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace geraniumpulley::core;

namespace {

using Counts = std::map<std::string, std::size_t>;

struct EngineFixture
{
    explicit EngineFixture(std::size_t count,
                           const std::vector<std::string> &models = {"a", "b", "c"})
        : targets(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->targets[i].target.id = {"t" + std::to_string(i)};
            for (const std::string &model : models)
                this->targets[i].weights[model] = WeightVersion{};
        }
        for (const std::string &model : models)
            this->desired[model] = WeightVersion{};
    }

    EngineAssignments assign(const ModelWork &work = {}) const
    {
        std::vector<const FleetTarget *> pointers;
        for (const FleetTarget &engine : this->targets)
            pointers.push_back(&engine);
        return assignEngines(pointers, work, this->desired);
    }

    // Raises the desired version of each model and loads it on the engines of the model.
    void loadNewVersions(const EngineAssignments &assignments)
    {
        for (auto &[model, version] : this->desired)
            version = WeightVersion{number(version) + 1};
        for (FleetTarget &engine : this->targets) {
            const std::string &model = assignments.at(engine.target.id);
            engine.weights[model] = this->desired.at(model);
        }
    }

    std::vector<FleetTarget> targets;
    WeightMap desired;
};

Counts countByModel(const EngineAssignments &assignments)
{
    Counts counts;
    for (const auto &[engine, model] : assignments)
        ++counts[model];
    return counts;
}

std::size_t countMoves(const EngineAssignments &before, const EngineAssignments &after)
{
    std::size_t moves = 0;
    for (const auto &[engine, model] : after)
        moves += before.at(engine) == model ? 0 : 1;
    return moves;
}

} // namespace

TEST_CASE("without known work the models get equal numbers of engines")
{
    for (const std::size_t count : {1U, 8U, 9U, 35U}) {
        const EngineAssignments assignments = EngineFixture(count).assign();
        CHECK(assignments.size() == count);
        for (const auto &[model, engines] : countByModel(assignments))
            CHECK(engines <= (count + 2) / 3);
    }
}

TEST_CASE("engines are assigned in proportion to work, and at least one to each model")
{
    const Counts counts =
            countByModel(EngineFixture(8, {"a", "b"}).assign({{"a", 300}, {"b", 100}}));
    CHECK(counts.at("a") == 6);
    CHECK(counts.at("b") == 2);
    const Counts skewed = countByModel(EngineFixture(8).assign({{"a", 1000}, {"b", 1}, {"c", 1}}));
    CHECK(skewed.at("a") == 6);
    CHECK(skewed.at("b") == 1);
    CHECK(skewed.at("c") == 1);
}

TEST_CASE("a model whose work is not known counts as the mean of the others")
{
    const Counts counts = countByModel(EngineFixture(9).assign({{"a", 100}, {"b", 100}}));
    CHECK(counts.at("c") == 3);
}

TEST_CASE("small changes of the work move no engines")
{
    EngineFixture engines(9);
    EngineAssignments assignments = engines.assign({{"a", 640}, {"b", 1200}, {"c", 1200}});
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> noise(0.92, 1.08);
    std::size_t moves = 0;
    for (int round = 0; round < 100; ++round) {
        engines.loadNewVersions(assignments);
        const EngineAssignments next = engines.assign({{"a", 640 * noise(random)},
                                                       {"b", 1200 * noise(random)},
                                                       {"c", 1200 * noise(random)}});
        moves += countMoves(assignments, next);
        assignments = next;
    }
    CHECK(moves == 0);
}

TEST_CASE("a large change of the work moves engines once")
{
    EngineFixture engines(8, {"a", "b"});
    EngineAssignments assignments = engines.assign({{"a", 100}, {"b", 100}});
    engines.loadNewVersions(assignments);
    const ModelWork work{{"a", 300}, {"b", 100}};
    EngineAssignments next = engines.assign(work);
    CHECK(countByModel(next).at("a") == 6);
    CHECK(countMoves(assignments, next) == 2);
    // The result is the same before and after the moved engines have loaded.
    CHECK(engines.assign(work) == next);
    engines.loadNewVersions(next);
    CHECK(engines.assign(work) == next);
    engines.loadNewVersions(next);
    CHECK(engines.assign(work) == next);
}

TEST_CASE("an engine that leaves moves few of the others")
{
    EngineFixture engines(36);
    const EngineAssignments before = engines.assign();
    engines.targets.pop_back();
    CHECK(countMoves(before, engines.assign()) <= 4);
}

TEST_CASE("assignments are complete for any weights and any work")
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 300; ++round) {
        EngineFixture engines(1 + random() % 20, {"a", "b", "c", "d"});
        ModelWork work;
        for (auto &[model, version] : engines.desired) {
            version = WeightVersion{random() % 4};
            if (random() % 3 != 0)
                work[model] = static_cast<double>(random() % 1000);
        }
        for (FleetTarget &engine : engines.targets) {
            for (auto &[model, version] : engine.weights)
                version = WeightVersion{random() % 4};
        }
        const EngineAssignments assignments = engines.assign(work);
        CHECK(assignments.size() == engines.targets.size());
        if (engines.targets.size() >= 4)
            CHECK(countByModel(assignments).size() == 4);
    }
}

TEST_CASE("without models no engine is assigned")
{
    CHECK(EngineFixture(3, {}).assign().empty());
}

TEST_CASE("the work of a model is the mean of its batches")
{
    BatchMap batches;
    const auto add = [&](const char *id, const char *model, std::uint64_t tokens) {
        BatchHead head;
        head.id = {id};
        head.model = model;
        head.expectedTokens = tokens;
        batches.emplace(head.id, head);
    };
    add("1", "a", 100);
    add("2", "a", 300);
    add("3", "b", 50);
    add("4", "c", 0);
    CHECK(meanBatchWork(batches) == ModelWork{{"a", 200}, {"b", 50}});
}
