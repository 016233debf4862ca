#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Starts the engines duty, which decides with `core::step` and performs the resulting actions with
/// `parts`.
void startEnginesDuty(Parts &parts, const core::Node &self);

} // namespace geraniumpulley::node
