#include "fleet.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <future>

using namespace std::chrono_literals;

namespace {

void startOrderServices(live::Fleet &fleet)
{
    fleet.startStandin("orders-1", "plain", "orders", "sala-bilbao");
    fleet.startStandin("orders-2", "plain", "orders", "sala-santander");
    fleet.startNode("node-a", "sala-bilbao");
    fleet.startNode("node-b", "sala-santander");
}

std::uint64_t totalRuns(live::Fleet &fleet, const std::string &text)
{
    return fleet.runCount("orders-1", text) + fleet.runCount("orders-2", text);
}

} // namespace

TEST_CASE("a call whose answer is lost is reported as unknown and runs only once despite a retry")
{
    live::Fleet fleet;
    startOrderServices(fleet);
    REQUIRE(fleet.waitUntilConverged());
    REQUIRE(fleet.warmUp());
    fleet.setFault("orders-1", "lose_answer", 1);
    fleet.setFault("orders-2", "lose_answer", 1);
    CHECK(fleet.book("node-a", "k1", "order-1").outcome == "unknown");
    fleet.setFault("orders-1", "none", 0);
    fleet.setFault("orders-2", "none", 0);
    CHECK(totalRuns(fleet, "order-1") == 1);
    CHECK(fleet.book("node-b", "k1", "order-1").outcome != "not_run");
    CHECK(totalRuns(fleet, "order-1") == 1);
}

TEST_CASE("a call in progress at a target that is killed is never reported as not run")
{
    live::Fleet fleet;
    startOrderServices(fleet);
    REQUIRE(fleet.waitUntilConverged());
    REQUIRE(fleet.warmUp());
    fleet.setFault("orders-1", "slow", 1, 30s);
    fleet.setFault("orders-2", "slow", 1, 30s);
    auto answer = std::async(std::launch::async,
                             [&] { return fleet.book("node-a", "k1", "order-1", 15s); });
    std::string servingTarget;
    REQUIRE(fleet.waitFor([&] {
        for (const char *target : {"orders-1", "orders-2"}) {
            if (fleet.runCount(target, "order-1") > 0)
                servingTarget = target;
        }
        return !servingTarget.empty();
    }));
    const std::string other = servingTarget == "orders-1" ? "orders-2" : "orders-1";
    fleet.process(servingTarget).signal(SIGKILL);
    CHECK(answer.get().outcome == "unknown");
    CHECK(fleet.runCount(other, "order-1") == 0);
}

TEST_CASE("an order is booked at most once when its node is killed and the caller retries")
{
    live::Fleet fleet;
    startOrderServices(fleet);
    REQUIRE(fleet.waitUntilConverged());
    REQUIRE(fleet.warmUp());
    for (int i = 0; i < 5; ++i) {
        const std::string order = "order-" + std::to_string(i);
        auto first =
                std::async(std::launch::async, [&] { return fleet.book("node-a", order, order); });
        auto second =
                std::async(std::launch::async, [&] { return fleet.book("node-b", order, order); });
        if (i == 4)
            fleet.process("node-a").signal(SIGKILL);
        const live::HttpReply firstReply = first.get();
        const live::HttpReply secondReply = second.get();
        fleet.book("node-b", order, order);
        const std::uint64_t runs = totalRuns(fleet, order + "\\\"");
        CHECK(runs <= 1);
        if (runs > 0) {
            CHECK(firstReply.outcome != "not_run");
            CHECK(secondReply.outcome != "not_run");
        }
    }
}
