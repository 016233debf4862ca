// Boost 1.74's asio.hpp uses std::exchange without including <utility>.
#include <utility>

#include <geraniumpulley/net/http_server.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <future>

using namespace geraniumpulley;
using net::ResponsePart;
using Tcp = boost::asio::ip::tcp;

namespace {

struct Outcome
{
    std::string received; ///< All bytes up to the end of the connection.
    std::uint64_t misplaced = 0;
};

// Sends one request and returns what the client reads when the server responds with these parts.
Outcome respondWith(const std::vector<ResponsePart> &parts)
{
    std::promise<core::ReplyToken> requestToken;
    auto server = std::move(net::HttpServer::create({}, [&](net::ServerRequest &&request) {
                                requestToken.set_value(request.token);
                                return true;
                            }).value());
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->port()});
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    const core::ReplyToken token = requestToken.get_future().get();
    for (const ResponsePart part : parts) {
        net::ServerResponse response;
        response.token = token;
        response.part = part;
        response.status = part == ResponsePart::Whole ? 502 : 200;
        response.body = part == ResponsePart::Whole ? "failure" : "event";
        server->respond(std::move(response));
    }
    Outcome outcome;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(outcome.received), error);
    outcome.misplaced = server->misplacedResponseCount();
    return outcome;
}

bool contains(const Outcome &outcome, const std::string &text)
{
    return outcome.received.find(text) != std::string::npos;
}

const std::string lastChunk = "0\r\n\r\n";

} // namespace

TEST_CASE("a whole response behind the first part of another closes the connection")
{
    for (const ResponsePart second : {ResponsePart::Whole, ResponsePart::First}) {
        const Outcome outcome = respondWith({ResponsePart::First, second});
        CHECK(outcome.misplaced == 1);
        CHECK_FALSE(contains(outcome, "502"));
        CHECK_FALSE(contains(outcome, "failure"));
        CHECK_FALSE(contains(outcome, lastChunk));
    }
}

TEST_CASE("a part without a first part closes the connection")
{
    for (const ResponsePart part : {ResponsePart::More, ResponsePart::Last}) {
        const Outcome outcome = respondWith({part});
        CHECK(outcome.misplaced == 1);
        CHECK(outcome.received.empty());
    }
}

TEST_CASE("parts in order are no misplaced responses")
{
    const Outcome outcome =
            respondWith({ResponsePart::First, ResponsePart::More, ResponsePart::Last});
    CHECK(outcome.misplaced == 0);
    CHECK(contains(outcome, lastChunk));
}
