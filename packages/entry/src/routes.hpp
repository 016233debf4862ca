#pragma once

#include "parts.hpp"

namespace geraniumpulley::entry {

/// Forwards a request of a client or trainer to its duty as an event, or answers it directly.
/// \return false if the duty's ring is full.
bool routeClientRequest(Parts &parts, net::ServerRequest &&request);

/// Notifies the duties that a client disconnected before its response.
void onClientDisconnected(Parts &parts, core::ReplyToken token);

/// Handles a message of another node. \return false for an unknown path.
bool routePeerMessage(Parts &parts, net::PeerMessage &&message);

/// Answers the load balancer's readiness check.
bool routeReadinessRequest(Parts &parts, const net::ServerRequest &request);

/// Answers with the counters and latencies of the process.
bool routeMetricsRequest(Parts &parts, const net::ServerRequest &request);

} // namespace geraniumpulley::entry
