#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/runtime/clock.hpp>

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t megabyte = 1024 * 1024;
// What the sockets of both ends may hold beside what the client reads.
constexpr std::size_t maxSocketBytes = 16 * megabyte;

// Answers one request with a beginning and then the same bytes again, until the client gives up.
// Returns the bytes written, at most `giveUpBytes`.
std::size_t serveEndlessly(Tcp::acceptor &acceptor, const std::string &beginning,
                           const std::string &repeated, std::size_t giveUpBytes)
{
    Tcp::socket socket = acceptor.accept();
    std::string request;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(beginning), error);
    std::size_t written = 0;
    while (!error && written < giveUpBytes)
        written += boost::asio::write(socket, boost::asio::buffer(repeated), error);
    return written;
}

struct Outcome
{
    net::HttpResult result;
    std::size_t written = 0;
};

Outcome requestEndless(const std::string &beginning, const std::string &repeated)
{
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    auto written = std::async(std::launch::async, [&] {
        return serveEndlessly(acceptor, beginning, repeated, 64 * megabyte);
    });
    auto client = std::move(net::HttpClient::create({}).value());
    std::promise<net::HttpResult> done;
    net::HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.method = "GET";
    request.target = "/";
    request.deadline = runtime::now() + 30s;
    request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
    client->send(std::move(request));
    Outcome outcome;
    outcome.result = done.get_future().get();
    outcome.written = written.get();
    return outcome;
}

// Sends a request and returns the server's side of its connection.
Tcp::socket sendRequest(net::HttpClient &client, Tcp::acceptor &acceptor,
                        std::function<void(net::HttpResult &&)> done)
{
    net::HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.method = "GET";
    request.target = "/";
    request.deadline = runtime::now() + 30s;
    request.done = std::move(done);
    client.send(std::move(request));
    return acceptor.accept();
}

} // namespace

TEST_CASE("a response whose head does not end is given up at the limit of heads")
{
    const Outcome outcome =
            requestEndless("HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(8000, 'x') + "\r\n");
    CHECK(outcome.result.failure == net::SendFailure::AnswerLost);
    CHECK(outcome.written < maxSocketBytes);
}

TEST_CASE("a response whose body does not end is given up at the limit of bodies")
{
    const Outcome outcome = requestEndless("HTTP/1.1 200 OK\r\n\r\n", std::string(8000, 'x'));
    CHECK(outcome.result.failure == net::SendFailure::AnswerLost);
    CHECK(outcome.written < maxSocketBytes + net::HttpClientSettings{}.maxBodyBytes);
}

// Guards against a node that runs out of memory because many requests meet a server that sends
// bytes without end.
TEST_CASE("endless responses to many requests are given up before they take too much together")
{
    constexpr std::size_t requestCount = 24;
    constexpr std::size_t sentBytes = megabyte / 2;
    net::HttpClientSettings settings;
    settings.maxBufferedBytes = 4 * megabyte;
    constexpr std::size_t minGivenUp = requestCount - 4 * megabyte / sentBytes;
    std::atomic<std::size_t> givenUp = 0;
    auto client = std::move(net::HttpClient::create(settings).value());
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::vector<Tcp::socket> sockets;
    const std::string beginning = "HTTP/1.1 200 OK\r\n\r\n" + std::string(sentBytes, 'x');
    for (std::size_t i = 0; i < requestCount; ++i) {
        sockets.push_back(sendRequest(*client, acceptor, [&](net::HttpResult &&result) {
            givenUp += result.exceedsMemory ? 1 : 0;
            givenUp.notify_one();
        }));
        boost::system::error_code error;
        boost::asio::write(sockets.back(), boost::asio::buffer(beginning), error);
    }
    for (std::size_t count = givenUp; count < minGivenUp; count = givenUp)
        givenUp.wait(count);
    CHECK(client->oversizedResponseCount() >= minGivenUp);
    client->stop();
}

TEST_CASE("when responses take too much together, the largest one is given up and the others are "
          "whole")
{
    net::HttpClientSettings settings;
    settings.maxBufferedBytes = 2 * megabyte;
    std::promise<net::HttpResult> soundResult;
    std::promise<net::HttpResult> endlessResult;
    const auto setter = [](std::promise<net::HttpResult> &promise) {
        return [&promise](net::HttpResult &&result) { promise.set_value(std::move(result)); };
    };
    auto client = std::move(net::HttpClient::create(settings).value());
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    Tcp::socket sound = sendRequest(*client, acceptor, setter(soundResult));
    const std::string body(megabyte, 'y');
    boost::asio::write(sound, boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: "
                                                  + std::to_string(body.size()) + "\r\n\r\n"));
    boost::asio::write(sound, boost::asio::buffer(body.substr(0, body.size() / 2)));
    Tcp::socket endless = sendRequest(*client, acceptor, setter(endlessResult));
    boost::system::error_code error;
    boost::asio::write(endless, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")), error);
    while (!error)
        boost::asio::write(endless, boost::asio::buffer(body), error);
    CHECK(endlessResult.get_future().get().exceedsMemory);
    boost::asio::write(sound, boost::asio::buffer(body.substr(body.size() / 2)));
    const net::HttpResult whole = soundResult.get_future().get();
    CHECK(whole.failure == net::SendFailure::None);
    CHECK(whole.body == body);
}
