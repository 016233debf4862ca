#include "engine_world.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace engine_world;

namespace {

// Faults that come at random moments while versions are posted.
struct Faults
{
    World &world;
    std::uint64_t nextVersion = 2;
    std::optional<std::size_t> frozen = std::nullopt;

    void bringAbout(int kind)
    {
        switch (kind) {
        case 0:
            return this->post();
        case 1:
            return this->freeze();
        case 2:
            return this->thaw();
        case 3:
            this->world.tableDown = !this->world.tableDown;
            return;
        case 4:
            this->world.loseOrderAnswers = !this->world.loseOrderAnswers;
            return;
        default:
            this->world.publishView();
        }
    }

    void post()
    {
        const std::size_t node = this->frozen == 0U ? 1 : 0;
        this->world.post(this->nextVersion++, node);
    }

    void freeze()
    {
        if (this->frozen)
            return;
        this->frozen = this->world.ownerOfEngine({"engine-0"}) % this->world.nodes.size();
        this->world.nodes[*this->frozen].frozen = true;
    }

    void thaw()
    {
        if (!this->frozen)
            return;
        this->world.thaw(*this->frozen);
        this->frozen.reset();
    }

    void end()
    {
        this->thaw();
        this->world.publishView();
        this->world.tableDown = false;
        this->world.loseOrderAnswers = false;
        this->post();
    }
};

} // namespace

TEST_CASE("no order lowers a version or doubles another, and waves keep their share")
{
    CHECK(rc::check([] {
        WorldSettings settings;
        settings.nodes = 4;
        settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        settings.reportLag = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
        settings.failing = *rc::gen::inRange(0, 30) / 100.0;
        World world(settings);
        world.runFor(10s);
        Faults faults{world};
        const auto kinds = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 6));
        for (const int kind : kinds) {
            faults.bringAbout(kind);
            world.runFor(std::chrono::milliseconds(*rc::gen::inRange(100, 8000)));
        }
        faults.end();
        const auto allDone = [&] { return world.enginesAt(faults.nextVersion - 1) == 10; };
        world.runUntil(allDone, 300s);
        RC_ASSERT(allDone());
        RC_ASSERT(world.loweringOrders == 0U);
        RC_ASSERT(world.doubleOrders == 0U);
        RC_ASSERT(world.mostLoading <= 4U);
    }));
}
