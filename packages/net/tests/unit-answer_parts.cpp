#include <geraniumpulley/net/http_caller.hpp>
#include <geraniumpulley/net/http_door.hpp>
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
ReceivedResponse sendAndReceive(const std::vector<net::DoorAnswer> &responseParts)
{
    std::unique_ptr<net::HttpDoor> server;
    std::promise<core::ReplyToken> requestToken;
    server = std::move(net::HttpDoor::create({}, [&requestToken](net::DoorRequest &&request) {
                           requestToken.set_value(request.token);
                           return true;
                       }).value());
    auto client = std::move(net::HttpCaller::create({}).value());
    std::promise<net::HttpResult> done;
    ReceivedResponse received;
    net::HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(server->port());
    request.method = "POST";
    request.target = "/generate";
    request.deadline = runtime::now() + 10s;
    request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
    request.onPart = [&received](std::string &&part) { received.parts.push_back(std::move(part)); };
    client->send(std::move(request));
    const core::ReplyToken token = requestToken.get_future().get();
    for (net::DoorAnswer response : responseParts) {
        response.token = token;
        server->answer(std::move(response));
    }
    received.result = done.get_future().get();
    return received;
}

net::DoorAnswer makePart(net::AnswerPart kind, std::string body)
{
    net::DoorAnswer response;
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
    const ReceivedResponse received = sendAndReceive({makePart(net::AnswerPart::First, "a"),
                                                      makePart(net::AnswerPart::More, "b"),
                                                      makePart(net::AnswerPart::Last, "c")});
    CHECK(received.result.failure == net::SendFailure::None);
    CHECK(received.result.status == 200);
    CHECK(join(received.parts) == "abc");
}

TEST_CASE("an aborted response is lost after its first parts were delivered")
{
    net::DoorAnswer abortPart = makePart(net::AnswerPart::More, "");
    abortPart.drop = true;
    const ReceivedResponse received =
            sendAndReceive({makePart(net::AnswerPart::First, "a"), abortPart});
    CHECK(received.result.failure == net::SendFailure::Lost);
    CHECK(join(received.parts) == "a");
}
