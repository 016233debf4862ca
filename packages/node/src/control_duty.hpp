#pragma once

#include "parts.hpp"

#include <future>

namespace geraniumpulley::node {

/// Starts the control duty, which decides with `core::step` and performs the resulting actions with
/// `parts`.
/// \return a future that becomes ready once the shards are released after `LeaseReleaseRequested`.
std::future<void> startControlDuty(Parts &parts, core::ControlSettings settings);

} // namespace geraniumpulley::node
