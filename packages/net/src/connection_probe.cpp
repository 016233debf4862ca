#include "connection_probe.hpp"

#include <geraniumpulley/net/detail/event_loop.hpp>

#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <utility>

namespace geraniumpulley::net {
namespace {

struct RunningProbe
{
    boost::beast::tcp_stream stream;
    ConnectProbe probe;
};

ConnectOutcome toOutcome(boost::system::error_code error)
{
    if (!error)
        return ConnectOutcome::Accepted;
    return error == boost::asio::error::connection_refused ? ConnectOutcome::Refused
                                                           : ConnectOutcome::TimedOut;
}

} // namespace

void startProbe(boost::asio::io_context &context, ConnectProbe &&probe)
{
    const auto endpoint = detail::parseAddress(probe.address);
    if (!endpoint)
        return probe.done(ConnectOutcome::TimedOut);
    const auto running = std::make_shared<RunningProbe>(
            RunningProbe{boost::beast::tcp_stream(context), std::move(probe)});
    running->stream.expires_after(running->probe.timeout);
    running->stream.async_connect(endpoint.value(), [running](boost::system::error_code error) {
        boost::system::error_code ignored;
        running->stream.socket().close(ignored);
        running->probe.done(toOutcome(error));
    });
}

} // namespace geraniumpulley::net
