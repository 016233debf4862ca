#include "platform_fleet.hpp"

#include <cpprest/json.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

namespace {

using live::HttpReply;

constexpr std::size_t batchItemCount = 6;

void startDeployment(live::PlatformFleet &fleet)
{
    REQUIRE(fleet.writeRow("op", "config", live::makeRoutingTable(3)));
    fleet.startWorker("orders-1", "orders", "");
    fleet.startWorker("orders-2", "orders", "");
    fleet.startWorker("engine-1", "engines", "m");
    fleet.startWorker("engine-2", "engines", "m");
    for (const char *node : {"node-a", "node-b", "node-c"})
        fleet.startNode(node);
    REQUIRE(fleet.waitUntilReady());
}

// Returns all results of a batch as a node lists them, or none when the node refuses the read.
std::vector<std::string> readResults(live::PlatformFleet &fleet, const std::string &node,
                                     const std::string &batch)
{
    const HttpReply reply = fleet.call(node, "GET", "/-/lots/" + batch + "?after=0");
    std::vector<std::string> results;
    if (reply.status != 200)
        return results;
    const web::json::value body = web::json::value::parse(reply.body);
    for (const web::json::value &result : body.at("results").as_array())
        results.push_back(result.serialize());
    return results;
}

bool waitForBatch(live::PlatformFleet &fleet, const std::string &node, const std::string &batch)
{
    return fleet.waitFor([&] { return readResults(fleet, node, batch).size() == batchItemCount; });
}

bool hasLogged(live::PlatformFleet &fleet, const std::string &process, const std::string &text)
{
    const std::vector<std::string> lines = fleet.process(process).lines();
    return std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
        return line.find(text) != std::string::npos;
    });
}

// Returns the rows of a range in the store, as JSON.
std::string readRows(live::PlatformFleet &fleet, const std::string &range)
{
    return live::fetch("http://" + fleet.addresses.at("store") + "/-/rows-get?" + range, "GET")
            .body;
}

bool hasPartialTexts(live::PlatformFleet &fleet, const std::string &batch)
{
    const std::string rows =
            readRows(fleet, "table=batch-contents&part=" + batch + "&from=partial&to=partial~");
    return rows.find("\"partial") != std::string::npos;
}

// Starts two more engines. Each engine names its software, "v1" or "v2", in long texts.
void startMixedSoftware(live::PlatformFleet &fleet)
{
    fleet.startWorker("engine-3", "engines", "m", "v2");
    fleet.startWorker("engine-4", "engines", "m", "v2");
    for (const char *engine : {"engine-1", "engine-2"})
        fleet.configureWorker(engine, R"({"software": "v1", "events": 300})");
    for (const char *engine : {"engine-3", "engine-4"})
        fleet.configureWorker(engine, R"({"software": "v2", "events": 300})");
}

void killAndRestartAll(live::PlatformFleet &fleet)
{
    for (const char *node : {"node-a", "node-b", "node-c"})
        fleet.process(node).signal(SIGKILL);
    for (const char *node : {"node-a", "node-b", "node-c"})
        fleet.startNode(node);
    REQUIRE(fleet.waitUntilReady());
}

bool hasExecuted(live::PlatformFleet &fleet, const std::string &worker, const std::string &request)
{
    return fleet.executedRequestIds(worker).find('"' + request + '"') != std::string::npos;
}

// Returns whether a node has continued a text behind an event.
bool wasResumed(live::PlatformFleet &fleet)
{
    return std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const std::string &node) {
        const std::vector<std::string> lines = fleet.process(node).lines();
        return std::any_of(lines.begin(), lines.end(), [](const std::string &line) {
            return line.find("event=run_started") != std::string::npos
                   && line.find(" after=0 ") == std::string::npos;
        });
    });
}

std::size_t executedCount(live::PlatformFleet &fleet, const std::string &worker)
{
    return web::json::value::parse(fleet.executedRequestIds(worker)).size();
}

