// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <future>
#include <string>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr core::Duration readTimeout = 200ms;
constexpr int maxPieces = 100;

std::string chunk(const std::string &text)
{
    return "1\r\n" + text + "\r\n";
}

// Answers one request with a chunk of one byte in each period, at most `pieces` of them, until the
// client closes the connection. Returns the chunks written.
int serveSlowly(Tcp::acceptor &acceptor, const std::string &byte, int pieces, core::Duration period)
{
    Tcp::socket socket = acceptor.accept();
    std::string request;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
    boost::asio::write(
            socket,
            boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                            "Transfer-Encoding: chunked\r\n\r\n")),
            error);
    boost::asio::steady_timer timer(socket.get_executor());
    int written = 0;
    while (!error && written < pieces) {
        timer.expires_after(period);
        timer.wait();
        boost::asio::write(socket, boost::asio::buffer(chunk(byte)), error);
        ++written;
    }
    if (!error)
        boost::asio::write(socket, boost::asio::buffer(std::string("0\r\n\r\n")), error);
    return written;
}

struct Outcome
{
    net::HttpResult result;
    int written = 0;
};

// A byte "e" stands for an event, any other for bytes that complete nothing.
Outcome receiveSlowly(const std::string &byte, int pieces, core::Duration period)
{
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    auto written = std::async(std::launch::async,
                              [&] { return serveSlowly(acceptor, byte, pieces, period); });
    auto client = std::move(net::HttpClient::create({}).value());
    std::promise<net::HttpResult> done;
    net::HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.method = "GET";
    request.target = "/";
    request.deadline = runtime::now() + 30s;
    request.readTimeout = readTimeout;
    request.onBodyPart = [](std::string &&part) { return part.find('e') != std::string::npos; };
    request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
    client->send(std::move(request));
    Outcome outcome;
    outcome.result = done.get_future().get();
    client.reset();
    outcome.written = written.get();
    return outcome;
}

} // namespace

TEST_CASE("a slow stream goes on for many times its read timeout while events come")
{
    const Outcome outcome = receiveSlowly("e", 20, 40ms);
    CHECK(outcome.result.failure == net::SendFailure::None);
    CHECK(outcome.written == 20);
}

TEST_CASE("a stalled stream that sends a byte now and then is given up")
{
    const Outcome outcome = receiveSlowly(":", maxPieces, 40ms);
    CHECK(outcome.result.failure == net::SendFailure::AnswerLost);
    CHECK(outcome.written < maxPieces / 2);
}
