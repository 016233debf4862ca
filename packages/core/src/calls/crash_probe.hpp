#pragma once

#include <geraniumpulley/core/calls/load_balancing.hpp>
#include <geraniumpulley/core/calls/target_probe.hpp>

#include <vector>

/// The probes that show whether a target has crashed.
namespace geraniumpulley::core {

/// Makes the probe of a target, together with a target of another service and one of the same, if
/// there are any, as controls. Complexity: linear in `targets`.
ProbeTargets makeControlledProbe(OperationId operation, const Target &target,
                                 const std::vector<const Target *> &targets, RandomSource &random);

/// \return whether such a probe shows that its target has crashed. If no control accepts a
/// connection, it is this node that is cut off.
bool showsCrash(const TargetsProbed &probed);

} // namespace geraniumpulley::core
