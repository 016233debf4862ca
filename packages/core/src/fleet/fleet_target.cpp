#include <geraniumpulley/core/fleet/fleet_target.hpp>

namespace geraniumpulley::core {

std::vector<const FleetTarget *> servingTargets(const TargetMap &targets,
                                                const ServiceName &service)
{
    std::vector<const FleetTarget *> serving;
    for (const auto &[id, target] : targets) {
        if (target.target.service == service && !target.target.leaving)
            serving.push_back(&target);
    }
    return serving;
}

WeightVersion versionOf(const WeightMap &weights, const std::string &model)
{
    const auto position = weights.find(model);
    return position == weights.end() ? WeightVersion{} : position->second;
}

} // namespace geraniumpulley::core
