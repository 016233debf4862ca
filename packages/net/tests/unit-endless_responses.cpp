#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/runtime/clock.hpp>

// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <future>
#include <string>
#include <thread>

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
