#include "batch_world.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;
using test::BatchWorld;

namespace {

constexpr std::size_t nodeCount = 4;
// Until each node has heard the heartbeats of all.
constexpr Duration settleTime = 2s;

std::size_t indexOf(BatchWorld &world, const NodeId &id)
{
    std::size_t index = 0;
    while (world.state(index).self.id != id)
        ++index;
    return index;
}

// The node that the batches of the world's model go to.
std::size_t findOwner(BatchWorld &world)
{
    world.submit(0, BatchWorld::makeOrder("probe", 1, 1));
    world.runFor(500ms);
    return indexOf(world, world.stored({"probe"})->head.owner);
}

} // namespace

TEST_CASE("batches of one model go to one node, whichever node takes them")
{
    BatchWorld world(3, nodeCount);
    world.runFor(settleTime);
    std::set<NodeId> owners;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        const std::string id = "b" + std::to_string(node);
        world.submit(node, BatchWorld::makeOrder(id, 2, 3));
        world.runFor(100ms);
        REQUIRE(world.stored({id}) != nullptr);
        owners.insert(world.stored({id})->head.owner);
    }
    CHECK(owners.size() == 1);
    world.runFor(10s);
    for (std::size_t node = 0; node < nodeCount; ++node)
        CHECK(world.isWhole({"b" + std::to_string(node)}));
    CHECK(world.takeovers == 0);
}

TEST_CASE("a stopping node gives back a batch that it is given by one that has not heard of it")
{
    BatchWorld world(4, nodeCount);
    world.runFor(settleTime);
    const std::size_t owner = findOwner(world);
    world.drain(owner);
    world.submit((owner + 1) % nodeCount, BatchWorld::makeOrder("late", 2, 3));
    world.runFor(4s);
    CHECK(world.stored({"late"})->head.owner != world.state(owner).self.id);
    world.runFor(10s);
    CHECK(world.isWhole({"late"}));
}

TEST_CASE("a batch given to a node that has just died is taken over within 4 s")
{
    BatchWorld world(5, nodeCount);
    world.runFor(settleTime);
    const std::size_t owner = findOwner(world);
    world.restart(owner, 60s);
    world.submit((owner + 1) % nodeCount, BatchWorld::makeOrder("late", 2, 3));
    const Time given = world.now();
    while (world.runs[{"late"}] == 0 && world.now() < given + 10s)
        world.runFor(50ms);
    CHECK(world.now() - given <= 4s);
    world.runFor(10s);
    CHECK(world.isWhole({"late"}));
}
