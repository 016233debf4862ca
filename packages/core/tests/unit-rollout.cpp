#include "rollout_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rollout_simulation;
using namespace std::chrono_literals;

namespace {

const StepSpec spec{{{"quotes"}, 1}, {"p0", "p1", "p2"}, 4, 64, WeightVersion{1}};

StepAnswer requestAndWait(Simulation &simulation, std::size_t node, const StepRequest &request)
{
    const ReplyToken reply = simulation.sendRequest(node, request);
    REQUIRE(simulation.runUntil([&] { return simulation.answers.count(reply) != 0; }, 2min));
    return simulation.answers.at(reply);
}

StepAnswer fetch(Simulation &simulation, std::size_t node, std::uint64_t version)
{
    return requestAndWait(simulation, node, FetchStep{spec.id, WeightVersion{version}, 60s});
}

std::uint64_t generatedTokenCount(const Simulation &simulation, const SampleSlot &slot)
{
    return static_cast<std::uint64_t>(
            std::count_if(simulation.tokenOrigins.begin(), simulation.tokenOrigins.end(),
                          [&](const auto &entry) { return entry.second.slot == slot; }));
}

} // namespace

TEST_CASE("a batch is complete, correctly labelled and served by any node until acknowledged")
{
    Simulation simulation(1, 3, 2);
    CHECK(requestAndWait(simulation, 2, OpenStep{spec}).verdict == StepVerdict::Running);
    const StepAnswer batch = fetch(simulation, 1, 1);
    REQUIRE(batch.verdict == StepVerdict::Ready);
    CHECK(simulation.validateBatch(spec, batch, 1, 1) == "");
    const StepAnswer again = fetch(simulation, 2, 1);
    CHECK(again.samples == batch.samples);
    CHECK(again.digest == batch.digest);
    CHECK(requestAndWait(simulation, 1, AcknowledgeStep{spec.id, "other"}).verdict
          == StepVerdict::WrongDigest);
    for (const std::size_t node : {0U, 1U, 2U})
        CHECK(requestAndWait(simulation, node, AcknowledgeStep{spec.id, batch.digest}).verdict
              == StepVerdict::Acknowledged);
    CHECK(fetch(simulation, 0, 1).verdict == StepVerdict::Acknowledged);
}

TEST_CASE("a repeated open is idempotent; a different one is refused and the field is named")
{
    Simulation simulation(1, 2, 2);
    requestAndWait(simulation, 0, OpenStep{spec});
    CHECK(requestAndWait(simulation, 1, OpenStep{spec}).verdict == StepVerdict::Running);
    StepSpec other = spec;
    other.dueIn = 7s;
    const StepAnswer refused = requestAndWait(simulation, 1, OpenStep{other});
    CHECK(refused.verdict == StepVerdict::Differs);
    CHECK(refused.detail.starts_with("due_ms "));
}

TEST_CASE("a crash and a weight swap during a generation lose no token and show in the labels")
{
    Simulation simulation(1, 1, 2);
    requestAndWait(simulation, 0, OpenStep{spec});
    simulation.run(300ms);
    simulation.crashEngine(0, 2);
    simulation.engines[1].version = 2;
    const StepAnswer batch = fetch(simulation, 0, 2);
    REQUIRE(batch.verdict == StepVerdict::Ready);
    CHECK(simulation.validateBatch(spec, batch, 2, 1) == "");
    CHECK(batch.discarded == 0);
    std::size_t mixedSamples = 0;
    for (const auto &[slot, sample] : batch.samples) {
        mixedSamples += sample.spans.size() > 1 ? 1 : 0;
        CHECK(generatedTokenCount(simulation, slot) == sample.spans.back().last);
    }
    CHECK(mixedSamples > 0);
}

// A batch that was delivered once must not change, even if a trainer fetches it again after its
// weights have advanced beyond the staleness bound.
TEST_CASE("samples that are stale before delivery are regenerated; a stale sealed batch is refused")
{
    Simulation simulation(1, 1, 2);
    requestAndWait(simulation, 0, OpenStep{spec});
    simulation.run(10s);
    for (FakeEngine &engine : simulation.engines)
        engine.version = 3;
    const StepAnswer batch = fetch(simulation, 0, 3);
    REQUIRE(batch.verdict == StepVerdict::Ready);
    CHECK(simulation.validateBatch(spec, batch, 3, 1) == "");
    CHECK(batch.discarded == 12);
    CHECK(fetch(simulation, 0, 4).samples == batch.samples);
    CHECK(fetch(simulation, 0, 5).verdict == StepVerdict::Stale);
}

