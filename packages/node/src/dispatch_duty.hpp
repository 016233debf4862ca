#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Starts the dispatch duty: it decides with `core::step` and performs the actions on `parts`.
void startDispatch(Parts &parts, const core::Node &self);

/// \return the HTTP answer for a caller.
net::DoorAnswer toDoorAnswer(core::ReplyToken reply, const core::CallAnswer &answer);

} // namespace geraniumpulley::node
