#include "rollout_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace rollout_world;
using namespace std::chrono_literals;

namespace {

const StepOrder order{{{"quotes"}, 1}, {"p0", "p1", "p2"}, 4, 64, WeightVersion{1}};

StepAnswer askAndWait(World &world, std::size_t node, const StepRequest &request)
{
    const ReplyToken reply = world.ask(node, request);
    REQUIRE(world.runUntil([&] { return world.answers.count(reply) != 0; }, 2min));
    return world.answers.at(reply);
}

StepAnswer fetch(World &world, std::size_t node, std::uint64_t version)
{
    return askAndWait(world, node, FetchStep{order.id, WeightVersion{version}, 60s});
}

std::uint64_t tokensMade(const World &world, const SampleSlot &slot)
{
    return static_cast<std::uint64_t>(
            std::count_if(world.ledger.begin(), world.ledger.end(),
                          [&](const auto &entry) { return entry.second.slot == slot; }));
}

} // namespace

TEST_CASE("a batch is whole, truly labelled and given through any node until acknowledged")
{
    World world(1, 3, 2);
    CHECK(askAndWait(world, 2, OpenStep{order}).verdict == StepVerdict::Running);
    const StepAnswer batch = fetch(world, 1, 1);
    REQUIRE(batch.verdict == StepVerdict::Ready);
    CHECK(world.check(order, batch, 1, 1) == "");
    const StepAnswer again = fetch(world, 2, 1);
    CHECK(again.samples == batch.samples);
    CHECK(again.digest == batch.digest);
    CHECK(askAndWait(world, 1, AcknowledgeStep{order.id, "other"}).verdict
          == StepVerdict::WrongDigest);
    for (const std::size_t node : {0U, 1U, 2U})
        CHECK(askAndWait(world, node, AcknowledgeStep{order.id, batch.digest}).verdict
              == StepVerdict::Acknowledged);
    CHECK(fetch(world, 0, 1).verdict == StepVerdict::Acknowledged);
}

TEST_CASE("a repeated open is the same step, and one that differs is told which field")
{
    World world(1, 2, 2);
    askAndWait(world, 0, OpenStep{order});
    CHECK(askAndWait(world, 1, OpenStep{order}).verdict == StepVerdict::Running);
    StepOrder other = order;
    other.due = 7s;
    const StepAnswer refused = askAndWait(world, 1, OpenStep{other});
    CHECK(refused.verdict == StepVerdict::Differs);
    CHECK(refused.detail.starts_with("due_ms "));
}

TEST_CASE("a crash and a swap within a stream lose no token and show in the label")
{
    World world(1, 1, 2);
    askAndWait(world, 0, OpenStep{order});
    world.run(300ms);
    world.crashEngine(0, 2);
    world.engines[1].version = 2;
    const StepAnswer batch = fetch(world, 0, 2);
    REQUIRE(batch.verdict == StepVerdict::Ready);
    CHECK(world.check(order, batch, 2, 1) == "");
    CHECK(batch.discarded == 0);
    std::size_t mixed = 0;
    for (const auto &[slot, sample] : batch.samples) {
        mixed += sample.spans.size() > 1 ? 1 : 0;
        CHECK(tokensMade(world, slot) == sample.spans.back().last);
    }
    CHECK(mixed > 0);
}

TEST_CASE("samples that grow stale before hand-over are made again, after it the batch is refused")
{
    World world(1, 1, 2);
    askAndWait(world, 0, OpenStep{order});
    world.run(10s);
    for (FakeEngine &engine : world.engines)
        engine.version = 3;
    const StepAnswer batch = fetch(world, 0, 3);
    REQUIRE(batch.verdict == StepVerdict::Ready);
    CHECK(world.check(order, batch, 3, 1) == "");
    CHECK(batch.discarded == 12);
    CHECK(fetch(world, 0, 4).samples == batch.samples);
    CHECK(fetch(world, 0, 5).verdict == StepVerdict::Stale);
}

TEST_CASE("a store that is down for the whole step delays only the hand-over")
{
    World world(1, 2, 2);
    world.run(1s);
    world.faults.down = true;
    const StepAnswer opened = askAndWait(world, 0, OpenStep{order});
    CHECK(opened.verdict == StepVerdict::Running);
    CHECK_FALSE(opened.durable);
    world.run(10s);
    const StepAnswer waiting = askAndWait(world, 1, FetchStep{order.id, WeightVersion{1}, 0s});
    CHECK(waiting.verdict == StepVerdict::Running);
    CHECK(waiting.finished == 12);
    world.faults.down = false;
    const std::size_t tokens = world.ledger.size();
    const StepAnswer batch = fetch(world, 1, 1);
    CHECK(world.check(order, batch, 1, 1) == "");
    CHECK(world.ledger.size() == tokens);
}

TEST_CASE("a new owner goes on from what is committed, and the frozen one changes nothing")
{
    World world(1, 2, 1);
    StepOrder large = order;
    large.groupSize = 64;
    world.ask(0, OpenStep{large});
    world.run(8s);
    std::set<SampleSlot> committed;
    for (const StepRecord &record : world.log[order.id]) {
        if (const auto *finished = std::get_if<SamplesFinished>(&record.content)) {
            for (const auto &[slot, sample] : finished->samples)
                committed.insert(slot);
        }
    }
    REQUIRE(committed.size() > 20);
    REQUIRE(committed.size() < 192);
    std::map<SampleSlot, std::uint64_t> before;
    for (const SampleSlot &slot : committed)
        before[slot] = tokensMade(world, slot);
    world.nodes[0].frozen = true;
    world.moveLeases(1);
    world.run(1s);
    CHECK(world.nodes[1].state.steps.count(order.id) == 1);
    const std::uint64_t appends = world.log[order.id].size();
    world.thaw(0);
    const StepAnswer batch = fetch(world, 1, 1);
    CHECK(world.check(large, batch, 1, 1) == "");
    CHECK(world.log[order.id].size() > appends);
    CHECK(world.nodes[0].state.steps.empty());
    for (const auto &[slot, tokens] : before)
        CHECK(tokensMade(world, slot) == tokens);
}
