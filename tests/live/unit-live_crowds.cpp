#include "crowd.hpp"
#include "platform_fleet.hpp"
#include "raw_worker.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>

// Crowds of several kinds beside each other, or of clients that come and go.
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t largeAnswerBytes = 200'000;

std::string head(const std::string &requestLine, const std::string &fields)
{
    return requestLine + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: crowd\r\n" + fields
           + "\r\n";
}

std::string answer(const live::RawWorker::Request &request)
{
    if (request.body == "silent")
        return {};
    return live::makeAnswer(request,
                            std::string(request.body == "large" ? largeAnswerBytes : 2, 'x'));
}

// A node on the smallest machine with a worker that answers as the body of the request asks.
struct CrowdedNode
{
    CrowdedNode() : worker(answer)
    {
        this->fleet.memoryMegabytes = live::smallestMachineMegabytes;
        REQUIRE(this->fleet.writeRow("op", "config", live::makeRoutingTable(3)));
        this->fleet.addWorker("orders-1", "orders", this->worker.address());
        this->fleet.startNode("node-a");
        REQUIRE(this->fleet.waitUntilReady());
    }

    [[nodiscard]] const std::string &address() const
    {
        return this->fleet.addresses.at("node-a/callers");
    }

    // Clients try again, each time on a new connection.
    bool serves()
    {
        return this->fleet.waitFor([this] {
            return this->fleet.call("node-a", "POST", "/lookup/1", "ordinary", "x").status == 200;
        });
    }

    void checkIsSound()
    {
        CHECK(this->serves());
        const pid_t process = this->fleet.process("node-a").id();
        const std::size_t peak = live::peakMegabytes(process);
        const std::size_t descriptors = live::openDescriptors(process);
        MESSAGE("peak of the resident memory: " << peak << " MB, descriptors: " << descriptors);
        CHECK(peak > 0);
        CHECK(peak < live::smallestMachineMegabytes);
        CHECK(descriptors < live::smallestMachineDescriptors);
        int status = 0;
        CHECK_FALSE(this->fleet.process("node-a").hasEnded(status));
    }

    live::PlatformFleet fleet;
    live::RawWorker worker;
};

std::string makeCrowdedBatch(int number)
{
    constexpr std::size_t submissionBytes = 639'000;
    std::string items;
    for (int i = 0; items.size() < submissionBytes; ++i)
        items += fmt::format(R"({}{{"id":"{}-{}","path":"/samples/r"}})", i == 0 ? "" : ",", number,
                             i);
    return fmt::format(R"({{"step":1,"model":"m{}","min_version":1,"desired":1,"requests":[{}]}})",
                       number, items);
}

} // namespace

// Guards against limits that hold one by one, but not together.
TEST_CASE("on the platform crowds of all kinds together do not fill the node's memory")
{
    constexpr std::size_t clients = 150;
    constexpr int batches = 6;
    CrowdedNode node;
    REQUIRE(node.fleet.waitFor([&] {
        return node.fleet.call("node-a", "POST", "/samples/1", "first", live::makeBatch("first"))
                       .status
               == 202;
    }));
    const live::HoldingCrowd heads(
            node.address(), clients,
            {head("POST /lookup/1", "Content-Length: 1000\r\n" + live::smallFields(16'000)), "",
             true});
    const live::HoldingCrowd bodies(
            node.address(), clients,
            {head("POST /lookup/1", "Content-Length: 1000000\r\n") + std::string(300'000, 'x'), "x",
             true});
    const live::HoldingCrowd unread(node.address(), clients,
                                    {head("POST /lookup/1", "Content-Length: 5\r\n") + "large",
                                     head("POST /lookup/1", "Content-Length: 5\r\n") + "large",
                                     true});
    const live::HoldingCrowd trailers(
            node.address(), clients,
            {head("POST /lookup/1", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n",
             "X-Filler: " + std::string(1000, 'x') + "\r\n", true});
    const live::HoldingCrowd readers(
            node.address(), clients,
            {head("GET /-/lots/first?after=0", "X-Wait-Ms: 60000\r\n"), "", true});
    for (int i = 0; i < batches; ++i)
        node.fleet.call("node-a", "POST", "/samples/1", fmt::format("crowd-{}", i),
                        makeCrowdedBatch(i));
    node.checkIsSound();
}

// Guards against connections that are held by answers which nobody reads.
TEST_CASE("on the platform clients that read no large answers do not hold all connections")
{
    constexpr std::size_t allConnections = 1100;
    CrowdedNode node;
    const std::string request = head("POST /lookup/1", "Content-Length: 5\r\n") + "large";
    const live::HoldingCrowd crowd(node.address(), allConnections, {request, request, true});
    node.checkIsSound();
}

// Guards against attempts beside each other that take several connections for each one of a client.
TEST_CASE("on the platform hedged requests of all connections stay within the descriptors")
{
    constexpr std::size_t allConnections = 1100;
    constexpr auto observed = std::chrono::seconds(4);
    CrowdedNode node;
    for (const char *name : {"orders-2", "orders-3"})
        node.fleet.addWorker(name, "orders", node.worker.address());
    const std::string request = head("POST /lookup/1", "Content-Length: 6\r\n") + "silent";
    const live::HoldingCrowd crowd(node.address(), allConnections, {request, "", true});
    const pid_t process = node.fleet.process("node-a").id();
    std::size_t most = 0;
    const auto end = std::chrono::steady_clock::now() + observed;
    CHECK(node.fleet.waitFor([&] {
        most = std::max(most, live::openDescriptors(process));
        return std::chrono::steady_clock::now() > end;
    }));
    MESSAGE("most descriptors: " << most);
    CHECK(most < live::smallestMachineDescriptors);
    node.checkIsSound();
}

// Guards against what is left of clients that send a request and reset the connection.
TEST_CASE("on the platform clients that reset their connections leave nothing behind")
{
    constexpr int cycles = 3000;
    CrowdedNode node;
    asio::io_context io;
    const std::string request = head("POST /lookup/1", "Content-Length: 6\r\n") + "silent";
    const std::size_t colon = node.address().rfind(':');
    const Tcp::endpoint endpoint(
            asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::stoul(node.address().substr(colon + 1))));
    for (int i = 0; i < cycles; ++i) {
        Tcp::socket socket(io);
        boost::system::error_code ignored;
        socket.connect(endpoint, ignored);
        asio::write(socket, asio::buffer(request.data(), i % 3 == 0 ? 40 : request.size()),
                    ignored);
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
    const pid_t process = node.fleet.process("node-a").id();
    constexpr std::size_t restingDescriptors = 200;
    CHECK(node.fleet.waitFor(
            [process] { return live::openDescriptors(process) < restingDescriptors; }));
    node.checkIsSound();
}