// Sends many calls to the nodes and returns whether a worker gets any of them.
bool isCalled(live::PlatformFleet &fleet, const std::string &worker,
              const std::vector<std::string> &nodes)
{
    constexpr int callsPerNode = 20;
    const std::size_t before = executedCount(fleet, worker);
    for (const std::string &node : nodes) {
        for (int i = 0; i < callsPerNode; ++i)
            CHECK(fleet.call(node, "POST", "/lookup/1", fmt::format("probe-{}", i), "x").status
                  == 200);
    }
    return executedCount(fleet, worker) > before;
}

bool submit(live::PlatformFleet &fleet, const std::string &node, const std::string &batch)
{
    return fleet.waitFor([&] {
        return fleet.call(node, "POST", "/samples/" + batch, batch, live::makeBatch(batch)).status
               == 202;
    });
}

} // namespace

TEST_CASE("a calm day on the platform matches the golden client session")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    std::string session;
    const auto record = [&](const std::string &what, const HttpReply &reply) {
        session += fmt::format("{}\n  {} {}\n", what, reply.status, reply.body);
    };
    record("lookup at a", fleet.call("node-a", "POST", "/lookup/17", "id-1", "plain"));
    record("lookup at b", fleet.call("node-b", "POST", "/lookup/18?page=2", "id-2", "plain"));
    record("booking at c", fleet.call("node-c", "POST", "/book/19", "id-3", "A1 roll"));
    record("no route", fleet.call("node-a", "POST", "/none/1", "id-4", "x"));
    record("batch at a", fleet.call("node-a", "POST", "/samples/b1", "b1", live::makeBatch("b1")));
    record("the same batch at b",
           fleet.call("node-b", "POST", "/samples/b1", "b1", live::makeBatch("b1")));
    record("body of an item at c", fleet.call("node-c", "GET", "/-/items/b1?id=b1-4"));
    REQUIRE(waitForBatch(fleet, "node-c", "b1"));
    std::vector<std::string> results = readResults(fleet, "node-b", "b1");
    CHECK(results == readResults(fleet, "node-a", "b1"));
    std::sort(results.begin(),
              results.end()); // Results are listed in the order of their completion, which varies.
    for (const std::string &result : results)
        session += "  " + result + "\n";
    record("end at b", fleet.call("node-b", "DELETE", "/-/lots/b1"));
    record("end again at c", fleet.call("node-c", "DELETE", "/-/lots/b1"));
    record("unknown batch", fleet.call("node-a", "GET", "/-/lots/none"));
    record("malformed batch", fleet.call("node-a", "POST", "/samples/b2", "b2", "{}"));

    std::ifstream file(std::string(SOURCE_DIRECTORY) + "/tests/golden/platform_calm_day.txt");
    const std::string golden{std::istreambuf_iterator<char>(file), {}};
    CHECK(session == golden);
}

TEST_CASE("on the platform a batch is whole though the node that accepted it is killed")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    REQUIRE(submit(fleet, "node-a", "b1"));
    fleet.process("node-a").signal(SIGKILL);
    CHECK(waitForBatch(fleet, "node-b", "b1"));
    const std::vector<std::string> resultsAtB = readResults(fleet, "node-b", "b1");
    CHECK(resultsAtB == readResults(fleet, "node-c", "b1"));
    CHECK(resultsAtB.size() == batchItemCount);
}

TEST_CASE("on the platform a stopping node hands over its batches and answers accepted requests")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    REQUIRE(submit(fleet, "node-a", "b1"));
    fleet.process("node-a").signal(SIGTERM);
    // A second signal while the node drains has no effect.
    REQUIRE(fleet.waitFor([&] { return hasLogged(fleet, "node-a", "event=draining"); }));
    fleet.process("node-a").signal(SIGTERM);
    CHECK(waitForBatch(fleet, "node-b", "b1"));
    int status = -1;
    REQUIRE(fleet.waitFor([&] { return fleet.process("node-a").hasEnded(status); }));
    CHECK(status == 0);
}

