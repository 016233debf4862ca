// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <geraniumpulley/net/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <random>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

// A server that responds to each request with the body of the request.
struct EchoServer
{
    explicit EchoServer(const net::HttpServerSettings &settings = {})
    {
        this->server =
                std::move(net::HttpServer::create(settings, [this](net::ServerRequest &&request) {
                              net::ServerResponse response;
                              response.token = request.token;
                              response.body = std::move(request.body);
                              this->server->respond(std::move(response));
                              return true;
                          }).value());
    }

    // Sends bytes, then reads until the server closes the connection. `halfClose` shuts down the
    // sending direction after the bytes.
    std::string exchange(const std::string &bytes, bool halfClose = true) const
    {
        boost::asio::io_context io;
        Tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), this->server->port()});
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        if (halfClose)
            socket.shutdown(Tcp::socket::shutdown_send, error);
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
        return response;
    }

    std::unique_ptr<net::HttpServer> server;
};

std::string makePost(const std::string &headers, const std::string &body)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

} // namespace

TEST_CASE("the request id of the client is echoed in the response")
{
    const EchoServer server;
    const std::string response =
            server.exchange(makePost("X-Request-Id: r-17\r\nContent-Length: 2\r\n", "hi"), false);
    CHECK(response.find("X-Request-Id: r-17\r\n") != std::string::npos);
    CHECK(response.ends_with("hi"));
}

TEST_CASE("a body whose Content-Length is too large is refused before it is read")
{
    const EchoServer server;
    const std::string response =
            server.exchange(makePost("Content-Length: 300000000\r\n", ""), false);
    CHECK(response.starts_with("HTTP/1.1 413"));
    CHECK(response.find("body_too_large") != std::string::npos);
}

TEST_CASE("headers over the limit are refused")
{
    const EchoServer server;
    const std::string response =
            server.exchange(makePost("X: " + std::string(20'000, 'x') + "\r\n", ""));
    CHECK((response.empty() || response.starts_with("HTTP/1.1 431")));
}

TEST_CASE("the requests of all connections stay within the limit of the server")
{
    net::HttpServerSettings settings;
    settings.maxRequestBytes = 100'000;
    const EchoServer server(settings);
    const std::string refused = server.exchange(
            makePost("Content-Length: 100000\r\n", std::string(100'000, 'x')), false);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(server.server->memoryRefusalCount() == 1);
    // The bytes of a request are released after its response, so that any number of requests fits
    // one after the other.
    for (int i = 0; i < 20; ++i) {
        const std::string accepted = server.exchange(
                makePost("Content-Length: 50000\r\n", std::string(50'000, 'x')), false);
        CHECK(accepted.starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("the connection of an incomplete request is closed after the read timeout")
{
    net::HttpServerSettings settings;
    settings.readTimeout = 50ms;
    const EchoServer server(settings);
    CHECK(server.exchange("POST / HTTP/1.1\r\nHost:", false).empty());
}

TEST_CASE("randomly corrupted requests do not stop the server")
{
    const EchoServer server;
    const std::string valid = makePost("Content-Length: 5\r\nX-Request-Id: r\r\n", "hello");
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        std::string bytes = valid;
        for (std::size_t i = 0; i < 1 + random() % 8; ++i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        static_cast<void>(server.exchange(bytes));
    }
    CHECK(server.exchange(valid, false).starts_with("HTTP/1.1 200"));
}
