#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/limits/permits.hpp>
#include <geraniumpulley/net/peer_link.hpp>

#include <functional>
#include <string>

/// Requests for permits, made to the node that limits the requests to a target.
namespace geraniumpulley::entry {

/// Requests permits from this node or another one. It never blocks.
/// \param duty the name of the duty that will use the permits.
/// \param done runs exactly once, on the peer link's thread or on the calling one.
void requestPermits(Parts &parts, const core::RequestPermits &request, const std::string &duty,
                    std::function<void(core::PermitsReceived &&)> done);

/// Replies to the request of another node. It never blocks.
void replyToPermitRequest(Parts &parts, const net::PeerMessage &message);

} // namespace geraniumpulley::entry
