#include "crowd.hpp"
#include "platform_fleet.hpp"
#include "raw_worker.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

// Crowds that stay connected while an ordinary client sends its request beside them.
namespace {

// The node takes 1,024 connections.
constexpr std::size_t allConnections = 1100;
constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t defaultHeaderBytes = 16384;
// Together they hold 44 MB of bodies.
constexpr std::size_t bodyHolders = 400;
constexpr std::size_t heldBodyBytes = 110'000;
constexpr std::size_t ordinaryBodyBytes = 4'000'000;

std::string postHead(const std::string &fields)
{
    return "POST /lookup/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: crowd\r\n" + fields
           + "\r\n";
}

std::string makeRoutingTable(std::size_t maxHeaderBytes)
{
    std::string table = live::makeRoutingTable(3);
    const auto set = [&](const std::string &name, std::size_t from, std::size_t to) {
        const std::string limit = fmt::format(R"("{}":{})", name, from);
        table.replace(table.find(limit), limit.size(), fmt::format(R"("{}":{})", name, to));
    };
    set("max_body_bytes", 1048576, maxBodyBytes);
    set("max_header_bytes", defaultHeaderBytes, maxHeaderBytes);
    return table;
}

// Clients try again, each time on a new connection, and not before the node allows it: right after
// its start a crowd has held its memory for no longer than an ordinary request takes.
bool isServed(live::PlatformFleet &fleet, const std::string &body)
{
    return fleet.waitFor([&] {
        return fleet.call("node-a", "POST", "/lookup/1", "ordinary", body).status == 200;
    });
}

void checkNodeServesBeside(std::size_t size, const live::HoldingPattern &pattern,
                           std::size_t maxHeaderBytes = defaultHeaderBytes,
                           const std::string &ordinaryBody = "x")
{
    live::PlatformFleet fleet;
    fleet.memoryMegabytes = live::smallestMachineMegabytes;
    REQUIRE(fleet.writeRow("op", "config", makeRoutingTable(maxHeaderBytes)));
    const live::RawWorker worker(
            [](const live::RawWorker::Request &request) { return live::makeAnswer(request); });
    fleet.addWorker("orders-1", "orders", worker.address());
    fleet.startNode("node-a");
    REQUIRE(fleet.waitUntilReady());
    const live::ChildProcess &node = fleet.process("node-a");
    {
        const live::HoldingCrowd crowd(fleet.addresses.at("node-a/callers"), size, pattern);
        CHECK(isServed(fleet, ordinaryBody));
        const std::size_t descriptors = live::openDescriptors(node.id());
        MESSAGE("descriptors beside the crowd: " << descriptors);
        CHECK(descriptors < live::smallestMachineDescriptors);
    }
    CHECK(isServed(fleet, "x"));
    const std::size_t peak = live::peakMegabytes(node.id());
    MESSAGE("peak of the resident memory: " << peak << " MB");
    CHECK(peak > 0);
    CHECK(peak < live::smallestMachineMegabytes);
    int status = 0;
    CHECK_FALSE(fleet.process("node-a").hasEnded(status));
}

} // namespace

// Guards against connections that a client keeps for ever by sending a byte now and then.
TEST_CASE("on the platform clients that send bodies by the byte do not hold all connections")
{
    checkNodeServesBeside(allConnections, {postHead("Content-Length: 100000\r\n"), "x", true});
}

// Guards against a limit on all bodies that a few clients use up.
TEST_CASE("on the platform clients that hold the memory for bodies do not stop the others")
{
    checkNodeServesBeside(
            bodyHolders,
            {postHead("Content-Length: 120000\r\n") + std::string(heldBodyBytes, 'x'), "x", true},
            defaultHeaderBytes, std::string(ordinaryBodyBytes, 'x'));
}

// Guards against parsed heads that take many times the memory of their bytes.
TEST_CASE("on the platform heads of many small fields do not fill the node's memory")
{
    constexpr std::size_t clients = 48;
    constexpr std::size_t headerBytes = 256 * 1024;
    checkNodeServesBeside(
            clients,
            {postHead("Content-Length: 1000\r\n" + live::smallFields(headerBytes - 200)), "",
             false},
            headerBytes);
}

// Guards against heads that fit one by one, but not on all connections together.
TEST_CASE("on the platform heads of many small fields on all connections fit the memory")
{
    checkNodeServesBeside(
            1000, {postHead("Content-Length: 1000\r\n" + live::smallFields(16000)), "", false});
}
