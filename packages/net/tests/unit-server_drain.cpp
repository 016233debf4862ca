// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <geraniumpulley/net/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <latch>
#include <thread>
#include <vector>

using namespace geraniumpulley;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// A server whose thread waits in the handler of the first request until it is released, and that
// then responds to every request.
struct HeldServer
{
    HeldServer()
    {
        this->server =
                std::move(net::HttpServer::create({}, [this](net::ServerRequest &&received) {
                              if (this->requests++ == 0) {
                                  this->isHeld.set_value();
                                  this->release.get_future().wait();
                              }
                              this->server->respond({received.token, 200, "", {}, "whole", false});
                              return true;
                          }).value());
    }

    [[nodiscard]] Tcp::socket connect()
    {
        Tcp::socket socket(this->io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), this->server->port()});
        return socket;
    }

    boost::asio::io_context io;
    std::promise<void> isHeld;
    std::promise<void> release;
    std::atomic<int> requests = 0;
    std::unique_ptr<net::HttpServer> server;
};

std::string readToEnd(Tcp::socket &socket)
{
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    return received;
}

} // namespace

TEST_CASE("a request that reached the server before it stops is answered")
{
    HeldServer held;
    Tcp::socket first = held.connect();
    Tcp::socket second = held.connect();
    boost::asio::write(first, boost::asio::buffer(request));
    held.isHeld.get_future().wait();
    boost::asio::write(second, boost::asio::buffer(request));
    Tcp::socket queued = held.connect(); // Not accepted yet, as the server's thread is held.
    boost::asio::write(queued, boost::asio::buffer(request));
    held.server->disableKeepAlive();
    auto isDrained = std::async(std::launch::async, [&] { return held.server->drain(10s); });
    held.release.set_value();
    CHECK(isDrained.get());
    held.server->stop();
    for (Tcp::socket *socket : {&first, &second, &queued})
        CHECK(readToEnd(*socket).find("whole") != std::string::npos);
}

TEST_CASE("after a drain no request is accepted that would stay without an answer")
{
    HeldServer held;
    held.release.set_value();
    Tcp::socket idle = held.connect();
    boost::asio::write(idle, boost::asio::buffer(request));
    std::string response;
    boost::asio::read_until(idle, boost::asio::dynamic_buffer(response), "whole");
    CHECK(held.server->drain(10s));
    boost::system::error_code error;
    boost::asio::write(idle, boost::asio::buffer(request), error);
    CHECK(readToEnd(idle).empty());
    CHECK(held.requests == 1);
    Tcp::socket late(held.io);
    late.connect({boost::asio::ip::make_address("127.0.0.1"), held.server->port()}, error);
    CHECK(error);
}

TEST_CASE("a drain waits no longer than its timeout for a request that does not arrive whole")
{
    HeldServer held;
    held.release.set_value();
    Tcp::socket slow = held.connect();
    boost::asio::write(slow, boost::asio::buffer(request.substr(0, 10)));
    Tcp::socket other = held.connect();
    boost::asio::write(other, boost::asio::buffer(request));
    std::string response;
    boost::asio::read_until(other, boost::asio::dynamic_buffer(response), "whole");
    // The request that did not arrive whole was not accepted, so no answer is owed.
    CHECK(held.server->drain(100ms));
    CHECK(held.requests == 1);
}

TEST_CASE("property: while a server drains under load, every request is answered or never accepted")
{
    constexpr int clientCount = 8;
    constexpr int warmUpAnswers = 20;
    std::atomic<int> accepted = 0;
    std::unique_ptr<net::HttpServer> server;
    server = std::move(net::HttpServer::create({}, [&](net::ServerRequest &&received) {
                           ++accepted;
                           server->respond({received.token, 200, "", {}, "whole", false});
                           return true;
                       }).value());
    const std::uint16_t port = server->port();
    std::atomic<int> answered = 0;
    std::latch isLoaded(clientCount * warmUpAnswers);
    std::vector<std::thread> clients;
    clients.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, port] {
            boost::asio::io_context io;
            boost::system::error_code error;
            int own = 0;
            while (!error) {
                Tcp::socket socket(io);
                socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
                if (error)
                    return;
                boost::system::error_code closed;
                while (!closed) {
                    boost::asio::write(socket, boost::asio::buffer(request), closed);
                    std::string response;
                    boost::asio::read_until(socket, boost::asio::dynamic_buffer(response), "whole",
                                            closed);
                    answered += closed ? 0 : 1;
                    if (!closed && own++ < warmUpAnswers)
                        isLoaded.count_down();
                }
            }
        });
    }
    isLoaded.wait();
    CHECK(server->drain(10s));
    server->stop();
    for (std::thread &client : clients)
        client.join();
    CHECK(answered == accepted);
}
