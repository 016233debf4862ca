#pragma once

#include "parts.hpp"

#include <future>

namespace geraniumpulley::node {

/// Starts the control duty: it decides with `core::step` and performs the actions on `parts`.
/// \return a future that is ready when the shards were given up after `LeaseReleaseAsked`.
std::future<void> startControl(Parts &parts, core::ControlSettings settings);

} // namespace geraniumpulley::node
