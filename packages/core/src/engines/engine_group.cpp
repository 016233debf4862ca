#include <geraniumpulley/core/engines/engine_group.hpp>

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace geraniumpulley::core {
namespace {

// Engines by data centre; the key is empty when the groups span data centres.
using EnginesByScope = std::map<std::string, std::vector<Target>>;

EnginesByScope enginesByScope(const Service &service, const View &view)
{
    EnginesByScope scopes;
    for (const Target &target : view.targets) {
        if (target.service == service.name && !target.leaving)
            scopes[target.dataCentre].push_back(target);
    }
    const bool canFillEach = std::all_of(scopes.begin(), scopes.end(), [](const auto &scope) {
        return scope.second.size() >= engineGroupSize;
    });
    if (canFillEach)
        return scopes;
    EnginesByScope joined;
    for (const auto &[dataCentre, targets] : scopes)
        joined[""].insert(joined[""].end(), targets.begin(), targets.end());
    return joined;
}

// Rendezvous hashing: an additional group takes engines from the existing groups, but no engine
// moves between existing groups.
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

std::vector<EngineGroup> divideIntoGroups(const Service &service, const std::string &scope,
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
    Target groupTarget;
    groupTarget.id.value = group.key;
    groupTarget.dataCentre = scope;
    const Node *owner = ownerOf(groupTarget, view.nodes);
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
        for (const auto &[scope, targets] : enginesByScope(service, view)) {
            for (EngineGroup &group : divideIntoGroups(service, scope, targets)) {
                group.index = index++;
                group.owner = chooseOwner(group, scope, view);
                groups.push_back(std::move(group));
            }
        }
    }
    return groups;
}

std::size_t maxConcurrentSwaps(const Service &service, std::size_t engines)
{
    constexpr std::size_t percent = 100;
    const std::size_t minServing = (engines * service.minServingPercent + percent - 1) / percent;
    return std::max<std::size_t>(1, engines - std::min(engines, minServing));
}

std::uint32_t groupStoreLoads(const Service &service, std::uint32_t group, std::uint32_t groups)
{
    const std::uint32_t quotient = service.maxConcurrentWeightLoads / groups;
    const std::uint32_t remainder = service.maxConcurrentWeightLoads % groups;
    return quotient + (group < remainder ? 1 : 0);
}

std::uint32_t sourceGroupIndex(const Service &service, std::uint32_t group)
{
    // Groups that copy from the same group; a fan-out of 4 keeps the distribution tree shallow.
    constexpr std::uint32_t fanOut = 4;
    if (group < service.maxConcurrentWeightLoads)
        return group;
    return (group - service.maxConcurrentWeightLoads) / fanOut;
}

} // namespace geraniumpulley::core
