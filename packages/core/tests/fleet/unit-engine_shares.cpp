#include <geraniumpulley/core/fleet/engine_shares.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace geraniumpulley::core;

namespace {

using Counts = std::map<std::string, std::size_t>;

struct Engines
{
    explicit Engines(std::size_t count, const std::vector<std::string> &models = {"a", "b", "c"})
        : list(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->list[i].target.id = {"t" + std::to_string(i)};
            for (const std::string &model : models)
                this->list[i].weights[model] = WeightVersion{};
        }
        for (const std::string &model : models)
            this->desired[model] = WeightVersion{};
    }

    EngineShares share(const ModelWork &work = {}) const
    {
        std::vector<const FleetTarget *> pointers;
        for (const FleetTarget &engine : this->list)
            pointers.push_back(&engine);
        return shareEngines(pointers, work, this->desired);
    }

    // Names a new version of each model, and loads it on the engines of the model.
    void follow(const EngineShares &shares)
    {
        for (auto &[model, version] : this->desired)
            version = WeightVersion{number(version) + 1};
        for (FleetTarget &engine : this->list) {
            const std::string &model = shares.at(engine.target.id);
            engine.weights[model] = this->desired.at(model);
        }
    }

    std::vector<FleetTarget> list;
    WeightMap desired;
};

Counts countsOf(const EngineShares &shares)
{
    Counts counts;
    for (const auto &[engine, model] : shares)
        ++counts[model];
    return counts;
}

std::size_t movesBetween(const EngineShares &before, const EngineShares &after)
{
    std::size_t moved = 0;
    for (const auto &[engine, model] : after)
        moved += before.at(engine) == model ? 0 : 1;
    return moved;
}

} // namespace

TEST_CASE("without work every engine gets one model, and models get equal shares")
{
    for (const std::size_t count : {1U, 8U, 9U, 35U}) {
        const EngineShares shares = Engines(count).share();
        CHECK(shares.size() == count);
        for (const auto &[model, engines] : countsOf(shares))
            CHECK(engines <= (count + 2) / 3);
    }
}

TEST_CASE("engines are shared out by work, and no model goes without")
{
    const Counts counts = countsOf(Engines(8, {"a", "b"}).share({{"a", 300}, {"b", 100}}));
    CHECK(counts.at("a") == 6);
    CHECK(counts.at("b") == 2);
    const Counts uneven = countsOf(Engines(8).share({{"a", 1000}, {"b", 1}, {"c", 1}}));
    CHECK(uneven.at("a") == 6);
    CHECK(uneven.at("b") == 1);
    CHECK(uneven.at("c") == 1);
}

TEST_CASE("a model whose work is not known counts as the mean of the others")
{
    const Counts counts = countsOf(Engines(9).share({{"a", 100}, {"b", 100}}));
    CHECK(counts.at("c") == 3);
}

TEST_CASE("engines follow their model while the work changes a little")
{
    Engines engines(9);
    EngineShares shares = engines.share({{"a", 640}, {"b", 1200}, {"c", 1200}});
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> noise(0.92, 1.08);
    std::size_t moved = 0;
    for (int round = 0; round < 100; ++round) {
        engines.follow(shares);
        const EngineShares next = engines.share({{"a", 640 * noise(random)},
                                                 {"b", 1200 * noise(random)},
                                                 {"c", 1200 * noise(random)}});
        moved += movesBetween(shares, next);
        shares = next;
    }
    CHECK(moved == 0);
}

TEST_CASE("engines move when the work of a model multiplies, and stay there")
{
    Engines engines(8, {"a", "b"});
    EngineShares shares = engines.share({{"a", 100}, {"b", 100}});
    engines.follow(shares);
    const ModelWork work{{"a", 300}, {"b", 100}};
    EngineShares next = engines.share(work);
    CHECK(countsOf(next).at("a") == 6);
    CHECK(movesBetween(shares, next) == 2);
    // Before and after the moved engines have loaded, the answer is the same.
    CHECK(engines.share(work) == next);
    engines.follow(next);
    CHECK(engines.share(work) == next);
    engines.follow(next);
    CHECK(engines.share(work) == next);
}

TEST_CASE("an engine that leaves moves few of the others")
{
    Engines engines(36);
    const EngineShares before = engines.share();
    engines.list.pop_back();
    CHECK(movesBetween(before, engines.share()) <= 4);
}

TEST_CASE("shares are whole for any weights and any work")
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 300; ++round) {
        Engines engines(1 + random() % 20, {"a", "b", "c", "d"});
        ModelWork work;
        for (auto &[model, version] : engines.desired) {
            version = WeightVersion{random() % 4};
            if (random() % 3 != 0)
                work[model] = static_cast<double>(random() % 1000);
        }
        for (FleetTarget &engine : engines.list) {
            for (auto &[model, version] : engine.weights)
                version = WeightVersion{random() % 4};
        }
        const EngineShares shares = engines.share(work);
        CHECK(shares.size() == engines.list.size());
        if (engines.list.size() >= 4)
            CHECK(countsOf(shares).size() == 4);
    }
}

TEST_CASE("without models nothing is shared out")
{
    CHECK(Engines(3, {}).share().empty());
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
    CHECK(workOfBatches(batches) == ModelWork{{"a", 200}, {"b", 50}});
}
