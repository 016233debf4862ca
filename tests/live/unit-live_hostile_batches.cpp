#include "crowd.hpp"
#include "platform_fleet.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

// Submissions and reads of batches by clients outside the limits.
namespace {

constexpr std::size_t allConnections = 1100;
constexpr std::size_t maxSubmissionBytes = 640 * 1024;

struct BatchNode
{
    BatchNode()
    {
        this->fleet.memoryMegabytes = live::smallestMachineMegabytes;
        REQUIRE(this->fleet.writeRow("op", "config", live::makeRoutingTable(3)));
        this->fleet.startWorker("orders-1", "orders", "");
        this->fleet.startNode("node-a");
        REQUIRE(this->fleet.waitUntilReady());
    }

    std::uint32_t submit(const std::string &id, const std::string &body)
    {
        return this->fleet.call("node-a", "POST", "/samples/1", id, body).status;
    }

    bool accepts(const std::string &id)
    {
        return this->fleet.waitFor([&] { return this->submit(id, live::makeBatch(id)) == 202; });
    }

    bool servesOrdinary()
    {
        return this->fleet.call("node-a", "POST", "/lookup/1", "ordinary", "x").status == 200;
    }

    void checkIsAlive()
    {
        CHECK(this->servesOrdinary());
        int status = 0;
        CHECK_FALSE(this->fleet.process("node-a").hasEnded(status));
        const std::size_t peak = live::peakMegabytes(this->fleet.process("node-a").id());
        MESSAGE("peak of the resident memory: " << peak << " MB");
        CHECK(peak > 0);
        CHECK(peak < live::smallestMachineMegabytes);
    }

    live::PlatformFleet fleet;
};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

// As many of the smallest items as a submission holds.
std::string makeCrowdedBatch(const std::string &batch)
{
    std::string items;
    for (int i = 0; items.size() < maxSubmissionBytes - 1000; ++i)
        items += fmt::format(R"({}{{"id":"{}{}","path":"/samples/r"}})", i == 0 ? "" : ",", batch,
                             i);
    return fmt::format(R"({{"step":1,"model":"m","min_version":1,"desired":1,"requests":[{}]}})",
                       items);
}

} // namespace

// Guards against a field of an item that the HTTP library throws at when it is sent to an engine.
TEST_CASE("on the platform an item header that cannot be sent ends no node")
{
    BatchNode node;
    node.fleet.startWorker("engine-1", "engines", "m");
    const std::string header = R"("headers":{"X-Model":"m"})";
    CHECK(node.submit("long", replaced(live::makeBatch("long"), header,
                                       fmt::format(R"("headers":{{"X-Model":"m","X-Long":"{}"}})",
                                                   std::string(70'000, 'x'))))
          == 400);
    CHECK(node.accepts("ordinary-batch"));
    CHECK(node.fleet.waitFor([&] {
        const auto reply =
                node.fleet.call("node-a", "GET", "/-/lots/ordinary-batch?after=0", {}, {}, {});
        return reply.body.find("completed") != std::string::npos;
    }));
    node.checkIsAlive();
}

// Guards against a text of a submission that an engine reads as a request of its own.
TEST_CASE("on the platform no item carries a request of its own")
{
    const std::string smuggled = R"(\r\n\r\nPOST /book/1 HTTP/1.1\r\nX-Attempt-Id: smuggled\r\n)"
                                 R"(Content-Length: 0\r\n\r\n)";
    BatchNode node;
    node.fleet.startWorker("engine-1", "engines", "m");
    const std::string batch = live::makeBatch("b");
    CHECK(node.submit("value",
                      replaced(batch, R"("X-Model":"m")", R"("X-Model":"m)" + smuggled + "\""))
          == 400);
    CHECK(node.submit("name",
                      replaced(batch, R"("X-Model":"m")", R"("X-A: b)" + smuggled + R"(X-B":"m")"))
          == 400);
    CHECK(node.submit("path",
                      replaced(batch, "/samples/run", R"(/samples/run HTTP/1.1)" + smuggled))
          == 400);
    CHECK(node.submit("id", replaced(batch, R"("id":"b-0")", R"("id":"b-0)" + smuggled + "\""))
          == 400);
    CHECK(node.submit("scorer",
                      replaced(batch, "/lookup/score", R"(/lookup/score HTTP/1.1)" + smuggled))
          == 400);
    CHECK(node.accepts("b"));
    CHECK(node.fleet.waitFor([&] {
        const auto reply = node.fleet.call("node-a", "GET", "/-/lots/b?after=5", {}, {}, {});
        return reply.body.find("completed") != std::string::npos;
    }));
    CHECK(node.fleet.executedRequestIds("engine-1").find("smuggled") == std::string::npos);
    CHECK(node.fleet.executedRequestIds("orders-1").find("smuggled") == std::string::npos);
    node.checkIsAlive();
}

// Guards against batches that take many times the memory of their bytes, and that are kept until
// they end.
TEST_CASE("on the platform batches of many small items do not fill the node's memory")
{
    constexpr int batches = 24;
    BatchNode node;
    REQUIRE(node.accepts("first"));
    for (int i = 0; i < batches; ++i)
        node.submit(fmt::format("crowd-{}", i), makeCrowdedBatch(fmt::format("c{}-", i)));
    node.checkIsAlive();
}

// Guards against reads that wait for results as long as their clients ask for.
TEST_CASE("on the platform readers that wait do not hold all connections")
{
    BatchNode node;
    REQUIRE(node.accepts("waiting"));
    const live::HoldingCrowd crowd(node.fleet.addresses.at("node-a/callers"), allConnections,
                                   {"GET /-/lots/waiting?after=0 HTTP/1.1\r\nHost: site.example\r\n"
                                    "X-Wait-Ms: 86400000\r\n\r\n",
                                    "", false});
    CHECK(node.fleet.waitFor([&] { return node.servesOrdinary(); }));
    node.checkIsAlive();
}
