// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include "crowd.hpp"
#include "platform_fleet.hpp"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <list>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// The crowd and the bounds. The smallest machine of the users' deployments has 120 MB.
constexpr int crowdSize = 24;
constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t maxMegabytes = 120;
constexpr std::size_t maxDescriptors = crowdSize + 64;

std::string makeRoutingTable()
{
    std::string table = live::makeRoutingTable(3);
    const std::string limit = R"("max_body_bytes":1048576)";
    table.replace(table.find(limit), limit.size(),
                  fmt::format(R"("max_body_bytes":{})", maxBodyBytes));
    return table;
}

// What each client of a crowd sends: a beginning, then the same bytes until `totalBytes` are sent
// or the node closes the connection. It reads nothing and stays connected.
struct Pattern
{
    std::string beginning;
    std::string repeated;
    std::size_t totalBytes = maxBodyBytes + 64 * 1024;
};

class Crowd
{
public:
    Crowd(const std::string &address, const Pattern &pattern)
    {
        const std::size_t colon = address.rfind(':');
        const Tcp::endpoint node(asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        for (int i = 0; i < crowdSize; ++i) {
            Tcp::socket &socket = this->sockets.emplace_back(this->io);
            socket.connect(node);
            // A node that does not read must not block the test.
            const timeval writeTimeout{3, 0};
            setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &writeTimeout,
                       sizeof(writeTimeout));
        }
        for (Tcp::socket &socket : this->sockets)
            this->writers.emplace_back([&socket, &pattern] { write(socket, pattern); });
        for (std::thread &writer : this->writers)
            writer.join();
    }

private:
    static void write(Tcp::socket &socket, const Pattern &pattern)
    {
        boost::system::error_code error;
        asio::write(socket, asio::buffer(pattern.beginning), error);
        for (std::size_t sent = 0; !error && sent < pattern.totalBytes;
             sent += pattern.repeated.size())
            asio::write(socket, asio::buffer(pattern.repeated), error);
    }

    asio::io_context io;
    std::list<Tcp::socket> sockets;
    std::vector<std::thread> writers;
};

void checkNodeOutlives(const Pattern &pattern)
{
    live::PlatformFleet fleet;
    REQUIRE(fleet.writeRow("op", "config", makeRoutingTable()));
    fleet.startWorker("orders-1", "orders", "");
    fleet.startNode("node-a");
    REQUIRE(fleet.waitUntilReady());
    const live::ChildProcess &node = fleet.process("node-a");

    const Crowd crowd(fleet.addresses.at("node-a/callers"), pattern);
    const std::size_t descriptors = live::openDescriptors(node.id());
    CHECK(fleet.call("node-a", "POST", "/lookup/1", "ordinary", "x").status == 200);
    const std::size_t peak = live::peakMegabytes(node.id());
    MESSAGE("peak of the resident memory: " << peak << " MB, descriptors: " << descriptors);
    CHECK(peak > 0);
    CHECK(peak < maxMegabytes);
    CHECK(descriptors < maxDescriptors);
    int status = 0;
    CHECK_FALSE(fleet.process("node-a").hasEnded(status));
}

std::string postHead(const std::string &framing)
{
    return "POST /lookup/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: crowd\r\n" + framing
           + "\r\n";
}

const std::string chunkedHead = postHead("Transfer-Encoding: chunked\r\n");

} // namespace

// Guards against a node that keeps trailers up to the limit of a body for each connection, and runs
// out of memory with a few connections.
TEST_CASE("on the platform clients that send trailers without end do not fill the node's memory")
{
    checkNodeOutlives(
            {chunkedHead + "1\r\nx\r\n0\r\n", "X-Filler: " + std::string(8000, 'x') + "\r\n"});
}

// Guards against the same fault in the extension of a chunk.
TEST_CASE("on the platform clients that send chunk extensions without end do not fill the memory")
{
    checkNodeOutlives({chunkedHead + "1;", std::string(8000, 'x')});
}

// Guards against heads that are kept beyond their limit.
TEST_CASE("on the platform clients that send heads without end do not fill the node's memory")
{
    checkNodeOutlives({"POST /lookup/1 HTTP/1.1\r\nHost: site.example\r\n",
                       "X-Filler: " + std::string(8000, 'x') + "\r\n"});
}

// Guards against incomplete bodies whose sum exceeds the memory, though each is within its limit.
TEST_CASE("on the platform clients that send bodies without end do not fill the node's memory")
{
    const std::string chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
    checkNodeOutlives({chunkedHead, chunk});
    checkNodeOutlives({postHead(fmt::format("Content-Length: {}\r\n", maxBodyBytes)),
                       std::string(8000, 'x'), maxBodyBytes / 2});
}

// Guards against answers that pile up for clients that read none.
TEST_CASE("on the platform clients that read no answers do not fill the node's memory")
{
    const std::string request =
            postHead(fmt::format("Content-Length: {}\r\n", 8000)) + std::string(8000, 'x');
    checkNodeOutlives({"", request});
}