TEST_CASE("generation continues while the store is down, and only the delivery is delayed")
{
    Simulation simulation(1, 2, 2);
    simulation.run(1s);
    simulation.storeFaults.down = true;
    const StepAnswer opened = requestAndWait(simulation, 0, OpenStep{spec});
    CHECK(opened.verdict == StepVerdict::Running);
    CHECK_FALSE(opened.durable);
    simulation.run(10s);
    const StepAnswer progress =
            requestAndWait(simulation, 1, FetchStep{spec.id, WeightVersion{1}, 0s});
    CHECK(progress.verdict == StepVerdict::Running);
    CHECK(progress.finished == 12);
    simulation.storeFaults.down = false;
    const std::size_t tokensBefore = simulation.tokenOrigins.size();
    const StepAnswer batch = fetch(simulation, 1, 1);
    CHECK(simulation.validateBatch(spec, batch, 1, 1) == "");
    CHECK(simulation.tokenOrigins.size() == tokensBefore);
}

// Guards against a paused owner that, when it resumes, still acts on its old leases: it must append
// nothing, and the new owner must not regenerate committed samples.
TEST_CASE("a new owner continues from the committed samples, and the paused one appends nothing")
{
    Simulation simulation(1, 2, 1);
    StepSpec large = spec;
    large.groupSize = 64;
    simulation.sendRequest(0, OpenStep{large});
    simulation.run(8s);
    std::set<SampleSlot> committed;
    for (const StepRecord &record : simulation.recordLog[spec.id]) {
        if (const auto *finished = std::get_if<SamplesFinished>(&record.content)) {
            for (const auto &[slot, sample] : finished->samples)
                committed.insert(slot);
        }
    }
    REQUIRE(committed.size() > 20);
    REQUIRE(committed.size() < 192);
    std::map<SampleSlot, std::uint64_t> tokensBefore;
    for (const SampleSlot &slot : committed)
        tokensBefore[slot] = generatedTokenCount(simulation, slot);
    simulation.nodes[0].paused = true;
    const std::size_t recordsAtTakeover = simulation.recordLog[spec.id].size();
    simulation.moveLeases(1);
    simulation.run(1s);
    CHECK(simulation.nodes[1].state.steps.count(spec.id) == 1);
    const std::uint64_t recordsBeforeResume = simulation.recordLog[spec.id].size();
    simulation.resume(0);
    const StepAnswer batch = fetch(simulation, 1, 1);
    CHECK(simulation.validateBatch(large, batch, 1, 1) == "");
    const auto &log = simulation.recordLog[spec.id];
    CHECK(log.size() > recordsBeforeResume);
    CHECK(std::all_of(log.begin() + static_cast<std::ptrdiff_t>(recordsAtTakeover), log.end(),
                      [](const StepRecord &record) { return record.writeId.starts_with("n1-"); }));
    CHECK(simulation.nodes[0].state.steps.empty());
    for (const auto &[slot, tokens] : tokensBefore)
        CHECK(generatedTokenCount(simulation, slot) == tokens);
}

TEST_CASE("lost store answers cause no regenerated sample and no duplicate record")
{
    Simulation simulation(1, 1, 2);
    StepSpec large = spec;
    large.groupSize = 64;
    requestAndWait(simulation, 0, OpenStep{large});
    simulation.storeFaults.answerLossPercent = 100;
    simulation.run(5s);
    simulation.storeFaults.answerLossPercent = 0;
    const StepAnswer batch = fetch(simulation, 0, 1);
    CHECK(simulation.validateBatch(large, batch, 1, 1) == "");
    std::set<std::string> writeIds;
    for (const StepRecord &record : simulation.recordLog[spec.id])
        CHECK(writeIds.insert(record.writeId).second);
    for (const auto &[slot, sample] : batch.samples)
        CHECK(generatedTokenCount(simulation, slot) == sample.spans.back().last);
}

// Guards against late tokens of a cancelled attempt being added to the regenerated sample.
TEST_CASE("tokens of a generation whose sample was discarded are ignored")
{
    Simulation simulation(1, 1, 2);
    simulation.maxSampleTokens = 200;
    requestAndWait(simulation, 0, OpenStep{spec});
    simulation.run(400ms);
    for (FakeEngine &engine : simulation.engines)
        engine.version = 5;
    const StepAnswer batch = fetch(simulation, 0, 5);
    CHECK(batch.discarded > 0);
    CHECK(simulation.validateBatch(spec, batch, 5, 1) == "");
}
