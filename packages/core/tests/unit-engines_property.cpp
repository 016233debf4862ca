#include "engine_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace engine_simulation;

namespace {

// Injects faults and updates the desired version between them.
struct FaultInjector
{
    Simulation &simulation;
    std::uint64_t nextVersion = 2;
    std::optional<std::size_t> pausedNode = std::nullopt;

    void inject(int kind)
    {
        switch (kind) {
        case 0:
            return this->raiseVersion();
        case 1:
            return this->pauseOwner();
        case 2:
            return this->resumeOwner();
        case 3:
            this->simulation.tableDown = !this->simulation.tableDown;
            return;
        case 4:
            this->simulation.losesOrderAnswers = !this->simulation.losesOrderAnswers;
            return;
        default:
            this->simulation.publishView();
        }
    }

    void raiseVersion()
    {
        const std::size_t node = this->pausedNode == 0U ? 1 : 0;
        this->simulation.postWeights(this->nextVersion++, node);
    }

    void pauseOwner()
    {
        if (this->pausedNode)
            return;
        this->pausedNode =
                this->simulation.ownerOfEngine({"engine-0"}) % this->simulation.nodes.size();
        this->simulation.nodes[*this->pausedNode].paused = true;
    }

    void resumeOwner()
    {
        if (!this->pausedNode)
            return;
        this->simulation.resume(*this->pausedNode);
        this->pausedNode.reset();
    }

    void endFaults()
    {
        this->resumeOwner();
        this->simulation.publishView();
        this->simulation.tableDown = false;
        this->simulation.losesOrderAnswers = false;
        this->raiseVersion();
    }
};

} // namespace

TEST_CASE("under random faults orders never lower a version, overlap or exceed the swap limit")
{
    CHECK(rc::check([] {
        SimulationSettings settings;
        settings.nodes = 4;
        settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        settings.reportLag = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
        settings.loadFailureProbability = *rc::gen::inRange(0, 30) / 100.0;
        Simulation simulation(settings);
        simulation.runFor(10s);
        FaultInjector faults{simulation};
        const auto kinds = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 6));
        for (const int kind : kinds) {
            faults.inject(kind);
            simulation.runFor(std::chrono::milliseconds(*rc::gen::inRange(100, 8000)));
        }
        faults.endFaults();
        const auto areAllUpdated = [&] {
            return simulation.engineCountAt(faults.nextVersion - 1) == 10;
        };
        simulation.runUntil(areAllUpdated, 300s);
        RC_ASSERT(areAllUpdated());
        RC_ASSERT(simulation.downgradeOrders == 0U);
        RC_ASSERT(simulation.overlappingOrders == 0U);
        RC_ASSERT(simulation.maxLoadingEngines <= 4U);
    }));
}
