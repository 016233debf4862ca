#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Routes a request from an application or a trainer: pushes the matching event to the duty in
/// charge, or answers an invalid request.
/// \return false if the duty's ring is full.
bool routeCallerRequest(Parts &parts, net::ServerRequest &&request);

/// Routes a request from an operator: pushes the matching event to the control duty, or answers the
/// request.
/// \return false if the duty's ring is full.
bool routeOperatorRequest(Parts &parts, net::ServerRequest &&request);

/// Routes a message from another node: pushes the matching event to the duty in charge.
/// \return false if the message is malformed or the duty's ring is full.
bool routePeerMessage(Parts &parts, net::PeerMessage &&message);

} // namespace geraniumpulley::node
