#pragma once

#include <geraniumpulley/net/http_client.hpp>

#include <boost/asio/io_context.hpp>

namespace geraniumpulley::net {

/// Starts a probe on the thread of the context. Pending callbacks keep it alive.
void startProbe(boost::asio::io_context &context, ConnectProbe &&probe);

} // namespace geraniumpulley::net
