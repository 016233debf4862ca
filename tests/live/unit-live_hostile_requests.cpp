#include "crowd.hpp"
#include "platform_fleet.hpp"
#include "raw_worker.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include <sys/socket.h>
#include <sys/time.h>

// Single requests that end or confuse a node.
namespace {

namespace asio = boost::asio;

std::string lookupHead(const std::string &method, const std::string &fields)
{
    return method + " /lookup/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: hostile\r\n"
           + fields + "\r\n";
}

// Sends bytes, then reads until the node closes the connection.
std::string sendAndRead(const std::string &address, const std::string &bytes)
{
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))},
                   error);
    // A node that keeps the connection open must not block the test.
    const timeval readTimeout{3, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &readTimeout, sizeof(readTimeout));
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

struct OneNode
{
    explicit OneNode(const std::string &table = live::makeRoutingTable(3))
    {
        REQUIRE(this->fleet.writeRow("op", "config", table));
        this->fleet.startWorker("orders-1", "orders", "");
        this->fleet.startNode("node-a");
        REQUIRE(this->fleet.waitUntilReady());
    }

    std::string send(const std::string &bytes)
    {
        return sendAndRead(this->fleet.addresses.at("node-a/callers"), bytes);
    }

    void checkIsAlive()
    {
        CHECK(this->fleet.call("node-a", "POST", "/lookup/1", "ordinary", "x").status == 200);
        int status = 0;
        CHECK_FALSE(this->fleet.process("node-a").hasEnded(status));
    }

    live::PlatformFleet fleet;
};

} // namespace

// Guards against a request that the HTTP library throws at when it is passed on.
TEST_CASE("on the platform a TRACE with a body ends no node")
{
    OneNode node;
    node.send(lookupHead("TRACE", "Connection: close\r\nContent-Length: 5\r\n") + "hello");
    node.checkIsAlive();
}

// Guards against a field that the HTTP library throws at when it is parsed.
TEST_CASE("on the platform a header field over 64 KB ends no node")
{
    OneNode node(replaced(live::makeRoutingTable(3), R"("max_header_bytes":16384)",
                          R"("max_header_bytes":262144)"));
    node.send(
            lookupHead("GET", "Connection: close\r\nX-Long: " + std::string(70'000, 'x') + "\r\n"));
    node.checkIsAlive();
}

// Guards against the body of an answer to HEAD that the client reads as its next answer.
TEST_CASE("on the platform an answer to HEAD has no body")
{
    OneNode node;
    const std::string refused =
            node.send("HEAD /none HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n");
    CHECK(refused.starts_with("HTTP/1.1 404"));
    CHECK(refused.ends_with("\r\n\r\n"));
    const live::RawWorker worker([](const live::RawWorker::Request &request) {
        return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: stamp\r\n"
                           "Content-Length: 10\r\n\r\n",
                           request.header("X-Attempt-Id"));
    });
    live::PlatformFleet fleet;
    REQUIRE(fleet.writeRow("op", "config", live::makeRoutingTable(3)));
    fleet.addWorker("orders-1", "orders", worker.address());
    fleet.startNode("node-a");
    REQUIRE(fleet.waitUntilReady());
    const std::string served = sendAndRead(fleet.addresses.at("node-a/callers"),
                                           lookupHead("HEAD", "Connection: close\r\n"));
    CHECK(served.starts_with("HTTP/1.1 200"));
    CHECK(served.ends_with("\r\n\r\n"));
}

// Guards against requests that a target would read in another framing than this node.
TEST_CASE("on the platform requests with ambiguous framing are refused")
{
    OneNode node;
    const std::string smuggled = "POST /book/1 HTTP/1.1\r\nHost: site.example\r\n"
                                 "X-Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<std::string> requests{
            lookupHead("POST", "Transfer-Encoding: gzip\r\n") + smuggled,
            lookupHead("POST", "Transfer-Encoding: chunked, gzip\r\n") + smuggled,
            lookupHead("POST", chunked + "Content-Length: 5\r\n") + "0\r\n\r\n" + smuggled,
            lookupHead("POST", "Content-Length: 5\r\n" + chunked) + "0\r\n\r\n" + smuggled,
            lookupHead("POST", "Content-Length: 5\r\nContent-Length: 6\r\n") + "hello" + smuggled,
            lookupHead("POST", "Content-Length: -1\r\n") + smuggled,
            lookupHead("POST", "Content-Length: 99999999999999999999999\r\n") + smuggled,
            lookupHead("POST", "Content-Length : 5\r\n") + "hello" + smuggled,
            lookupHead("POST", "Host: other.example\r\nContent-Length: 5\r\n") + "hello" + smuggled,
            lookupHead("POST", "X-A: a\nX-B: b\r\n") + smuggled,
            lookupHead("POST", std::string("X-A: a\0b\r\n", 10)) + smuggled,
            lookupHead("POST", chunked) + "zz\r\nhello\r\n0\r\n\r\n" + smuggled,
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + smuggled,
            std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11) + smuggled,
    };
    for (const std::string &request : requests) {
        CAPTURE(request);
        const std::string answer = node.send(request);
        CHECK((answer.empty() || answer.starts_with("HTTP/1.1 4")));
        CHECK(answer.find("HTTP/1.1 ", 1) == std::string::npos);
    }
    CHECK(node.fleet.executedRequestIds("orders-1").find("smuggled") == std::string::npos);
    CHECK(node.fleet.executedRequestIds("orders-1").find("hostile") == std::string::npos);
    node.checkIsAlive();
}

