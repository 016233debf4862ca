#include "batch_world.hpp"

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;
using test::BatchWorld;

TEST_CASE("a batch is accepted once it is stored, and all its items are listed")
{
    BatchWorld world(1, 3);
    const auto order = BatchWorld::makeOrder("b", 3, 4);
    world.submit(0, order);
    CHECK(world.verdicts.empty());
    world.runFor(20ms);
    REQUIRE(world.verdicts[order->id] == std::vector{SubmitVerdict::Accepted});
    world.runFor(5s);
    CHECK(world.isWhole(order->id));
}

TEST_CASE("a batch that is submitted again at another node is accepted and not run twice")
{
    BatchWorld world(1, 3);
    const auto order = BatchWorld::makeOrder("b", 2, 2);
    world.submit(0, order);
    world.submit(1, order);
    world.runFor(5s);
    CHECK(world.verdicts[order->id]
          == std::vector{SubmitVerdict::Accepted, SubmitVerdict::Accepted});
    CHECK(world.isWhole(order->id));
    CHECK(world.runs[order->id] == order->items.size());
}

TEST_CASE("while the store refuses everything a batch is refused and never runs")
{
    BatchWorld world(1, 2);
    world.faults.refusals = 1;
    const auto order = BatchWorld::makeOrder("b", 1, 2);
    world.submit(0, order);
    world.runFor(6s);
    CHECK(world.verdicts[order->id] == std::vector{SubmitVerdict::StoreUnavailable});
    world.faults.refusals = 0;
    world.runFor(10s);
    CHECK(world.runs.empty());
}

TEST_CASE("a batch whose storing is not answered gets no promise, and is run if it was stored")
{
    BatchWorld world(1, 2);
    world.faults.lostAnswers = 1;
    const auto order = BatchWorld::makeOrder("b", 1, 2);
    world.submit(0, order);
    world.runFor(6s);
    CHECK(world.verdicts[order->id] == std::vector{SubmitVerdict::Uncertain});
    world.faults.lostAnswers = 0;
    world.runFor(10s);
    CHECK(world.isWhole(order->id));
}

TEST_CASE("results are read at any node, and come again at the same position")
{
    BatchWorld world(1, 3);
    const auto order = BatchWorld::makeOrder("b", 2, 4);
    world.submit(0, order);
    for (int i = 0; i < 40; ++i) {
        world.runFor(100ms);
        for (std::size_t node = 0; node < 3; ++node)
            world.read(node, order->id, 0);
    }
    REQUIRE(!world.reads.empty());
    CHECK(world.reads.back().verdict == ReadVerdict::Found);
    CHECK(world.reads.back().results.size() == order->items.size());
}

TEST_CASE("a read waits for a result, at the owner and elsewhere")
{
    BatchWorld world(1, 2);
    const auto order = BatchWorld::makeOrder("b", 1, 1);
    world.submit(0, order);
    world.runFor(20ms);
    world.read(0, order->id, 0, 3s);
    world.read(1, order->id, 0, 3s);
    CHECK(world.reads.empty());
    world.runFor(3s);
    REQUIRE(world.reads.size() == 2);
    CHECK(world.reads[0].results.size() == 1);
    CHECK(world.reads[1].results.size() == 1);
}

TEST_CASE("only a batch that the store does not have is unknown")
{
    BatchWorld world(1, 2);
    world.read(0, {"none"}, 0, 1s);
    world.end(0, {"none"});
    world.runFor(100ms);
    REQUIRE(world.reads.size() == 1);
    CHECK(world.reads[0].verdict == ReadVerdict::Unknown);
    CHECK(world.ends[{"none"}] == std::vector{ReadVerdict::Unknown});
}

TEST_CASE("the body of an item is given by the owner and by other nodes")
{
    BatchWorld world(1, 2);
    const auto order = BatchWorld::makeOrder("b", 1, 2);
    world.submit(0, order);
    world.runFor(20ms);
    world.readBody(0, order->id, order->items[1].id);
    world.readBody(1, order->id, order->items[1].id);
    world.readBody(1, order->id, {"other"});
    world.runFor(20ms);
    REQUIRE(world.bodies.size() == 3);
    CHECK(world.bodies[0].body == order->items[1].body);
    CHECK(world.bodies[1].body == order->items[1].body);
    CHECK(world.bodies[2].verdict == ReadVerdict::Unknown);
}

TEST_CASE("no item of an ended batch is started, whichever node took the end")
{
    for (const std::size_t node : {0U, 1U}) {
        BatchWorld world(1, 2);
        const auto order = BatchWorld::makeOrder("b", 20, 8);
        world.submit(0, order);
        world.runFor(300ms);
        world.end(node, order->id);
        world.runFor(300ms);
        REQUIRE(world.ends[order->id] == std::vector{ReadVerdict::Found});
        const Time ended = world.now();
        world.end(node, order->id);
        world.runFor(5s);
        CHECK(world.ends[order->id].size() == 2);
        CHECK(world.lastRun[order->id] < ended);
    }
}

