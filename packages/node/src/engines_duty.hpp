#pragma once

#include "parts.hpp"

namespace geraniumpulley::node {

/// Starts the engines duty: it decides with `core::step` and performs the actions on `parts`.
void startEngines(Parts &parts, const core::Node &self);

} // namespace geraniumpulley::node
