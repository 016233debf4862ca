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

// Answers each message with its own body.
struct Echo
{
    std::unique_ptr<net::PeerLink> link;

    Echo()
    {
        this->link = makeLink([this](net::PeerMessage &&message) {
            this->link->reply(message.token, std::move(message.body));
            return true;
        });
    }
};

bool refuseAll(net::PeerMessage &&)
{
    return false;
}

bool neverAnswer(net::PeerMessage &&)
{
    return true;
}

} // namespace

TEST_CASE("replies of many streams on one connection reach their own askers")
{
    const Echo echo;
    const auto link = makeLink(refuseAll);
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

TEST_CASE("a body larger than the flow-control windows arrives whole")
{
    const Echo echo;
    const auto link = makeLink(refuseAll);
    const std::string body(20 * 1024 * 1024, 'x');
    CHECK(send(*link, addressOf(*echo.link), body, 60s).get().body == body);
}

TEST_CASE("a message that the other node refuses was not sent")
{
    const auto busy = makeLink(refuseAll);
    const auto link = makeLink(refuseAll);
    CHECK(send(*link, addressOf(*busy), "m").get().failure == SendFailure::NotSent);
}

TEST_CASE("a message without a reply until its deadline is lost")
{
    const auto silent = makeLink(neverAnswer);
    const auto link = makeLink(refuseAll);
    CHECK(send(*link, addressOf(*silent), "m", 50ms).get().failure == SendFailure::Lost);
}

TEST_CASE("a message whose node ends before it replies is lost")
{
    std::promise<void> arrived;
    auto silent = makeLink([&arrived](net::PeerMessage &&) {
        arrived.set_value();
        return true;
    });
    const auto link = makeLink(refuseAll);
    auto reply = send(*link, addressOf(*silent), "m");
    arrived.get_future().wait();
    silent.reset();
    CHECK(reply.get().failure == SendFailure::Lost);
}

TEST_CASE("a message to a node that is not there was not sent, and a later one connects again")
{
    const auto link = makeLink(refuseAll);
    std::string address;
    {
        const Echo gone;
        address = addressOf(*gone.link);
        CHECK(send(*link, address, "m").get().body == "m");
    }
    net::PeerReply reply;
    do {
        reply = send(*link, address, "m").get();
    } while (reply.failure == SendFailure::Lost);
    CHECK(reply.failure == SendFailure::NotSent);
    net::PeerSettings settings;
    settings.address = address;
    const auto again = net::PeerLink::create(settings, neverAnswer);
    REQUIRE(again.has_value());
    CHECK(send(*link, address, "m", 100ms).get().failure == SendFailure::Lost);
}

TEST_CASE("a peer that speaks something else is lost, not waited for")
{
    const net::test::RawServer server("HTTP/1.1 400 Bad Request\r\n\r\n");
    const auto link = makeLink(refuseAll);
    CHECK(send(*link, server.address(), "m").get().failure != SendFailure::None);
}
