#pragma once

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/identifier.hpp>

#include <vector>

/// Probes show whether targets accept connections, without a request.
namespace geraniumpulley::core {

enum class ProbeOutcome {
    Accepted, ///< A connection was opened.
    Refused, ///< The VM answered that nothing listens there.
    Silent, ///< Nothing came back in time.
};

/// Action: opens a connection to each of some targets and closes it.
struct ProbeTargets
{
    OperationId operation{};
    std::vector<Target> targets;
};
/// Event: a `ProbeTargets` has completed.
struct TargetsProbed
{
    OperationId operation{};
    std::vector<ProbeOutcome> outcomes; ///< In the order of the targets.
};

} // namespace geraniumpulley::core
