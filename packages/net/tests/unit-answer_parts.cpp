#include <geraniumpulley/net/http_caller.hpp>
#include <geraniumpulley/net/http_door.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <doctest/doctest.h>

#include <future>

using namespace geraniumpulley;
using namespace std::chrono_literals;

namespace {

struct Outcome
{
    net::HttpResult result;
    std::vector<std::string> parts;
};

// Asks a door that answers with the parts that `script` gives it, one after the other.
Outcome ask(const std::vector<net::DoorAnswer> &script)
{
    std::unique_ptr<net::HttpDoor> door;
    std::promise<core::ReplyToken> taken;
    door = std::move(net::HttpDoor::create({}, [&taken](net::DoorRequest &&request) {
                         taken.set_value(request.token);
                         return true;
                     }).value());
    auto caller = std::move(net::HttpCaller::create({}).value());
    std::promise<net::HttpResult> done;
    Outcome outcome;
    net::HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(door->port());
    request.method = "POST";
    request.target = "/generate";
    request.deadline = runtime::now() + 10s;
    request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
    request.onPart = [&outcome](std::string &&part) { outcome.parts.push_back(std::move(part)); };
    caller->send(std::move(request));
    const core::ReplyToken token = taken.get_future().get();
    for (net::DoorAnswer answer : script) {
        answer.token = token;
        door->answer(std::move(answer));
    }
    outcome.result = done.get_future().get();
    return outcome;
}

net::DoorAnswer part(net::AnswerPart kind, std::string body)
{
    net::DoorAnswer answer;
    answer.part = kind;
    answer.body = std::move(body);
    return answer;
}

std::string join(const std::vector<std::string> &parts)
{
    std::string joined;
    for (const std::string &text : parts)
        joined += text;
    return joined;
}

} // namespace

TEST_CASE("the parts of an answer arrive in order, and the end is told")
{
    const Outcome outcome =
            ask({part(net::AnswerPart::First, "a"), part(net::AnswerPart::More, "b"),
                 part(net::AnswerPart::Last, "c")});
    CHECK(outcome.result.failure == net::SendFailure::None);
    CHECK(outcome.result.status == 200);
    CHECK(join(outcome.parts) == "abc");
}

TEST_CASE("a cut within an answer is a lost answer, and its first parts were handed on")
{
    net::DoorAnswer cut = part(net::AnswerPart::More, "");
    cut.drop = true;
    const Outcome outcome = ask({part(net::AnswerPart::First, "a"), cut});
    CHECK(outcome.result.failure == net::SendFailure::Lost);
    CHECK(join(outcome.parts) == "a");
}
