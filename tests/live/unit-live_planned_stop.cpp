#include "platform_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>

namespace {

bool hasLogged(live::PlatformFleet &fleet, const std::string &node, const std::string &text)
{
    const std::vector<std::string> lines = fleet.process(node).lines();
    return std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
        return line.find(text) != std::string::npos;
    });
}

// Returns the size of the partial texts of a batch in the store, encoded.
std::size_t partialTextBytes(live::PlatformFleet &fleet, const std::string &batch)
{
    return live::fetch("http://" + fleet.addresses.at("store")
                               + "/-/rows-get?table=batch-contents&part=" + batch
                               + "&from=partial&to=partial~",
                       "GET")
            .body.size();
}

// The time between SIGTERM and the kill of a node, as its settings state it.
constexpr auto stopLimit = std::chrono::seconds(8);

// Submits a batch whose texts take 5.5 s, and returns the node that owns it.
std::string submitLongBatch(live::PlatformFleet &fleet)
{
    fleet.configureWorker("engine-1", R"({"events": 550, "event_bytes": 1000})");
    REQUIRE(fleet.waitFor([&] {
        return fleet.call("node-a", "POST", "/samples/b1", "b1", live::makeBatch("b1")).status
               == 202;
    }));
    std::string owner;
    REQUIRE(fleet.waitFor([&] {
        for (const char *node : {"node-a", "node-b"}) {
            if (hasLogged(fleet, node, "event=batch_opened batch=b1"))
                owner = node;
        }
        return !owner.empty();
    }));
    return owner;
}

void startTwoNodes(live::PlatformFleet &fleet)
{
    REQUIRE(fleet.writeRow("op", "config", live::makeRoutingTable(3)));
    fleet.startWorker("orders-1", "orders", "");
    fleet.startWorker("engine-1", "engines", "m");
    fleet.startNode("node-a");
    fleet.startNode("node-b");
    REQUIRE(fleet.waitUntilReady());
}

// Waits for the end of a node and returns how long it took.
std::chrono::steady_clock::duration waitForEnd(live::PlatformFleet &fleet, const std::string &node)
{
    const auto start = std::chrono::steady_clock::now();
    int status = -1;
    REQUIRE(fleet.waitFor([&] { return fleet.process(node).hasEnded(status); }));
    CHECK(status == 0);
    return std::chrono::steady_clock::now() - start;
}

} // namespace

// Guards against streams and requests that may not be repeated, which a stopping node passed on
// late and cut at its exit.
TEST_CASE("on the platform a node in a planned stop takes only requests that it can finish")
{
    live::PlatformFleet fleet;
    startTwoNodes(fleet);
    const std::string longLimit = "12000";
    const std::string shortLimit = "1500";
    REQUIRE(fleet.call("node-a", "POST", "/chat/1", "before", "x", {{"X-Deadline-Ms", longLimit}})
                    .status
            == 200);

    fleet.process("node-a").signal(SIGTERM);
    REQUIRE(fleet.waitFor([&] { return hasLogged(fleet, "node-a", "event=draining"); }));
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
    waitForEnd(fleet, "node-a");
}

// Guards against a hand-over that exceeds the store's limit on a transaction: it was rejected until
// the node exited, and requests that came meanwhile were cut.
TEST_CASE("on the platform a node in a planned stop hands over texts of any length")
{
    live::PlatformFleet fleet;
    startTwoNodes(fleet);
    const std::string owner = submitLongBatch(fleet);
    // After 2 s or 3 s the six texts exceed a transaction of 1 MB.
    constexpr std::size_t longTextBytes = 900'000;
    REQUIRE(fleet.waitFor([&] { return partialTextBytes(fleet, "b1") > longTextBytes; }));
    fleet.process(owner).signal(SIGTERM);
    waitForEnd(fleet, owner);
    // It does not wait until the texts are complete.
    CHECK(live::loggedField(fleet.process(owner).lines(), "batch_handed_over", "listed") == "0");
    CHECK(hasLogged(fleet, owner, "event=drained handed_over=true"));
    CHECK_FALSE(hasLogged(fleet, owner, "event=store_call_rejected"));
}

// Guards against a stop that waits for the store and leaves no time for answers.
TEST_CASE("on the platform a node in a planned stop answers requests while the store is away")
{
    live::PlatformFleet fleet;
    startTwoNodes(fleet);
    const std::string owner = submitLongBatch(fleet);
    const std::string other = owner == "node-a" ? "node-b" : "node-a";
    fleet.process("store").signal(SIGSTOP);
    fleet.process(owner).signal(SIGTERM);
    REQUIRE(fleet.waitFor([&] { return hasLogged(fleet, owner, "event=draining"); }));
    for (const char *path : {"/lookup/1", "/book/1"}) {
        CAPTURE(path);
        CHECK(fleet.call(owner, "POST", path, "short", "x", {{"X-Deadline-Ms", "1500"}}).status
              == 200);
    }
    CHECK(waitForEnd(fleet, owner) < stopLimit);
    CHECK(hasLogged(fleet, owner, "event=drained handed_over=false written=true"));
    fleet.process("store").signal(SIGCONT);
    // The other node takes the batch over once the store shows that its owner is gone.
    CHECK(fleet.waitFor([&] { return hasLogged(fleet, other, "batch=b1 fence="); }));
}

// Guards against a stop whose steps begin anew after a freeze and outlast the limit.
TEST_CASE("on the platform a node that is frozen in its planned stop exits within the limit")
{
    live::PlatformFleet fleet;
    startTwoNodes(fleet);
    const std::string owner = submitLongBatch(fleet);
    const auto stoppedAt = std::chrono::steady_clock::now();
    fleet.process(owner).signal(SIGTERM);
    REQUIRE(fleet.waitFor([&] { return hasLogged(fleet, owner, "event=draining"); }));
    constexpr auto freeze = std::chrono::seconds(4);
    const auto frozenAt = std::chrono::steady_clock::now();
    fleet.process(owner).signal(SIGSTOP);
    REQUIRE(fleet.waitFor([&] { return std::chrono::steady_clock::now() - frozenAt > freeze; }));
    fleet.process(owner).signal(SIGCONT);
    waitForEnd(fleet, owner);
    CHECK(std::chrono::steady_clock::now() - stoppedAt < stopLimit);
}
