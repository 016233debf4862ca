#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/control/lease_manager.hpp>

namespace geraniumpulley::node {

/// Performs one lease action; its results are delivered to the control duty as events.
void performLeaseAction(Parts &parts, core::LeaseAction &&action);

} // namespace geraniumpulley::node