TEST_CASE("on the platform everything is served again after all nodes are killed and restarted")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    REQUIRE(submit(fleet, "node-a", "b1"));
    REQUIRE(submit(fleet, "node-b", "b2"));
    for (const char *node : {"node-a", "node-b", "node-c"})
        fleet.process(node).signal(SIGKILL);
    for (const char *node : {"node-a", "node-b", "node-c"})
        fleet.startNode(node);
    REQUIRE(fleet.waitUntilReady());
    CHECK(waitForBatch(fleet, "node-c", "b1"));
    CHECK(waitForBatch(fleet, "node-a", "b2"));
    CHECK(fleet.call("node-b", "POST", "/lookup/1", "id-1", "x").status == 200);
}

TEST_CASE("on the platform a new routing table and new weights take effect")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    std::string routing = live::makeRoutingTable(9);
    routing.replace(routing.find("/book/"), 6, "/order/");
    REQUIRE(fleet.writeRow("op", "config", routing));
    REQUIRE(fleet.waitFor([&] {
        return fleet.call("node-a", "POST", "/order/1", "id-1", "x").status == 200
               && fleet.call("node-a", "POST", "/book/1", "id-2", "x").status == 404;
    }));
    REQUIRE(fleet.writeRow("op", "version/m", R"({"model":"m","version":2})"));
    CHECK(fleet.waitFor([&] {
        for (const char *node : {"node-a", "node-b", "node-c"}) {
            if (!live::loggedField(fleet.process(node).lines(), "weights_ordered", "version")
                         .empty())
                return true;
        }
        return false;
    }));
    REQUIRE(submit(fleet, "node-b", "b1"));
    CHECK(waitForBatch(fleet, "node-c", "b1"));
}

TEST_CASE("on the platform a node that starts while the store is unavailable serves calls")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    fleet.process("store").signal(SIGKILL);
    fleet.startNode("node-d");
    REQUIRE(fleet.waitUntilReady());
    CHECK(fleet.call("node-d", "POST", "/lookup/1", "id-1", "x").status == 200);
    CHECK(fleet.call("node-d", "POST", "/samples/b1", "b1", live::makeBatch("b1")).status == 503);
}

TEST_CASE("on the platform any node tells what the missing items of a batch wait for")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    for (const char *engine : {"engine-1", "engine-2"})
        fleet.configureWorker(engine, R"({"events": 2000})");
    REQUIRE(submit(fleet, "node-a", "b1"));
    for (const std::string &node : fleet.nodes) {
        HttpReply reply;
        REQUIRE(fleet.waitFor([&] {
            reply = fleet.call(node, "GET", "/v1/batches/b1/progress");
            return reply.status == 200 && reply.body.find("\"running\"") != std::string::npos;
        }));
        const web::json::value progress = web::json::value::parse(reply.body);
        CHECK(progress.at("total").as_integer() == static_cast<int>(batchItemCount));
        REQUIRE(progress.at("groups").size() == 2);
        const web::json::value &item = progress.at("groups").at(0).at("items").at(0);
        CHECK(item.at("data_centre").as_string() == "zone");
        CHECK(item.at("target").as_string().starts_with("engine-"));
    }
    CHECK(fleet.call("node-b", "GET", "/v1/batches/none/progress").status == 404);
}

// What has been withdrawn or has left shortly before an outage must not come back with a restart.
TEST_CASE(
        "on the platform a node that restarts without the store uses nothing that has been removed")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    // The peers read the tables in full each 1.2 to 1.5 s and their changes at once, so most rounds
    // end with a change that no full read has seen.
    std::string routing = live::makeRoutingTable(9);
    routing.replace(routing.find("/book/"), 6, "/order/");
    REQUIRE(fleet.writeRow(
            "servers", "orders-1",
            fmt::format(R"({{"service":"orders","address":"{}","zone":"zone","version":"v1",)"
                        R"("slots":8,"state":"draining","sequence":0,"born":1}})",
                        fleet.addresses.at("orders-1"))));
    REQUIRE(fleet.waitFor([&] { return !isCalled(fleet, "orders-1", fleet.nodes); }));
    REQUIRE(fleet.writeRow("op", "config", routing));
    REQUIRE(fleet.waitFor([&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const std::string &node) {
            return hasLogged(fleet, node, "event=routing_in_force version=9");
        });
    }));
    fleet.process("store").signal(SIGKILL);
    fleet.startNode("node-d");
    REQUIRE(fleet.waitUntilReady());
    CHECK_FALSE(isCalled(fleet, "orders-1", {"node-d"}));
    CHECK(fleet.call("node-d", "POST", "/book/1", "id-b", "x").status == 404);
    CHECK(fleet.call("node-d", "POST", "/order/1", "id-o", "x").status == 200);
}

