#include "leadership_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration electionTime = 8s;
// The heartbeat timeout, the ranks of three nodes, the lease, and room for the reads in between.
constexpr Duration maxTakeoverTime = 10s;

void play(LeadershipSimulation &simulation, const std::vector<ScheduleStep> &schedule)
{
    simulation.pass(electionTime);
    for (const ScheduleStep &step : schedule) {
        if (simulation.has(step.node, step.trouble))
            simulation.end(step.node, step.trouble);
        else
            simulation.begin(step.node, step.trouble);
        simulation.pass(step.lasts);
    }
}

std::vector<ScheduleStep> drawSchedule(std::size_t nodes)
{
    constexpr int maxSteps = 12;
    constexpr int maxTicks = 140;
    constexpr Duration tick = 50ms;
    std::vector<ScheduleStep> schedule(*rc::gen::inRange<std::size_t>(1, maxSteps + 1));
    for (ScheduleStep &step : schedule) {
        step.node = *rc::gen::inRange<std::size_t>(0, nodes);
        step.trouble = static_cast<Trouble>(*rc::gen::inRange<std::size_t>(0, troubleCount));
        step.lasts = *rc::gen::inRange(1, maxTicks) * tick;
    }
    return schedule;
}

std::size_t leaderOf(const LeadershipSimulation &simulation)
{
    REQUIRE(simulation.lastOrder() != nullptr);
    return simulation.lastOrder()->node;
}

} // namespace

TEST_CASE("a sound fleet keeps ordering weights under one token")
{
    LeadershipSimulation simulation;
    play(simulation, {});
    const ReceivedCall first = *simulation.lastOrder();
    simulation.pass(20s);
    CHECK(simulation.lastOrder()->fence == first.fence);
    CHECK(simulation.now() - simulation.lastOrder()->at < 1s);
}

// Guards against a former holder of the lease that orders again behind a cut, because its heartbeat
// is accepted before it has read who holds the lease now (docs/incidents/former-holder-orders.md).
TEST_CASE("a holder that was cut off from the store does not order under its old token")
{
    LeadershipSimulation simulation;
    play(simulation, {});
    for (int i = 0; i < 12; ++i) {
        const std::size_t leader = leaderOf(simulation);
        simulation.begin(leader, Trouble::WithoutStore);
        simulation.pass(5600ms + i % 4 * 150ms);
        simulation.recover();
        simulation.pass(1200ms + i % 3 * 100ms);
    }
    CHECK(findFencingViolation(simulation) == "");
    simulation.pass(maxTakeoverTime);
    CHECK(simulation.now() - simulation.lastOrder()->at < 1s);
}

TEST_CASE("a holder that was cut off for a short time goes on under its token soon after")
{
    LeadershipSimulation simulation;
    play(simulation, {});
    const ReceivedCall before = *simulation.lastOrder();
    simulation.begin(before.node, Trouble::WithoutStore);
    simulation.pass(1500ms);
    simulation.recover();
    simulation.pass(1500ms);
    CHECK(simulation.lastOrder()->fence == before.fence);
    CHECK(simulation.now() - simulation.lastOrder()->at < 500ms);
}

// Guards against a wait for a former holder that is known to be gone: 3 s without orders after a
// loss of power.
TEST_CASE("after all nodes have been killed the former holder orders soon under a new token")
{
    LeadershipSimulation simulation;
    play(simulation, {});
    const ReceivedCall before = *simulation.lastOrder();
    for (std::size_t node = 0; node < simulation.nodeCount(); ++node)
        simulation.begin(node, Trouble::Killed);
    simulation.pass(1s);
    simulation.recover();
    simulation.pass(2s);
    CHECK(simulation.lastOrder()->fence > before.fence);
    CHECK(simulation.lastOrder()->node == before.node);
    CHECK(findFencingViolation(simulation) == "");
}

// Guards against two nodes that act as the leader at the same time, and against a proof so strict
// that nobody acts.
TEST_CASE(
        "whatever happens to nodes, tokens rise, turns do not mix, and a sound fleet orders again")
{
    rc::check([] {
        LeadershipSimulation simulation;
        play(simulation, drawSchedule(simulation.nodeCount()));
        simulation.recover();
        const Time recoveredAt = simulation.now();
        simulation.pass(maxTakeoverTime);
        RC_ASSERT(findFencingViolation(simulation) == "");
        RC_ASSERT(simulation.lastOrder() != nullptr);
        RC_ASSERT(simulation.lastOrder()->at > recoveredAt);
    });
}
