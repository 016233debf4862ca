#include "attempt_relay.hpp"
#include "peer_paths.hpp"

#include <geraniumpulley/runtime/clock.hpp>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>

using namespace geraniumpulley;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// A node with the parts that relay requests.
struct RelayingNode
{
    explicit RelayingNode(const std::string &name)
        : client(std::move(net::HttpClient::create({}).value())),
          link(std::move(net::PeerLink::create({},
                                               [this](net::PeerMessage &&message) {
                                                   if (message.path == entry::attemptsPath)
                                                       this->relay->serve(message);
                                                   else
                                                       this->relay->serveCancel(message);
                                                   return true;
                                               })
                                 .value())),
          relay(std::make_unique<entry::AttemptRelay>(*this->client, *this->link, this->metrics,
                                                      name, this->targets()))
    {
    }

    ~RelayingNode()
    {
        this->client->stop();
        this->link->stop();
    }

    entry::RelayedTargets targets()
    {
        return {[this](const std::string &) { return !this->hasLeavingTarget; },
                [](const std::string &, const net::HttpResult &) {}};
    }

    core::Node node() const
    {
        return {{"peer"}, "127.0.0.1:" + std::to_string(this->link->port()), "zone", 1};
    }

    std::atomic<bool> hasLeavingTarget = false;
    runtime::Metrics metrics;
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<net::PeerLink> link;
    std::unique_ptr<entry::AttemptRelay> relay;
};

struct Listener
{
    boost::asio::io_context io;
    tcp::acceptor acceptor{this->io, {boost::asio::ip::make_address("127.0.0.1"), 0}};

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    // Reads the head of one request.
    std::string readRequest(tcp::socket &socket)
    {
        this->acceptor.accept(socket);
        std::string head;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n");
        return head;
    }
};

net::HttpRequest makeRequest(const std::string &address, std::promise<net::HttpResult> &done)
{
    net::HttpRequest request;
    request.address = address;
    request.method = "POST";
    request.target = "/lookup/1";
    request.requestId = "r1";
    request.idHeader = "X-Attempt-Id";
    request.deadline = runtime::now() + 10s;
    request.done = [&done](net::HttpResult &&result) { done.set_value(std::move(result)); };
    return request;
}

} // namespace

TEST_CASE("a request is sent through another node and its answer comes back")
{
    const RelayingNode sender("sender");
    const RelayingNode peer("peer");
    Listener listener;
    std::promise<net::HttpResult> done;
    sender.relay->send(peer.node(), 1, makeRequest(listener.address(), done));
    tcp::socket socket(listener.io);
    const std::string head = listener.readRequest(socket);
    CHECK(head.starts_with("POST /lookup/1 "));
    CHECK(head.find("X-Attempt-Id: r1") != std::string::npos);
    boost::asio::write(socket, boost::asio::buffer(std::string(
                                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
                                       "X-Extra: kept\r\nContent-Length: 2\r\n\r\nok")));
    const net::HttpResult result = done.get_future().get();
    CHECK(result.failure == net::SendFailure::None);
    CHECK(result.status == 200);
    CHECK(result.body == "ok");
    CHECK(result.headers.size() == 3);
}

TEST_CASE("a relayed request that could not be sent is known not to have run")
{
    const RelayingNode sender("sender");
    const RelayingNode peer("peer");
    std::string unused;
    {
        const Listener listener;
        unused = listener.address();
    }
    std::promise<net::HttpResult> done;
    sender.relay->send(peer.node(), 1, makeRequest(unused, done));
    CHECK(done.get_future().get().failure == net::SendFailure::NotSent);
    std::promise<net::HttpResult> withoutPeer;
    sender.relay->send({{"gone"}, unused, "zone", 1}, 2, makeRequest(unused, withoutPeer));
    CHECK(withoutPeer.get_future().get().failure == net::SendFailure::NotSent);
}

TEST_CASE("the cancel of a relayed request closes its connection to the target")
{
    const RelayingNode sender("sender");
    const RelayingNode peer("peer");
    Listener listener;
    std::promise<net::HttpResult> done;
    sender.relay->send(peer.node(), 1, makeRequest(listener.address(), done));
    tcp::socket socket(listener.io);
    listener.readRequest(socket);
    CHECK(sender.relay->cancel(1));
    char byte = 0;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
    CHECK(error);
    CHECK(done.get_future().get().failure == net::SendFailure::AnswerLost);
    CHECK_FALSE(sender.relay->cancel(1));
}

TEST_CASE("requests beyond the limit of a peer are refused at once")
{
    constexpr int requests = 80;
    constexpr int limit = 64;
    const RelayingNode sender("sender");
    const RelayingNode peer("peer");
    const Listener listener;
    std::vector<std::promise<net::HttpResult>> done(requests);
    for (int i = 0; i < requests; ++i)
        sender.relay->send(peer.node(), static_cast<std::uint64_t>(i),
                           makeRequest(listener.address(), done[static_cast<std::size_t>(i)]));
    for (std::size_t i = limit; i < done.size(); ++i)
        CHECK(done[i].get_future().get().failure == net::SendFailure::NotSent);
    for (int i = 0; i < limit; ++i)
        CHECK(sender.relay->cancel(static_cast<std::uint64_t>(i)));
    for (std::size_t i = 0; i < limit; ++i)
        done[i].get_future().wait();
}

TEST_CASE("a peer passes no request on to a target that leaves")
{
    const RelayingNode sender("sender");
    RelayingNode peer("peer");
    peer.hasLeavingTarget = true;
    const Listener listener;
    std::promise<net::HttpResult> done;
    sender.relay->send(peer.node(), 1, makeRequest(listener.address(), done));
    CHECK(done.get_future().get().failure == net::SendFailure::NotSent);
}

// Guards against requests of other nodes that were cut at the exit of the node that sent them.
TEST_CASE("a stopping node passes on no request of a peer that may outlast the stop")
{
    const RelayingNode sender("sender");
    const RelayingNode peer("peer");
    Listener listener;
    std::promise<net::HttpResult> early;
    sender.relay->send(peer.node(), 1, makeRequest(listener.address(), early));
    tcp::socket socket(listener.io);
    listener.readRequest(socket);
    peer.relay->drain(runtime::now() + 5s);
    std::promise<net::HttpResult> late;
    sender.relay->send(peer.node(), 2, makeRequest(listener.address(), late));
    CHECK(late.get_future().get().failure == net::SendFailure::NotSent);
    CHECK_FALSE(peer.relay->waitUntilIdle(0s));
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                                                       "r1\r\nContent-Length: 2\r\n\r\nok")));
    CHECK(peer.relay->waitUntilIdle(10s));
    CHECK(peer.link->flush(10s));
    CHECK(early.get_future().get().body == "ok");
}
