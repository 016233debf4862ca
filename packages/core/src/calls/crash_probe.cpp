#include "crash_probe.hpp"

#include <algorithm>

namespace geraniumpulley::core {

ProbeTargets makeControlledProbe(OperationId operation, const Target &target,
                                 const std::vector<const Target *> &targets, RandomSource &random)
{
    std::vector<const Target *> sameService;
    std::vector<const Target *> otherServices;
    for (const Target *other : targets) {
        if (other->id != target.id)
            (other->service == target.service ? sameService : otherServices).push_back(other);
    }
    ProbeTargets probe{operation, {target}};
    for (const auto &group : {otherServices, sameService}) {
        if (!group.empty())
            probe.targets.push_back(*group[draw(random, group.size())]);
    }
    return probe;
}

bool showsCrash(const TargetsProbed &probed)
{
    const std::vector<ProbeOutcome> &outcomes = probed.outcomes;
    return !outcomes.empty() && outcomes.front() == ProbeOutcome::Refused
           && std::find(outcomes.begin(), outcomes.end(), ProbeOutcome::Accepted) != outcomes.end();
}

} // namespace geraniumpulley::core
