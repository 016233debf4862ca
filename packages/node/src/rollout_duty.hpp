#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Starts the rollout duty, which decides with `core::step` and performs the resulting actions with
/// `parts`.
void startRolloutDuty(Parts &parts, const core::NodeId &self);

} // namespace geraniumpulley::node
