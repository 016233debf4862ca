#include "batch_simulation.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;
using test::BatchSimulation;

namespace {

constexpr std::size_t nodeCount = 4;
// Time after which each node has received the heartbeats of all nodes.
constexpr Duration startupTime = 2s;

std::size_t indexOf(BatchSimulation &simulation, const NodeId &id)
{
    std::size_t index = 0;
    while (simulation.state(index).self.id != id)
        ++index;
    return index;
}

// Returns the index of the node that owns the batches of the simulated model.
std::size_t findOwner(BatchSimulation &simulation)
{
    simulation.submit(0, BatchSimulation::makeSpec("probe", 1, 1));
    simulation.runFor(500ms);
    return indexOf(simulation, simulation.stored({"probe"})->head.owner);
}

} // namespace

TEST_CASE("batches of one model have the same owner, whichever node receives them")
{
    BatchSimulation simulation(3, nodeCount);
    simulation.runFor(startupTime);
    std::set<NodeId> owners;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        const std::string id = "b" + std::to_string(node);
        simulation.submit(node, BatchSimulation::makeSpec(id, 2, 3));
        simulation.runFor(100ms);
        REQUIRE(simulation.stored({id}) != nullptr);
        owners.insert(simulation.stored({id})->head.owner);
    }
    CHECK(owners.size() == 1);
    simulation.runFor(10s);
    for (std::size_t node = 0; node < nodeCount; ++node)
        CHECK(simulation.isComplete({"b" + std::to_string(node)}));
    CHECK(simulation.takeoverCount == 0);
}

TEST_CASE("a draining node releases a batch assigned by a node that does not yet know of the drain")
{
    BatchSimulation simulation(4, nodeCount);
    simulation.runFor(startupTime);
    const std::size_t owner = findOwner(simulation);
    simulation.drain(owner);
    simulation.submit((owner + 1) % nodeCount, BatchSimulation::makeSpec("late", 2, 3));
    simulation.runFor(4s);
    CHECK(simulation.stored({"late"})->head.owner != simulation.state(owner).self.id);
    simulation.runFor(10s);
    CHECK(simulation.isComplete({"late"}));
}

TEST_CASE("a batch assigned to a node that has just died is taken over within 4 s")
{
    BatchSimulation simulation(5, nodeCount);
    simulation.runFor(startupTime);
    const std::size_t owner = findOwner(simulation);
    simulation.restart(owner, 60s);
    simulation.submit((owner + 1) % nodeCount, BatchSimulation::makeSpec("late", 2, 3));
    const Time submittedAt = simulation.now();
    while (simulation.startedRuns[{"late"}] == 0 && simulation.now() < submittedAt + 10s)
        simulation.runFor(50ms);
    CHECK(simulation.now() - submittedAt <= 4s);
    simulation.runFor(10s);
    CHECK(simulation.isComplete({"late"}));
}
