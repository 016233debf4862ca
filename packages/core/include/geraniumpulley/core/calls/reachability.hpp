#pragma once

#include <geraniumpulley/core/calls/target_probe.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <optional>
#include <set>

/// Whether this node reaches any target. A node that reaches none, while its peers do, sends its
/// requests through them.
namespace geraniumpulley::core {

struct ReachabilitySettings
{
    /// Time without an answer of any target after which one failed attempt calls for a probe.
    /// Within it, attempts at two targets have to fail.
    Duration quietTime = std::chrono::seconds(1);
    /// The time between two probes while targets are reached, and while none is.
    Duration probeInterval = std::chrono::seconds(2);
    Duration cutOffProbeInterval = std::chrono::milliseconds(500);
};

struct Reachability
{
    ReachabilitySettings settings;
    bool isCutOff = false; ///< The last probe has reached no target.
    std::set<TargetId> unreached; ///< Targets that failed since one was last reached.
    Time lastReachedAt{};
    Time nextProbeAt{};
    std::optional<OperationId> probe; ///< The probe in flight.
};

/// Records an answer of a target.
void recordReached(Reachability &reachability, Time now);

/// Records an attempt that could not be sent, or that is not answered as soon as usual.
void recordUnreached(Reachability &reachability, const TargetId &target);

/// \return whether targets are to be probed now.
bool isProbeDue(const Reachability &reachability, Time now);

/// Records a probe of several targets. Only a probe ends the state of being cut off: answers may
/// come on old connections while new ones are refused.
/// \return whether `isCutOff` has changed.
bool recordProbe(Reachability &reachability, const TargetsProbed &probed, Time now);

/// \return when the next probe may be due.
std::optional<Time> dueAt(const Reachability &reachability);

} // namespace geraniumpulley::core
