#include "platform_fleet.hpp"
#include "raw_server.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <boost/asio.hpp>

#include <atomic>

namespace {

namespace asio = boost::asio;
using geraniumpulley::net::test::RawServer;

const std::string wholeResponse = "HTTP/1.1 200 OK\r\n"
                                  "X-Attempt-Id: a\r\n"
                                  "X-Server-Stamp: stamp\r\n"
                                  "Content-Length: 4\r\n"
                                  "\r\n"
                                  "abcd";
const std::string streamHead = "HTTP/1.1 200 OK\r\n"
                               "X-Attempt-Id: a\r\n"
                               "X-Server-Stamp: stamp\r\n"
                               "X-Weight-Versions: 1\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n"
                               "\r\n";
const std::string lastChunk = "0\r\n\r\n";
constexpr const char *failureText = "text of a failure";

std::string makeChunk(const std::string &data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string makeFailure(const std::string &status)
{
    return fmt::format("HTTP/1.1 {}\r\nX-Attempt-Id: a\r\nX-Server-Stamp: stamp\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       status, std::string(failureText).size(), failureText);
}

// One node whose targets are rows that all name the same server of a test.
struct BrokenTargets
{
    explicit BrokenTargets(RawServer::Responder responder) : server(std::move(responder))
    {
        REQUIRE(this->fleet.writeRow("op", "config", live::makeRoutingTable(3)));
        this->addTarget("plain-1", "orders", "");
        for (const char *name : {"engine-1", "engine-2"})
            this->addTarget(name, "engines", R"("models":[{"name":"m","version":1}],)");
        this->fleet.startNode("node-a");
        REQUIRE(this->fleet.waitUntilReady());
    }

    void addTarget(const std::string &id, const std::string &service, const std::string &models)
    {
        REQUIRE(this->fleet.writeRow(
                "servers", id,
                fmt::format(R"({{"service":"{}","address":"{}","zone":"zone","version":"v1",)"
                            R"("slots":8,"state":"ready",{}"sequence":0,"born":1}})",
                            service, this->server.address(), models)));
    }

    // Returns all bytes that a client reads until the node closes the connection.
    std::string request(const std::string &path)
    {
        const std::string &address = this->fleet.addresses.at("node-a/callers");
        const std::size_t colon = address.find(':');
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect({asio::ip::make_address(address.substr(0, colon)),
                        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
        asio::write(socket, asio::buffer(fmt::format("POST {} HTTP/1.1\r\nHost: site.example\r\n"
                                                     "X-Attempt-Id: a\r\nContent-Length: 0\r\n"
                                                     "Connection: close\r\n\r\n",
                                                     path)));
        std::string received;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(received), error);
        return received;
    }

    live::PlatformFleet fleet;
    RawServer server;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// A worker that stops within the head of its answer must not look like one with an empty body.
TEST_CASE("on the platform an answer that is cut at any byte reaches the client as a failure")
{
    std::atomic<std::size_t> size = 0;
    std::atomic<bool> isInterim = false;
    BrokenTargets targets([&](const std::string &) {
        return (isInterim ? std::string("HTTP/1.1 103 Early Hints\r\n\r\n") : std::string())
               + wholeResponse.substr(0, size);
    });
    std::size_t requests = 0;
    for (const bool interim : {false, true}) {
        isInterim = interim;
        for (size = 0; size < wholeResponse.size(); ++size) {
            CAPTURE(interim);
            CAPTURE(size.load());
            const std::string received = targets.request("/book/1");
            ++requests;
            CHECK(received.starts_with("HTTP/1.1 502 "));
            CHECK_FALSE(contains(received, "stamp"));
            CHECK_FALSE(contains(received, "abc"));
        }
        const std::string received = targets.request("/book/1");
        ++requests;
        CHECK(received.starts_with("HTTP/1.1 200 "));
        CHECK(contains(received, "abcd"));
    }
    CHECK(targets.server.requestCount() == requests);
}

TEST_CASE("on the platform a stream that broke off takes no byte of another target's answer")
{
    const std::vector<std::string> answers = {
            makeFailure("400 Bad Request"),
            makeFailure("404 Not Found"),
            makeFailure("422 Unprocessable Entity"),
            makeFailure("500 Internal Server Error"),
            makeFailure("503 Service Unavailable"),
            makeFailure("200 OK"),
            makeFailure("500 Internal Server Error").substr(0, 40),
            streamHead + makeChunk("id: 3\ndata: " + std::string(failureText) + "\n\n") + lastChunk,
            streamHead + makeChunk("data: " + std::string(failureText) + "\n\n") + lastChunk};
    std::atomic<std::size_t> answer = 0;
    BrokenTargets targets([&](const std::string &head) {
        const bool isResumed = contains(head, "Last-Event-Id");
        return isResumed ? answers[answer] : streamHead + makeChunk("id: 1\ndata: begun\n\n");
    });
    for (answer = 0; answer < answers.size(); ++answer) {
        CAPTURE(answers[answer]);
        const std::size_t before = targets.server.requestCount();
        const std::string received = targets.request("/chat/1");
        CHECK(targets.server.requestCount() > before + 1);
        CHECK(received.starts_with("HTTP/1.1 200 "));
        CHECK(contains(received, "id: 1\ndata: begun\n\n"));
        CHECK_FALSE(contains(received, failureText));
        CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK_FALSE(received.ends_with(lastChunk));
    }
}

TEST_CASE("on the platform a stream that broke off is whole once another target goes on with it")
{
    BrokenTargets targets([](const std::string &head) {
        const bool isResumed = contains(head, "Last-Event-Id: 1\r\n");
        return isResumed ? streamHead + makeChunk("id: 2\ndata: rest\n\n") + lastChunk
                         : streamHead + makeChunk("id: 1\ndata: begun\n\n");
    });
    const std::string received = targets.request("/chat/1");
    CHECK(contains(received, "id: 1\ndata: begun\n\n"));
    CHECK(contains(received, "id: 2\ndata: rest\n\n"));
    CHECK(received.ends_with(lastChunk));
}
