#include <geraniumpulley/core/engines/engine_group.hpp>

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace geraniumpulley::core {
namespace {

// Data centre to engines; the key is empty for a group that spans data centres.
using Scopes = std::map<std::string, std::vector<Target>>;

Scopes scopesOf(const Service &service, const View &view)
{
    Scopes scopes;
    for (const Target &target : view.targets) {
        if (target.service == service.name && !target.leaving)
            scopes[target.dataCentre].push_back(target);
    }
    const bool fillsEach = std::all_of(scopes.begin(), scopes.end(), [](const auto &scope) {
        return scope.second.size() >= engineGroupSize;
    });
    if (fillsEach)
        return scopes;
    Scopes joined;
    for (const auto &[dataCentre, targets] : scopes)
        joined[""].insert(joined[""].end(), targets.begin(), targets.end());
    return joined;
}

// Rendezvous hashing: another group more takes engines from the others, and moves no other engine.
std::size_t bucketOf(const TargetId &target, std::size_t buckets)
{
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        const std::uint64_t score =
                XXH3_64bits_withSeed(target.value.data(), target.value.size(), bucket + 1);
        if (score > bestScore) {
            best = bucket;
            bestScore = score;
        }
    }
    return best;
}

std::vector<EngineGroup> divide(const Service &service, const std::string &scope,
                                const std::vector<Target> &targets)
{
    const std::size_t count =
            std::max<std::size_t>(1, (targets.size() + engineGroupSize / 2) / engineGroupSize);
    std::vector<EngineGroup> groups(count);
    for (std::size_t i = 0; i < count; ++i) {
        groups[i].key = service.name.value + "/" + (scope.empty() ? "all" : scope) + "/"
                        + std::to_string(i);
        groups[i].model = service.name;
    }
    for (const Target &target : targets)
        groups[bucketOf(target.id, count)].engines.push_back(target);
    return groups;
}

NodeId chooseOwner(const EngineGroup &group, const std::string &scope, const View &view)
{
    Target located;
    located.id.value = group.key;
    located.dataCentre = scope;
    const Node *owner = ownerOf(located, view.nodes);
    return owner == nullptr ? NodeId{} : owner->id;
}

} // namespace

std::vector<EngineGroup> groupEngines(const Configuration &configuration, const View &view)
{
    std::vector<EngineGroup> groups;
    for (const Service &service : configuration.services) {
        if (service.kind != ServiceKind::Model)
            continue;
        std::uint32_t index = 0;
        for (const auto &[scope, targets] : scopesOf(service, view)) {
            for (EngineGroup &group : divide(service, scope, targets)) {
                group.index = index++;
                group.owner = chooseOwner(group, scope, view);
                groups.push_back(std::move(group));
            }
        }
    }
    return groups;
}

std::size_t swapAllowance(const Service &service, std::size_t engines)
{
    constexpr std::size_t whole = 100;
    const std::size_t serving = (engines * service.minServingPercent + whole - 1) / whole;
    return std::max<std::size_t>(1, engines - std::min(engines, serving));
}

std::uint32_t storeLoadsOf(const Service &service, std::uint32_t group, std::uint32_t groups)
{
    const std::uint32_t each = service.weightLoadsAtOnce / groups;
    const std::uint32_t rest = service.weightLoadsAtOnce % groups;
    return each + (group < rest ? 1 : 0);
}

std::uint32_t feedingGroup(const Service &service, std::uint32_t group)
{
    constexpr std::uint32_t fedGroups = 4; // Fed by each group: the tree stays shallow.
    if (group < service.weightLoadsAtOnce)
        return group;
    return (group - service.weightLoadsAtOnce) / fedGroups;
}

} // namespace geraniumpulley::core