TEST_CASE("a killed owner's batch goes on at another node within 4 s, from the stored texts")
{
    BatchWorld world(1, 3);
    const auto order = BatchWorld::makeOrder("b", 4, 8);
    world.submit(0, order);
    world.runFor(500ms);
    const Time killed = world.now();
    world.restart(0, 30s);
    world.runFor(4s);
    CHECK(world.takeovers == 1);
    CHECK(world.lastRun[order->id] > killed);
    world.runFor(6s);
    CHECK(world.isWhole(order->id));
}

TEST_CASE("a restarted owner's batch is taken up at once: its former life is known to have ended")
{
    BatchWorld world(1, 3);
    const auto order = BatchWorld::makeOrder("b", 4, 8);
    world.submit(0, order);
    world.runFor(500ms);
    world.restart(0, 200ms);
    world.runFor(700ms);
    CHECK(world.takeovers == 1);
}

TEST_CASE("a stopping node hands its batches over at once and keeps none")
{
    BatchWorld world(1, 3);
    const auto order = BatchWorld::makeOrder("b", 4, 8);
    world.submit(0, order);
    world.runFor(500ms);
    world.drain(0);
    world.runFor(300ms);
    CHECK(world.takeovers == 1);
    CHECK(world.state(0).owned.empty());
    CHECK(world.state(0).drained);
    world.runFor(5s);
    CHECK(world.isWhole(order->id));
    // Nothing that was stored is generated again.
    CHECK(world.runs[order->id] <= 2 * order->items.size());
}

TEST_CASE("a batch that comes to a stopping node is accepted and run elsewhere")
{
    BatchWorld world(1, 3);
    world.drain(0);
    const auto order = BatchWorld::makeOrder("b", 1, 4);
    world.submit(0, order);
    world.runFor(5s);
    CHECK(world.verdicts[order->id] == std::vector{SubmitVerdict::Accepted});
    CHECK(world.isWhole(order->id));
}

TEST_CASE("batches that can still be in time go before late ones")
{
    BatchWorld world(1, 1);
    const auto late = BatchWorld::makeOrder("a", 40, 8);
    world.faults.refusedRuns = 1;
    world.submit(0, late);
    world.runFor(8s);
    const auto fresh = BatchWorld::makeOrder("b", 2, 8);
    world.submit(0, fresh);
    world.runFor(100ms);
    world.faults.refusedRuns = 0;
    world.runFor(3s);
    CHECK(world.isWhole(fresh->id));
    CHECK_FALSE(world.isWhole(late->id));
}

TEST_CASE("items that are unfinished when their time is over are listed as lost")
{
    BatchWorld world(1, 1);
    world.faults.refusedRuns = 1;
    const auto order = BatchWorld::makeOrder("b", 1, 4);
    world.submit(0, order);
    world.runFor(39s);
    REQUIRE(world.stored(order->id)->results.empty());
    world.runFor(3s);
    REQUIRE(world.stored(order->id)->results.size() == 4);
    CHECK(world.stored(order->id)->results[0].outcome == ItemOutcome::Lost);
}

TEST_CASE("property: under faults of store, engines and nodes no accepted batch loses or repeats "
          "an item, and no position changes")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto pick = [&random](std::size_t bound) { return random() % bound; };
        BatchWorld world(seed, 4);
        world.faults = {0.1, 0.3, 0.1, 0.1, 0.05, 0.1};
        std::vector<std::shared_ptr<const BatchOrder>> orders;
        for (int round = 0; round < 12; ++round) {
            const auto order = BatchWorld::makeOrder("b" + std::to_string(round), 1 + pick(4), 4);
            orders.push_back(order);
            world.submit(pick(4), order);
            world.submit(pick(4), order);
            for (int i = 0; i < 8; ++i) {
                world.runFor(std::chrono::milliseconds(pick(150)));
                world.read(pick(4), orders[pick(orders.size())]->id, pick(3), 500ms);
            }
            if (pick(3) == 0)
                world.restart(pick(4), std::chrono::milliseconds(100 + pick(3000)));
        }
        world.faults = {};
        world.runFor(20s);
        for (const auto &order : orders) {
            const auto &verdicts = world.verdicts[order->id];
            const bool accepted =
                    std::count(verdicts.begin(), verdicts.end(), SubmitVerdict::Accepted) > 0;
            const bool stored = world.stored(order->id) != nullptr;
            CHECK((!accepted || stored));
            CHECK((!stored || world.isWhole(order->id)));
            CHECK((stored || world.runs.count(order->id) == 0));
        }
    }
}
