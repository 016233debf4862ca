#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Starts the dispatch duty, which decides with `core::step` and performs the resulting actions
/// with `parts`.
void startDispatchDuty(Parts &parts, const core::Node &self);

/// \return `answer` as the HTTP answer to the caller.
net::ServerResponse toServerResponse(core::ReplyToken reply, const core::CallAnswer &answer);

} // namespace geraniumpulley::node