// The text of an item must come from workers of one software version.
TEST_CASE("on the platform no text is joined from two software versions when all nodes are killed")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    startMixedSoftware(fleet);
    for (const char *batch : {"b1", "b2"})
        REQUIRE(submit(fleet, "node-a", batch));
    REQUIRE(fleet.waitFor([&] { return hasPartialTexts(fleet, "b1"); }));
    REQUIRE(fleet.waitFor([&] { return hasPartialTexts(fleet, "b2"); }));
    killAndRestartAll(fleet);
    for (const char *batch : {"b1", "b2"}) {
        REQUIRE(waitForBatch(fleet, "node-c", batch));
        for (const std::string &result : readResults(fleet, "node-c", batch)) {
            const bool hasFirst = result.find(":v1") != std::string::npos;
            const bool hasSecond = result.find(":v2") != std::string::npos;
            CHECK(hasFirst != hasSecond);
        }
    }
    CHECK(wasResumed(fleet));
}

TEST_CASE("on the platform a client's stream goes on at its software though all nodes were killed")
{
    constexpr int streamCount = 6;
    live::PlatformFleet fleet;
    startDeployment(fleet);
    startMixedSoftware(fleet);
    std::vector<std::thread> clients;
    clients.reserve(streamCount);
    for (int i = 0; i < streamCount; ++i) {
        clients.emplace_back([&fleet, i] {
            fleet.call("node-a", "POST", "/chat/1", fmt::format("begun-{}", i), "x");
        });
    }
    const bool areStored = fleet.waitFor([&] {
        const std::string rows = readRows(fleet, "table=stream-origins&part=&from=begun&to=begun~");
        for (int i = 0; i < streamCount; ++i) {
            if (rows.find(fmt::format("\"begun-{}\"", i)) == std::string::npos)
                return false;
        }
        return true;
    });
    killAndRestartAll(fleet);
    for (std::thread &client : clients)
        client.join();
    REQUIRE(areStored);
    std::vector<HttpReply> replies(streamCount);
    clients.clear();
    for (int i = 0; i < streamCount; ++i) {
        clients.emplace_back([&fleet, &replies, i] {
            replies[static_cast<std::size_t>(i)] =
                    fleet.call("node-b", "POST", "/chat/1", fmt::format("taken-up-{}", i), "x",
                               {{"Last-Event-Id", "5"}, {"Resumes", fmt::format("begun-{}", i)}});
        });
    }
    for (std::thread &client : clients)
        client.join();
    for (int i = 0; i < streamCount; ++i) {
        const std::string begun = fmt::format("begun-{}", i);
        const bool isFirst =
                hasExecuted(fleet, "engine-1", begun) || hasExecuted(fleet, "engine-2", begun);
        const HttpReply &reply = replies[static_cast<std::size_t>(i)];
        CAPTURE(i);
        CHECK(reply.status == 200);
        CHECK(reply.body.find("id: 6\n") == 0);
        CHECK((reply.body.find(":v1") != std::string::npos) == isFirst);
        CHECK((reply.body.find(":v2") != std::string::npos) != isFirst);
    }
}

