#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/net/http_server.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <doctest/doctest.h>

#include <future>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

struct ReceivedResponse
{
    net::HttpResult result;
    std::vector<std::string> parts;
};

// Sends a request to a server that responds with the given parts in order.
ReceivedResponse sendAndReceive(const std::vector<net::ServerResponse> &responseParts)
{
    std::unique_ptr<net::HttpServer> server;
    std::promise<core::ReplyToken> requestToken;
    server = std::move(net::HttpServer::create({}, [&requestToken](net::ServerRequest &&request) {
                           requestToken.set_value(request.token);
                           return true;
                       }).value());
    auto client = std::move(net::HttpClient::create({}).value());
    std::promise<net::HttpResult> done;
    ReceivedResponse received;
    net::HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(server->port());
    request.method = "POST";
    request.target = "/generate";
    request.deadline = runtime::now() + 10s;
    request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
    request.onBodyPart = [&received](std::string &&part) {
        received.parts.push_back(std::move(part));
        return true;
    };
    client->send(std::move(request));
    const core::ReplyToken token = requestToken.get_future().get();
    for (net::ServerResponse response : responseParts) {
        response.token = token;
        server->respond(std::move(response));
    }
    received.result = done.get_future().get();
    return received;
}

net::ServerResponse makePart(net::ResponsePart kind, std::string body)
{
    net::ServerResponse response;
    response.part = kind;
    response.body = std::move(body);
    return response;
}

std::string join(const std::vector<std::string> &parts)
{
    std::string joined;
    for (const std::string &text : parts)
        joined += text;
    return joined;
}

} // namespace

TEST_CASE("the parts of a response arrive in order and the request completes")
{
    const ReceivedResponse received = sendAndReceive({makePart(net::ResponsePart::First, "a"),
                                                      makePart(net::ResponsePart::More, "b"),
                                                      makePart(net::ResponsePart::Last, "c")});
    CHECK(received.result.failure == net::SendFailure::None);
    CHECK(received.result.status == 200);
    CHECK(join(received.parts) == "abc");
}

TEST_CASE("an aborted response is reported as lost after its first parts were delivered")
{
    net::ServerResponse abortPart = makePart(net::ResponsePart::More, "");
    abortPart.abortConnection = true;
    const ReceivedResponse received =
            sendAndReceive({makePart(net::ResponsePart::First, "a"), abortPart});
    CHECK(received.result.failure == net::SendFailure::AnswerLost);
    CHECK(join(received.parts) == "a");
}