// Guards against a line that a target reads as a field of its own.
TEST_CASE("on the platform a folded header line is passed on as one line")
{
    const live::RawWorker worker(
            [](const live::RawWorker::Request &request) { return live::makeAnswer(request); });
    live::PlatformFleet fleet;
    REQUIRE(fleet.writeRow("op", "config", live::makeRoutingTable(3)));
    fleet.addWorker("orders-1", "orders", worker.address());
    fleet.startNode("node-a");
    REQUIRE(fleet.waitUntilReady());
    const std::string answer = sendAndRead(
            fleet.addresses.at("node-a/callers"),
            lookupHead("GET", "Connection: close\r\nX-A: b\r\n\tContent-Length: 5\r\n"));
    CHECK((answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 400")));
    for (const std::string &head : worker.heads()) {
        CHECK(head.find("\r\n\t") == std::string::npos);
        CHECK(head.find("\r\n ") == std::string::npos);
        CHECK(head.find("\r\nContent-Length: 5") == std::string::npos);
    }
}

// Guards against long texts of clients in each line of the log.
TEST_CASE("on the platform no line of the log is as long as a head")
{
    constexpr std::size_t maxLineBytes = 2048;
    OneNode node;
    node.send(lookupHead("GET", "Connection: close\r\nX-Attempt-Id: " + std::string(12'000, 'x')
                                        + "\r\n"));
    node.send("GET /none HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\nX-Attempt-Id: "
              + std::string(12'000, '\xff') + "\r\n\r\n");
    node.checkIsAlive();
    for (const std::string &line : node.fleet.process("node-a").lines())
        CHECK(line.size() < maxLineBytes);
}

// Guards against a copy of the largest body for each attempt.
TEST_CASE("on the platform the largest body is served within the smallest machine")
{
    constexpr std::size_t maxBodyBytes = 32 * 1024 * 1024;
    const live::RawWorker silent([](const live::RawWorker::Request &) { return std::string(); });
    const live::RawWorker sound(
            [](const live::RawWorker::Request &request) { return live::makeAnswer(request); });
    live::PlatformFleet fleet;
    fleet.memoryMegabytes = live::smallestMachineMegabytes;
    std::string table = live::makeRoutingTable(3);
    table = replaced(table, R"("max_body_bytes":1048576)",
                     fmt::format(R"("max_body_bytes":{})", maxBodyBytes));
    table = replaced(table, R"("kind":"safe","timeout_ms":2000)",
                     R"("kind":"safe","timeout_ms":8000)");
    REQUIRE(fleet.writeRow("op", "config", table));
    fleet.addWorker("silent-1", "orders", silent.address());
    fleet.addWorker("silent-2", "orders", silent.address());
    fleet.addWorker("silent-3", "orders", silent.address());
    fleet.startNode("node-a");
    REQUIRE(fleet.waitUntilReady());
    const std::string body(maxBodyBytes, 'x');
    // Each attempt waits, so that the others are made beside it.
    CHECK(fleet.call("node-a", "POST", "/lookup/1", "unanswered", body).status >= 500);
    fleet.addWorker("sound-1", "orders", sound.address());
    CHECK(fleet.waitFor([&] {
        return fleet.call("node-a", "POST", "/lookup/1", "largest", body).status == 200;
    }));
    const std::size_t peak = live::peakMegabytes(fleet.process("node-a").id());
    MESSAGE("peak of the resident memory: " << peak << " MB");
    CHECK(peak > 0);
    CHECK(peak < live::smallestMachineMegabytes);
}
