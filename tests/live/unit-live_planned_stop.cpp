#include "platform_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>

namespace {

bool isDraining(live::PlatformFleet &fleet, const std::string &node)
{
    const std::vector<std::string> lines = fleet.process(node).lines();
    return std::any_of(lines.begin(), lines.end(), [](const std::string &line) {
        return line.find("event=draining") != std::string::npos;
    });
}

} // namespace

// Guards against streams and requests that may not be repeated, which a stopping node passed on
// late and cut at its exit.
TEST_CASE("on the platform a node in a planned stop takes only requests that it can finish")
{
    live::PlatformFleet fleet;
    REQUIRE(fleet.writeRow("op", "config", live::makeRoutingTable(3)));
    fleet.startWorker("orders-1", "orders", "");
    fleet.startWorker("engine-1", "engines", "m");
    fleet.startNode("node-a");
    fleet.startNode("node-b");
    REQUIRE(fleet.waitUntilReady());
    const std::string longLimit = "12000";
    const std::string shortLimit = "1500";
    REQUIRE(fleet.call("node-a", "POST", "/chat/1", "before", "x", {{"X-Deadline-Ms", longLimit}})
                    .status
            == 200);

    fleet.process("node-a").signal(SIGTERM);
    REQUIRE(fleet.waitFor([&] { return isDraining(fleet, "node-a"); }));
    const live::HttpReply refused = fleet.call("node-a", "POST", "/chat/1", "late-stream", "x",
                                               {{"X-Deadline-Ms", longLimit}});
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.retryAfter.empty());
    CHECK(fleet.executedRequestIds("engine-1").find("late-stream") == std::string::npos);
    CHECK(fleet.call("node-b", "POST", "/chat/1", "other-node", "x", {{"X-Deadline-Ms", longLimit}})
                  .status
          == 200);
    for (const char *path : {"/lookup/1", "/book/1"}) {
        CAPTURE(path);
        CHECK(fleet.call("node-a", "POST", path, "short", "x", {{"X-Deadline-Ms", shortLimit}})
                      .status
              == 200);
    }
    int status = -1;
    REQUIRE(fleet.waitFor([&] { return fleet.process("node-a").hasEnded(status); }));
    CHECK(status == 0);
}
