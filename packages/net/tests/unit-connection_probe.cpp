#include <geraniumpulley/net/http_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <future>

using namespace geraniumpulley;
using namespace std::chrono_literals;
using net::ConnectOutcome;

namespace {

using Tcp = boost::asio::ip::tcp;

ConnectOutcome probe(const std::string &address)
{
    auto client = std::move(net::HttpClient::create({}).value());
    std::promise<ConnectOutcome> done;
    client->probe({address, 10s, [&done](ConnectOutcome outcome) { done.set_value(outcome); }});
    return done.get_future().get();
}

} // namespace

TEST_CASE("a probe tells a server that listens from one that does not")
{
    boost::asio::io_context io;
    Tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    CHECK(probe(address) == ConnectOutcome::Accepted);
    acceptor.close();
    CHECK(probe(address) == ConnectOutcome::Refused);
}

TEST_CASE("a probe of a malformed address shows nothing")
{
    CHECK(probe("127.0.0.1:70000") == ConnectOutcome::TimedOut);
}
