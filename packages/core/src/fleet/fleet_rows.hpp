#pragma once

#include <geraniumpulley/core/fleet/fleet.hpp>

namespace geraniumpulley::core {

/// Takes the rows of a read into the state, and drops what a whole read does not hold any more.
void applyRows(FleetState &state, const TableRead &read, Time now);

/// Drops targets whose rows are still missing when an outage of the store cannot explain it.
void dropLapsed(FleetState &state, Time now);

} // namespace geraniumpulley::core
