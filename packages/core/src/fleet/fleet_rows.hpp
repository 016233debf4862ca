#pragma once

#include <geraniumpulley/core/fleet/fleet.hpp>

namespace geraniumpulley::core {

/// Applies the rows of a read to the state. After a full read it also removes what the table no
/// longer contains.
void applyRows(FleetState &state, const TableReadCompleted &read, Time now);

/// Records a row of the lease on weight orders.
void noteLease(FleetState &state, const WeightOrderLease &lease, Time now);

/// Removes the targets whose rows are missing, unless an outage of the store may be the cause; then
/// they are removed if their rows are not back within `lapsedTargetRetention`.
void removeLapsedTargets(FleetState &state, Time now);

} // namespace geraniumpulley::core
