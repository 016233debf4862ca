#pragma once

#include "parts.hpp"

namespace geraniumpulley::entry {

/// Forwards a request of a client or trainer to its duty as an event, or answers it directly.
/// \return false if the duty's ring is full.
bool routeClient(Parts &parts, net::DoorRequest &&request);

/// Notifies the duties that a client disconnected before its response.
void noteClientLeft(Parts &parts, core::ReplyToken token);

/// Handles a message of another node. \return false for an unknown path.
bool routePeer(Parts &parts, net::PeerMessage &&message);

/// Answers the load balancer's readiness check.
bool routeReadiness(Parts &parts, const net::DoorRequest &request);

/// Answers with the counters and latencies of the process.
bool routeMetrics(Parts &parts, const net::DoorRequest &request);

} // namespace geraniumpulley::entry
