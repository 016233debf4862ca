#include "raw_server.hpp"

#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <doctest/doctest.h>

#include <future>

using namespace geraniumpulley;
using namespace std::chrono_literals;
using net::SendFailure;

namespace {

std::unique_ptr<net::PeerLink> makeLink(net::PeerLink::MessageHandler handler)
{
    return std::move(net::PeerLink::create({}, std::move(handler)).value());
}

std::string addressOf(const net::PeerLink &link)
{
    return "127.0.0.1:" + std::to_string(link.port());
}

std::future<net::PeerReply> send(net::PeerLink &link, const std::string &address,
                                 const std::string &body, core::Duration timeout = 10s)
{
    auto done = std::make_shared<std::promise<net::PeerReply>>();
    std::future<net::PeerReply> reply = done->get_future();
    link.send({address, "/echo", body, runtime::now() + timeout,
               [done](net::PeerReply &&result) { done->set_value(std::move(result)); }});
    return reply;
}

// A link that replies to each message with the body of the message.
struct EchoLink
{
    std::unique_ptr<net::PeerLink> link;

    EchoLink()
    {
        this->link = makeLink([this](net::PeerMessage &&message) {
            this->link->reply(message.token, std::move(message.body));
            return true;
        });
    }
};

bool rejectAll(net::PeerMessage &&)
{
    return false;
}

bool neverReply(net::PeerMessage &&)
{
    return true;
}

} // namespace

TEST_CASE("concurrent messages on one connection receive their own replies")
{
    const EchoLink echo;
    const auto link = makeLink(rejectAll);
    std::vector<std::future<net::PeerReply>> replies;
    replies.reserve(200);
    for (int i = 0; i < 200; ++i)
        replies.push_back(send(*link, addressOf(*echo.link), "body " + std::to_string(i)));
    for (int i = 0; i < 200; ++i) {
        const net::PeerReply reply = replies[static_cast<std::size_t>(i)].get();
        CHECK(reply.failure == SendFailure::None);
        CHECK(reply.body == "body " + std::to_string(i));
    }
}

TEST_CASE("a body larger than the flow-control windows is transferred completely")
{
    const EchoLink echo;
    const auto link = makeLink(rejectAll);
    const std::string body(20 * 1024 * 1024, 'x');
    CHECK(send(*link, addressOf(*echo.link), body, 60s).get().body == body);
}

TEST_CASE("a message that the other node rejects is reported as not sent")
{
    const auto rejecting = makeLink(rejectAll);
    const auto link = makeLink(rejectAll);
    CHECK(send(*link, addressOf(*rejecting), "m").get().failure == SendFailure::NotSent);
}

TEST_CASE("a message without a reply at its deadline is reported as lost")
{
    const auto silent = makeLink(neverReply);
    const auto link = makeLink(rejectAll);
    CHECK(send(*link, addressOf(*silent), "m", 50ms).get().failure == SendFailure::AnswerLost);
}

TEST_CASE("a message whose receiver stops before it replies is reported as lost")
{
    std::promise<void> messageReceived;
    auto silent = makeLink([&messageReceived](net::PeerMessage &&) {
        messageReceived.set_value();
        return true;
    });
    const auto link = makeLink(rejectAll);
    auto reply = send(*link, addressOf(*silent), "m");
    messageReceived.get_future().wait();
    silent.reset();
    CHECK(reply.get().failure == SendFailure::AnswerLost);
}

TEST_CASE("a message to a stopped node is reported as not sent, and a later message reconnects")
{
    const auto link = makeLink(rejectAll);
    std::string address;
    {
        const EchoLink stopped;
        address = addressOf(*stopped.link);
        CHECK(send(*link, address, "m").get().body == "m");
    }
    net::PeerReply reply;
    do {
        reply = send(*link, address, "m").get();
    } while (reply.failure == SendFailure::AnswerLost);
    CHECK(reply.failure == SendFailure::NotSent);
    net::PeerLinkSettings settings;
    settings.address = address;
    const auto restarted = net::PeerLink::create(settings, neverReply);
    REQUIRE(restarted.has_value());
    CHECK(send(*link, address, "m", 100ms).get().failure == SendFailure::AnswerLost);
}

TEST_CASE("a message to a peer that does not speak HTTP/2 fails before its deadline")
{
    const net::test::RawServer server("HTTP/1.1 400 Bad Request\r\n\r\n");
    const auto link = makeLink(rejectAll);
    CHECK(send(*link, server.address(), "m").get().failure != SendFailure::None);
}
