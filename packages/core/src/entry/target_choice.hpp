#pragma once

#include <geraniumpulley/core/entry/entry.hpp>

#include <optional>

/// The choice of the target for a client's request.
namespace geraniumpulley::core {

struct TargetChoice
{
    const Target *target = nullptr; ///< Null if the request cannot be sent now.
    /// Of the targets that were passed over for lack of a permit, the one whose next permit is
    /// expected first; null if there was none.
    const Target *rateLimited = nullptr;
    /// A target that has refused the request before and may accept it now; null if there is none.
    const Target *alreadyTried = nullptr;
    /// The request must run alone at a target, and each target runs another request of this node.
    bool awaitsIdleTarget = false;
};

/// Chooses the least loaded target. Targets that the request was already sent to are chosen only if
/// there is no other, or if the others take no request in time. Complexity: linear in targets.
TargetChoice chooseTarget(EntryState &state, const EntryRequest &request, Time now);

/// \return whether the request can be sent at once to a target that it was not sent to before.
bool hasUntriedTarget(EntryState &state, const EntryRequest &request, Time now);

/// \return the software of a target; empty for an unknown target.
SoftwareVersion softwareOf(const Directory &directory, const TargetId &target);

/// \return the start time that a target reports; 0 for an unknown target.
std::uint64_t startTimeOf(const Directory &directory, const TargetId &target);

} // namespace geraniumpulley::core
