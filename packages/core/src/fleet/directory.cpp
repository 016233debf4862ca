#include <geraniumpulley/core/fleet/directory.hpp>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace geraniumpulley::core {
namespace {

std::uint64_t scoreOf(const TargetId &target, const std::string &model)
{
    return XXH3_64bits_withSeed(model.data(), model.size(),
                                XXH3_64bits(target.value.data(), target.value.size()));
}

} // namespace

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

std::vector<std::string> modelsOf(const std::vector<const FleetTarget *> &targets)
{
    std::set<std::string> models;
    for (const FleetTarget *target : targets) {
        for (const auto &[model, version] : target->weights)
            models.insert(model);
    }
    return {models.begin(), models.end()};
}

// The pair with the highest score goes first, as in rendezvous hashing, until a model has its
// share; a target that comes or goes then moves few of the others.
std::map<TargetId, std::string> assignModels(const std::vector<const FleetTarget *> &targets,
                                             const std::vector<std::string> &models)
{
    std::map<TargetId, std::string> assigned;
    if (models.empty())
        return assigned;
    std::vector<std::tuple<std::uint64_t, TargetId, std::string>> pairs;
    for (const FleetTarget *target : targets) {
        for (const std::string &model : models)
            pairs.emplace_back(scoreOf(target->target.id, model), target->target.id, model);
    }
    std::sort(pairs.rbegin(), pairs.rend());
    const std::size_t share = (targets.size() + models.size() - 1) / models.size();
    std::map<std::string, std::size_t> counts;
    for (const auto &[score, target, model] : pairs) {
        std::size_t &count = counts[model];
        if (count < share && assigned.emplace(target, model).second)
            ++count;
    }
    return assigned;
}

} // namespace geraniumpulley::core
