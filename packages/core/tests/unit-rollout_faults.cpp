#include "rollout_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rollout_world;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seeds = 150;
constexpr std::size_t nodeCount = 3;
constexpr std::size_t engineCount = 3;

// A trainer that loses answers, asks other nodes again and publishes new weights meanwhile.
struct FakeTrainer
{
    StepOrder order;
    std::uint64_t bound = 1;
    std::uint64_t version = 1;
    std::optional<ReplyToken> waiting;
    std::optional<StepAnswer> batch;
    bool acknowledged = false;
    std::uint64_t nextStep = 1;
    std::uint64_t batches = 0;
    std::string fault;
};

StepRequest nextRequest(const FakeTrainer &trainer, std::mt19937 &random)
{
    if (trainer.batch)
        return AcknowledgeStep{trainer.order.id, trainer.batch->digest};
    if (random() % 3 == 0)
        return OpenStep{trainer.order};
    return FetchStep{trainer.order.id, WeightVersion{trainer.version}, 3s};
}

void openNext(FakeTrainer &trainer)
{
    trainer.order.id.step = trainer.nextStep++;
    trainer.order.trainerVersion = WeightVersion{trainer.version};
    trainer.batch.reset();
    trainer.acknowledged = false;
}

void take(FakeTrainer &trainer, const World &world, const StepAnswer &answer)
{
    if (answer.verdict == StepVerdict::Ready) {
        const std::string fault =
                world.check(trainer.order, answer, trainer.version, trainer.bound);
        if (!fault.empty())
            trainer.fault = fault;
        if (trainer.batch && trainer.batch->samples != answer.samples)
            trainer.fault = "handed over twice with other contents";
        trainer.batch = answer;
    } else if (answer.verdict == StepVerdict::Acknowledged) {
        if (!trainer.batch)
            trainer.fault = "acknowledged a batch that was never taken";
        ++trainer.batches;
        openNext(trainer);
    } else if (answer.verdict == StepVerdict::Stale) {
        openNext(trainer);
    } else if (answer.verdict == StepVerdict::Differs
               || answer.verdict == StepVerdict::WrongDigest) {
        trainer.fault = answer.detail;
    }
}

void act(FakeTrainer &trainer, World &world)
{
    if (trainer.waiting && world.answers.count(*trainer.waiting) != 0) {
        const StepAnswer answer = world.answers.at(*trainer.waiting);
        trainer.waiting.reset();
        if (world.random() % 4 != 0) // Else the connection was cut before the answer came.
            take(trainer, world, answer);
    }
    const bool givesUp = trainer.waiting && world.random() % 60 == 0;
    if (!trainer.waiting || givesUp)
        trainer.waiting = world.ask(world.random() % nodeCount, nextRequest(trainer, world.random));
    // Versions change between two requests only: a trainer that waits does not train.
}

void injectFault(World &world, FakeTrainer &trainer, std::size_t &holder)
{
    switch (world.random() % 12) {
    case 0:
        return world.crashEngine(world.random() % engineCount,
                                 world.random() % 2 + world.engines[0].version);
    case 1:
        world.engines[world.random() % engineCount].version += 1;
        return;
    case 2:
        world.faults = {world.random() % 2 == 0, 20, 30};
        return;
    case 3:
        world.faults = {};
        return;
    case 4:
        world.nodes[holder].frozen = true;
        [[fallthrough]];
    case 5:
        holder = (holder + 1) % nodeCount;
        return world.nodes[holder].frozen ? world.thaw(holder) : world.moveLeases(holder);
    case 6:
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (world.nodes[i].frozen)
                world.thaw(i);
        }
        return;
    case 7:
        return world.restartNode(world.random() % nodeCount);
    case 8:
        if (!trainer.waiting && world.engines[0].version > trainer.version)
            ++trainer.version;
        return;
    default:
        return;
    }
}

} // namespace

TEST_CASE("under seeded faults each batch is whole, fresh, truly labelled and given once")
{
    std::uint64_t batches = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        World world(seed, nodeCount, engineCount);
        FakeTrainer trainer;
        trainer.order = {{{"quotes"}, 0}, {"p0", "p1"}, 3, 64, WeightVersion{1}};
        openNext(trainer);
        std::size_t holder = 0;
        for (int round = 0; round < 600; ++round) {
            if (round < 500)
                injectFault(world, trainer, holder);
            world.run(100ms);
            act(trainer, world);
        }
        REQUIRE(trainer.fault == "");
        // Once the faults end, the system goes on by itself.
        world.faults = {};
        for (std::size_t i = 0; i < nodeCount; ++i)
            world.nodes[i].frozen = false;
        world.moveLeases(holder);
        const std::uint64_t newest =
                std::max_element(world.engines.begin(), world.engines.end(),
                                 [](const auto &a, const auto &b) { return a.version < b.version; })
                        ->version;
        for (FakeEngine &engine : world.engines)
            engine.version = newest;
        const std::uint64_t before = trainer.batches;
        for (int round = 0; round < 600 && trainer.batches == before; ++round) {
            world.run(100ms);
            act(trainer, world);
        }
        REQUIRE(trainer.fault == "");
        REQUIRE(trainer.batches > before);
        batches += trainer.batches;
    }
    CHECK(batches > seeds);
}