// The row of the worker may say so only later, or not at all while the store is away.
TEST_CASE("on the platform a worker that states in its answers that it leaves gets no new requests")
{
    live::PlatformFleet fleet;
    startDeployment(fleet);
    fleet.configureWorker("orders-1", R"({"leaving": true})");
    fleet.process("store").signal(SIGKILL);
    for (const std::string &node : fleet.nodes) {
        REQUIRE(fleet.waitFor([&] {
            CHECK(fleet.call(node, "POST", "/lookup/1", "id-1", "x").status == 200);
            return hasLogged(fleet, node, "event=target_leaving target=orders-1");
        }));
        // The node may have sent further requests before it received the answer.
        CHECK(fleet.waitFor([&] { return !isCalled(fleet, "orders-1", {node}); }));
    }
    CHECK_FALSE(isCalled(fleet, "orders-1", fleet.nodes));
}

// Each node that learns of the request anew would take down further workers.
TEST_CASE("on the platform a request that crashes its workers reaches few of them, also after a "
          "restart of all nodes")
{
    constexpr int workerCount = 8;
    constexpr int maxCrashes = 3;
    live::PlatformFleet fleet;
    startDeployment(fleet);
    for (int i = 3; i <= workerCount; ++i)
        fleet.startWorker(fmt::format("orders-{}", i), "orders", "");
    REQUIRE(fleet.waitFor([&] { return isCalled(fleet, "orders-8", {"node-a"}); }));
    int calls = 0;
    const auto sendCrashing = [&](const std::string &node) {
        return fleet.call(node, "POST", "/lookup/7", fmt::format("crashing-{}", calls++), "crash");
    };
    const auto crashCount = [&] {
        int count = 0;
        for (int i = 1; i <= workerCount; ++i) {
            int status = 0;
            count += fleet.process(fmt::format("orders-{}", i)).hasEnded(status) ? 1 : 0;
        }
        return count;
    };
    const auto areRecordsKnown = [&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const std::string &node) {
            return hasLogged(fleet, node, "event=crash_records_read requests=1 records=3");
        });
    };
    REQUIRE(fleet.waitFor([&] {
        sendCrashing("node-a");
        return hasLogged(fleet, "node-a", "verdict=quarantined");
    }));
    REQUIRE(fleet.waitFor(areRecordsKnown));
    for (const std::string &node : fleet.nodes)
        CHECK(sendCrashing(node).status == 502);
    CHECK(crashCount() <= maxCrashes);
    killAndRestartAll(fleet);
    REQUIRE(fleet.waitFor(areRecordsKnown));
    for (const std::string &node : fleet.nodes) {
        CHECK(sendCrashing(node).status == 502);
        CHECK(fleet.call(node, "POST", "/lookup/7", "sound-" + node, "x").status == 200);
    }
    CHECK(crashCount() <= maxCrashes);
}

// Several nodes that each keep to the limit exceed it together.
TEST_CASE("on the platform nodes together send a target no more than one and a half times the rate "
          "limit that it states")
{
    constexpr double limitPerSecond = 3;
    constexpr std::chrono::seconds warmUp{3};
    constexpr std::chrono::seconds window{4};
    constexpr std::size_t maxRequests = static_cast<std::size_t>(1.5 * limitPerSecond * 4) + 5;
    live::PlatformFleet fleet;
    startDeployment(fleet);
    for (const char *worker : {"orders-1", "orders-2"})
        fleet.configureWorker(worker, R"({"rate_limit": "3"})");
    const auto press = [&fleet](std::chrono::seconds span) {
        const auto end = std::chrono::steady_clock::now() + span;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
            for (const char *node : {"node-a", "node-b", "node-c"})
                fleet.call(node, "POST", "/lookup/1", fmt::format("{}-{}", node, i), "x");
        }
    };
    press(warmUp);
    const std::size_t before = executedCount(fleet, "orders-1");
    press(window);
    const std::size_t inWindow = executedCount(fleet, "orders-1") - before;
    CHECK(inWindow <= maxRequests);
    CHECK(inWindow > 0);
}

