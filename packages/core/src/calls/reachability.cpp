#include <geraniumpulley/core/calls/reachability.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {

void recordReached(Reachability &reachability, Time now)
{
    reachability.unreached.clear();
    reachability.lastReachedAt = now;
}

void recordUnreached(Reachability &reachability, const TargetId &target)
{
    reachability.unreached.insert(target);
}

bool isProbeDue(const Reachability &reachability, Time now)
{
    if (reachability.probe || now < reachability.nextProbeAt)
        return false;
    const bool isQuiet = now - reachability.lastReachedAt >= reachability.settings.quietTime;
    return reachability.isCutOff || reachability.unreached.size() > 1
           || (isQuiet && !reachability.unreached.empty());
}

bool recordProbe(Reachability &reachability, const TargetsProbed &probed, Time now)
{
    reachability.probe.reset();
    const auto &outcomes = probed.outcomes;
    const bool isReached =
            std::find(outcomes.begin(), outcomes.end(), ProbeOutcome::Accepted) != outcomes.end();
    if (isReached)
        recordReached(reachability, now);
    const ReachabilitySettings &settings = reachability.settings;
    reachability.nextProbeAt =
            now + (isReached ? settings.probeInterval : settings.cutOffProbeInterval);
    return std::exchange(reachability.isCutOff, !isReached) != reachability.isCutOff;
}

std::optional<Time> dueAt(const Reachability &reachability)
{
    if (reachability.probe || (!reachability.isCutOff && reachability.unreached.empty()))
        return std::nullopt;
    if (reachability.isCutOff || reachability.unreached.size() > 1)
        return reachability.nextProbeAt;
    return std::max(reachability.nextProbeAt,
                    reachability.lastReachedAt + reachability.settings.quietTime);
}

} // namespace geraniumpulley::core
