#include <geraniumpulley/core/leader/target_orders.hpp>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};
const ServiceName engines{"engines"};

// A provider that starts and stops targets as ordered, after the boot time.
struct Provider
{
    TargetOrders orders;
    Directory directory;
    std::map<std::string, std::uint32_t> reclaimable; ///< By data centre.
    std::map<std::string, std::pair<std::uint32_t, Time>> booting;
    std::set<std::string> withoutTargets; ///< Data centres in which none can be had.
    std::size_t calls = 0;
    Time now = start;

    Provider()
    {
        auto routing = std::make_shared<RoutingTable>();
        RoutedService service{engines, 0, true};
        ScalingLimits scaling{1, 12, 4s, 0.22, {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}}};
        service.scaling = scaling;
        routing->services.push_back(service);
        this->directory.routing = routing;
        this->directory.targetsKnown = true;
        this->publish();
    }

    void publish()
    {
        auto targets = std::make_shared<TargetMap>();
        const auto add = [&](const std::string &dataCentre, bool isReclaimable,
                             std::uint32_t count) {
            for (std::uint32_t i = 0; i < count; ++i) {
                FleetTarget target;
                target.target = {{dataCentre + (isReclaimable ? "-r" : "-") + std::to_string(i)},
                                 engines,
                                 "",
                                 dataCentre,
                                 false};
                target.slots = 6;
                target.isReclaimable = isReclaimable;
                targets->emplace(target.target.id, target);
            }
        };
        for (const std::string dataCentre : {"a", "b", "c"}) {
            add(dataCentre, false, 4);
            add(dataCentre, true, this->reclaimable[dataCentre]);
        }
        this->directory.targets = targets;
    }

    void demand(std::uint32_t items)
    {
        recordDemand(this->orders, {{"owner"}, {{engines, {items / 2, items - items / 2}}}},
                     this->now);
    }

    // Lets time pass with the same demand, and carries out the orders.
    void run(Duration span, std::uint32_t items)
    {
        constexpr Duration period = 500ms;
        for (const Time end = this->now + span; this->now < end; this->now += period) {
            this->demand(items);
            for (const auto &[dataCentre, boot] : this->booting) {
                if (boot.second <= this->now)
                    this->reclaimable[dataCentre] = boot.first;
            }
            this->publish();
            for (const OrderTargets &order :
                 planTargetOrders(this->orders, this->directory, {FencingToken{3}, this->now + 1s},
                                  this->now)) {
                ++this->calls;
                const std::string &dataCentre = order.group.dataCentre;
                const bool canServe =
                        !this->withoutTargets.contains(dataCentre) || order.count == 0;
                if (canServe)
                    this->booting[dataCentre] = {order.count, this->now + 4s};
                onTargetsOrdered(this->orders, order.group,
                                 canServe ? ProviderReply::Accepted : ProviderReply::Conflict,
                                 this->now);
            }
        }
    }

    std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (const auto &[dataCentre, count] : this->reclaimable)
            sum += count;
        return sum;
    }
};

} // namespace

TEST_CASE("targets are ordered for the items that run and wait, and none while there is room")
{
    Provider provider;
    provider.run(5s, 50);
    CHECK(provider.calls == 0);
    // 150 items need 32 targets of 6 slots with headroom; 12 are there.
    provider.run(10s, 150);
    CHECK(provider.total() == 20);
    CHECK(provider.reclaimable["a"] >= provider.reclaimable["c"]);
    CHECK(provider.reclaimable["c"] >= provider.reclaimable["b"]);
    CHECK(provider.reclaimable["b"] > 0);
}

// Guards against targets that are ordered and cancelled in each wave of trainers' steps.
TEST_CASE("waves shorter than the stabilization window cause no further orders")
{
    Provider provider;
    provider.run(8s, 150);
    const std::size_t calls = provider.calls;
    for (int wave = 0; wave < 8; ++wave) {
        provider.run(2s, 10);
        provider.run(2s, 150);
    }
    CHECK(provider.calls == calls);
    CHECK(provider.total() == 20);
    provider.run(20s, 10);
    CHECK(provider.total() == 0);
}

// Guards against a loss of all reclaimable targets of a data centre that nothing makes up for.
TEST_CASE("targets that are reclaimed are replaced in other data centres")
{
    Provider provider;
    provider.run(8s, 150);
    provider.withoutTargets.insert("a");
    provider.reclaimable["a"] = 0;
    provider.booting.erase("a");
    const std::uint32_t left = provider.total();
    REQUIRE(left < 20);
    provider.run(20s, 150);
    CHECK(provider.total() > left);
    CHECK(provider.reclaimable["a"] == 0);
    CHECK(provider.calls < 60);
    // Within the limit of the service, with the other targets there.
    CHECK(provider.reclaimable["b"] <= 8);
    CHECK(provider.reclaimable["c"] <= 8);
}

TEST_CASE("orders stay within the limits of the service")
{
    Provider provider;
    provider.run(10s, 100'000);
    CHECK(provider.total() == 24);
    for (const std::string dataCentre : {"a", "b", "c"})
        CHECK(provider.reclaimable[dataCentre] == 8);
}

TEST_CASE("a successor goes on from the targets that exist")
{
    Provider provider;
    provider.run(8s, 150);
    const std::size_t calls = provider.calls;
    abandonOrders(provider.orders);
    provider.run(6s, 150);
    CHECK(provider.calls == calls);
}

// Guards against a restarted leader that orders all targets away before it has heard of any demand.
TEST_CASE("a new leader keeps the targets until it has seen a whole stabilization window")
{
    Provider provider;
    provider.run(10s, 150);
    REQUIRE(provider.total() == 20);
    abandonOrders(provider.orders);
    provider.run(11s, 0);
    CHECK(provider.total() == 20);
    provider.run(12s, 0);
    CHECK(provider.total() == 0);
}

// Guards against ticks without pause while the targets are not known.
TEST_CASE("a plan is due once in a period, also while the targets are unknown")
{
    Provider provider;
    provider.directory.targetsKnown = false;
    CHECK(planTargetOrders(provider.orders, provider.directory,
                           {FencingToken{3}, provider.now + 1s}, provider.now)
                  .empty());
    CHECK(provider.orders.nextPlanAt > provider.now);
}

TEST_CASE("demand that is not repeated ends")
{
    Provider provider;
    provider.demand(150);
    provider.now += 3s;
    CHECK(planTargetOrders(provider.orders, provider.directory,
                           {FencingToken{3}, provider.now + 1s}, provider.now)
                  .empty());
}