// Guards against a request that is served without a key or under a withdrawn one, also after a
// restart, and against an account that reads the batches of another.
TEST_CASE("on the platform keys of client accounts are checked at each door")
{
    const auto tableWith = [](std::uint64_t version, const std::string &accounts) {
        std::string table = live::makeRoutingTable(version);
        table.insert(table.find(R"("limits":)"), R"("tenants":[)" + accounts + "],");
        const std::string scorerRoute = R"("path_prefix":"/lookup/")";
        table.insert(table.find(scorerRoute), R"("public":false,)");
        return table;
    };
    live::PlatformFleet fleet;
    REQUIRE(fleet.writeRow("op", "config",
                           tableWith(3, R"({"name":"a","api_keys":["key-a","old-a"]},)"
                                        R"({"name":"b","api_keys":["key-b"]})")));
    fleet.startWorker("orders-1", "orders", "");
    fleet.startWorker("engine-1", "engines", "m");
    fleet.startNode("node-a");
    fleet.startNode("node-b");
    REQUIRE(fleet.waitUntilReady());
    const auto statusOf = [&](const std::string &node, const std::string &method,
                              const std::string &target, const std::string &key,
                              const std::string &id = "id", const std::string &body = {}) {
        std::map<std::string, std::string> headers;
        if (!key.empty())
            headers["Authorization"] = "Bearer " + key;
        return fleet.call(node, method, target, id, body, headers).status;
    };
    CHECK(statusOf("node-a", "POST", "/lookup/1", "key-a", "c1", "x") == 200);
    CHECK(statusOf("node-a", "POST", "/lookup/1", "", "c2", "x") == 401);
    CHECK(statusOf("node-b", "POST", "/lookup/1", "none", "c3", "x") == 401);
    CHECK(fleet.executedRequestIds("orders-1").find("c2") == std::string::npos);

    CHECK(statusOf("node-a", "POST", "/samples/b", "", "batch", live::makeBatch("batch")) == 401);
    CHECK(statusOf("node-a", "POST", "/samples/b", "old-a", "batch", live::makeBatch("batch"))
          == 202);
    CHECK(statusOf("node-b", "GET", "/-/lots/batch?after=0", "key-a") == 200);
    CHECK(statusOf("node-b", "GET", "/-/lots/batch?after=0", "") == 401);
    CHECK(statusOf("node-b", "GET", "/-/lots/batch?after=0", "key-b") == 404);
    CHECK(statusOf("node-b", "DELETE", "/-/lots/batch", "key-b") == 404);

    // The key is withdrawn; the batch goes on and is read with another key of the account.
    REQUIRE(fleet.writeRow("op", "config",
                           tableWith(4, R"({"name":"a","api_keys":["key-a"]},)"
                                        R"({"name":"b","api_keys":["key-b"]})")));
    for (const char *node : {"node-a", "node-b"})
        CHECK(fleet.waitFor([&] { return statusOf(node, "POST", "/lookup/1", "old-a") == 401; }));
    CHECK(statusOf("node-a", "GET", "/-/lots/batch?after=0", "old-a") == 401);
    CHECK(fleet.waitFor([&] {
        const HttpReply reply = fleet.call("node-b", "GET", "/-/lots/batch?after=0", {}, {},
                                           {{"Authorization", "Bearer key-a"}});
        return reply.status == 200
               && web::json::value::parse(reply.body).at("results").size() == batchItemCount;
    }));
    CHECK(statusOf("node-b", "DELETE", "/-/lots/batch", "key-a") == 200);

    // A table with malformed accounts leaves the one before in force, also after a restart.
    REQUIRE(fleet.writeRow("op", "config",
                           tableWith(5, R"({"name":"a","api_keys":["key-a","old-a"]},)"
                                        R"({"name":"b","api_keys":["key-a"]})")));
    CHECK(fleet.waitFor(
            [&] { return hasLogged(fleet, "node-a", "error=\"a key is listed twice\""); }));
    CHECK(statusOf("node-a", "POST", "/lookup/1", "old-a") == 401);
    CHECK(statusOf("node-a", "POST", "/lookup/1", "key-a", "c4", "x") == 200);
    for (const std::string &name : fleet.nodes) {
        for (const std::string &line : fleet.process(name).lines()) {
            CHECK(line.find("key-a") == std::string::npos);
            CHECK(line.find("old-a") == std::string::npos);
        }
    }
}
