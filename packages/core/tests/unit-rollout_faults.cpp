#include "rollout_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rollout_simulation;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seedCount = 150;
constexpr std::size_t nodeCount = 3;
constexpr std::size_t engineCount = 3;

// Simulates a trainer that loses answers, repeats its requests at other nodes and publishes new
// weights between requests.
struct FakeTrainer
{
    StepSpec spec;
    std::uint64_t bound = 1;
    std::uint64_t version = 1;
    std::optional<ReplyToken> pendingReply;
    std::optional<StepAnswer> batch;
    bool acknowledged = false;
    std::uint64_t nextStep = 1;
    std::uint64_t acknowledgedBatches = 0;
    std::string violation;
};

StepRequest nextRequest(const FakeTrainer &trainer, std::mt19937 &random)
{
    if (trainer.batch)
        return AcknowledgeStep{trainer.spec.id, trainer.batch->digest};
    if (random() % 3 == 0)
        return OpenStep{trainer.spec};
    return FetchStep{trainer.spec.id, WeightVersion{trainer.version}, 3s};
}

void openNextStep(FakeTrainer &trainer)
{
    trainer.spec.id.step = trainer.nextStep++;
    trainer.spec.trainerVersion = WeightVersion{trainer.version};
    trainer.batch.reset();
    trainer.acknowledged = false;
}

void handleAnswer(FakeTrainer &trainer, const Simulation &simulation, const StepAnswer &answer)
{
    if (answer.verdict == StepVerdict::Ready) {
        const std::string violation =
                simulation.validateBatch(trainer.spec, answer, trainer.version, trainer.bound);
        if (!violation.empty())
            trainer.violation = violation;
        if (trainer.batch && trainer.batch->samples != answer.samples)
            trainer.violation = "the batch was delivered twice with different contents";
        trainer.batch = answer;
    } else if (answer.verdict == StepVerdict::Acknowledged) {
        if (!trainer.batch)
            trainer.violation = "a batch was acknowledged that was never delivered";
        ++trainer.acknowledgedBatches;
        openNextStep(trainer);
    } else if (answer.verdict == StepVerdict::Stale) {
        openNextStep(trainer);
    } else if (answer.verdict == StepVerdict::Differs
               || answer.verdict == StepVerdict::WrongDigest) {
        trainer.violation = answer.detail;
    }
}

void runTrainer(FakeTrainer &trainer, Simulation &simulation)
{
    if (trainer.pendingReply && simulation.answers.count(*trainer.pendingReply) != 0) {
        const StepAnswer answer = simulation.answers.at(*trainer.pendingReply);
        trainer.pendingReply.reset();
        if (simulation.random() % 4
            != 0) // Otherwise the connection broke before the answer arrived.
            handleAnswer(trainer, simulation, answer);
    }
    // The version changes only between requests, because a trainer does not train while it waits.
    if (!trainer.pendingReply && !trainer.batch && simulation.engines[0].version > trainer.version
        && simulation.random() % 4 == 0)
        ++trainer.version;
    const bool timesOut = trainer.pendingReply && simulation.random() % 60 == 0;
    if (!trainer.pendingReply || timesOut)
        trainer.pendingReply = simulation.sendRequest(simulation.random() % nodeCount,
                                                      nextRequest(trainer, simulation.random));
}

void injectFault(Simulation &simulation, std::size_t &holder)
{
    switch (simulation.random() % 12) {
    case 0:
        return simulation.crashEngine(simulation.random() % engineCount,
                                      simulation.random() % 2 + simulation.engines[0].version);
    case 1:
        simulation.engines[simulation.random() % engineCount].version += 1;
        return;
    case 2:
        simulation.storeFaults = {simulation.random() % 2 == 0, 20, 30, 15};
        return;
    case 3:
        simulation.storeFaults = {};
        return;
    case 4:
        simulation.nodes[holder].paused = true;
        [[fallthrough]];
    case 5:
        holder = (holder + 1) % nodeCount;
        return simulation.nodes[holder].paused ? simulation.resume(holder)
                                               : simulation.moveLeases(holder);
    case 6:
        for (std::size_t i = 0; i < nodeCount; ++i) {
            if (simulation.nodes[i].paused)
                simulation.resume(i);
        }
        return;
    case 7:
        return simulation.restartNode(simulation.random() % nodeCount);
    default:
        return;
    }
}

} // namespace

// Runs one trainer for 600 rounds per seed, with random faults in the first 500: engine crashes,
// weight swaps, lost and delayed store calls, paused nodes, lease changes and node restarts.
TEST_CASE("under random faults each batch is complete, not stale, correctly labelled and immutable")
{
    std::uint64_t batches = 0;
    for (std::uint32_t seed = 1; seed <= seedCount; ++seed) {
        CAPTURE(seed);
        Simulation simulation(seed, nodeCount, engineCount);
        FakeTrainer trainer;
        trainer.spec = {{{"quotes"}, 0}, {"p0", "p1"}, 3, 64, WeightVersion{1}};
        openNextStep(trainer);
        std::size_t holder = 0;
        for (int round = 0; round < 600; ++round) {
            if (round < 500)
                injectFault(simulation, holder);
            simulation.run(100ms);
            runTrainer(trainer, simulation);
        }
        REQUIRE(trainer.violation == "");
        // After the faults have ended, the next batch must complete without intervention.
        simulation.storeFaults = {};
        for (std::size_t i = 0; i < nodeCount; ++i)
            simulation.nodes[i].paused = false;
        simulation.moveLeases(holder);
        const std::uint64_t newest =
                std::max_element(simulation.engines.begin(), simulation.engines.end(),
                                 [](const auto &a, const auto &b) { return a.version < b.version; })
                        ->version;
        for (FakeEngine &engine : simulation.engines)
            engine.version = newest;
        const std::uint64_t batchesBefore = trainer.acknowledgedBatches;
        for (int round = 0; round < 600 && trainer.acknowledgedBatches == batchesBefore; ++round) {
            simulation.run(100ms);
            runTrainer(trainer, simulation);
        }
        REQUIRE(trainer.violation == "");
        REQUIRE(trainer.acknowledgedBatches > batchesBefore);
        batches += trainer.acknowledgedBatches;
    }
    CHECK(batches > seedCount);
}
