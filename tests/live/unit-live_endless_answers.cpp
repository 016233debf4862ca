// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include "crowd.hpp"
#include "platform_fleet.hpp"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// A worker that answers each request with a beginning and then the same bytes, until the connection
// is closed.
class EndlessWorker
{
public:
    EndlessWorker(std::string beginning, std::string repeated)
        : beginning(std::move(beginning)), repeated(std::move(repeated)),
          acceptor(this->io, {asio::ip::make_address("127.0.0.1"), 0}),
          boundPort(this->acceptor.local_endpoint().port()), thread([this] { this->accept(); })
    {
    }

    ~EndlessWorker()
    {
        this->stopping = true;
        boost::system::error_code ignored;
        Tcp::socket waker(this->io);
        waker.connect({asio::ip::make_address("127.0.0.1"), this->boundPort}, ignored);
        this->thread.join();
        for (std::thread &writer : this->writers)
            writer.join();
    }

    EndlessWorker(const EndlessWorker &) = delete;
    EndlessWorker &operator=(const EndlessWorker &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->boundPort);
    }

private:
    void accept()
    {
        while (true) {
            boost::system::error_code error;
            Tcp::socket socket(this->io);
            this->acceptor.accept(socket, error);
            if (this->stopping || error)
                return;
            this->writers.emplace_back(
                    [this, connection = std::move(socket)]() mutable { this->write(connection); });
        }
    }

    void write(Tcp::socket &connection) const
    {
        std::string request;
        boost::system::error_code error;
        asio::read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(connection, asio::buffer(this->beginning), error);
        while (!error && !this->stopping)
            asio::write(connection, asio::buffer(this->repeated), error);
    }

    const std::string beginning;
    const std::string repeated;
    asio::io_context io;
    Tcp::acceptor acceptor;
    std::uint16_t boundPort;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> writers;
    std::thread thread;
};

std::string makeRoutingTable()
{
    std::string table = live::makeRoutingTable(3);
    const std::string chat = R"({"name":"chat")";
    table.insert(table.find(chat),
                 R"({"name":"sound","host":"site.example","path_prefix":"/sound/","kind":"safe",)"
                 R"("timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"sound",)"
                 R"("max_attempts":3},)");
    const std::string orders = R"({"name":"orders","max_conns")";
    table.insert(table.find(orders), R"({"name":"sound","max_conns":96},)");
    return table;
}

} // namespace

// Guards against a node that runs out of memory, and takes the requests of others with it, because
// a faulty worker sends bytes without end.
TEST_CASE("on the platform a worker that sends bytes without end does not fill the node's memory")
{
    constexpr int endlessCalls = 60;
    constexpr int soundCalls = 20;
    // The smallest machine of the users' deployments has 160 MB.
    constexpr std::size_t maxMegabytes = 160;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\n";
    const std::vector<std::pair<std::string, std::string>> answers{
            {head + "\r\n", std::string(64 * 1024, 'x')},
            {head, "X-Filler: " + std::string(8000, 'x') + "\r\n"},
            {head + "Content-Length: 900000000\r\n\r\n", std::string(64 * 1024, 'x')}};
    for (const auto &answer : answers) {
        CAPTURE(answer.first);
        const EndlessWorker endless(answer.first, answer.second);
        live::PlatformFleet fleet;
        REQUIRE(fleet.writeRow("op", "config", makeRoutingTable()));
        REQUIRE(fleet.writeRow(
                "servers", "endless-1",
                fmt::format(R"({{"service":"orders","address":"{}","zone":"zone","version":"v1",)"
                            R"("slots":8,"state":"ready","sequence":0,"born":1}})",
                            endless.address())));
        fleet.startWorker("sound-1", "sound", "");
        fleet.startNode("node-a");
        REQUIRE(fleet.waitUntilReady());

        std::vector<std::thread> clients;
        clients.reserve(endlessCalls);
        std::atomic<int> served = 0;
        for (int i = 0; i < endlessCalls; ++i) {
            clients.emplace_back([&fleet, &served, i] {
                const auto reply = fleet.call("node-a", "POST", "/lookup/1", fmt::format("e-{}", i),
                                              "x", {{"X-Deadline-Ms", "2000"}});
                served += reply.status < 500 ? 1 : 0;
            });
        }
        for (int i = 0; i < soundCalls; ++i)
            CHECK(fleet.call("node-a", "POST", "/sound/1", fmt::format("s-{}", i), "x").status
                  == 200);
        for (std::thread &client : clients)
            client.join();
        CHECK(served == 0);
        const std::size_t peak = live::peakMegabytes(fleet.process("node-a").id());
        CAPTURE(peak);
        CHECK(peak > 0);
        CHECK(peak < maxMegabytes);
        int status = 0;
        CHECK_FALSE(fleet.process("node-a").hasEnded(status));
    }
}
