#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/control/lease_manager.hpp>

namespace geraniumpulley::node {

/// Carries out one action of the lease decisions; results come back as events of the control duty.
void performLease(Parts &parts, core::LeaseAction &&action);

} // namespace geraniumpulley::node
