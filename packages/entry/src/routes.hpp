#pragma once

#include "parts.hpp"

namespace geraniumpulley::entry {

/// Turns a request of a client or trainer into an event of its duty, or answers it.
/// \return false when the duty's ring is full.
bool routeClient(Parts &parts, net::DoorRequest &&request);

/// Tells the duties that a client has left before its answer.
void noteClientLeft(Parts &parts, core::ReplyToken token);

/// Serves a message of another node. \return false for a kind that is not known.
bool routePeer(Parts &parts, net::PeerMessage &&message);

/// Answers the balancer's question whether this node takes requests.
bool routeReadiness(Parts &parts, const net::DoorRequest &request);

/// Answers with the process's counters and times.
bool routeMetrics(Parts &parts, const net::DoorRequest &request);

} // namespace geraniumpulley::entry
