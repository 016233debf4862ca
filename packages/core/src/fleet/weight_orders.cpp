#include <geraniumpulley/core/fleet/weight_orders.hpp>

#include <algorithm>
#include <tuple>

namespace geraniumpulley::core {
namespace {

// An engine that has to load a newer version of its assigned model.
struct LoadCandidate
{
    const FleetTarget *target = nullptr;
    std::string model;
    WeightVersion version{};
    bool isUnusable = false; ///< Whether the newest batch of the model requires a newer version.
};

// The number of engines of a model that its newest batch can use, and of those that have the
// desired version.
struct ModelEngineCounts
{
    std::size_t usable = 0;
    std::size_t upToDate = 0;
};

WeightVersion knownVersion(const WeightOrders &orders, const FleetTarget &target,
                           const std::string &model)
{
    const WeightVersion reported = versionOf(target.weights, model);
    const auto position = orders.engines.find(target.target.id);
    if (position == orders.engines.end())
        return reported;
    return std::max(reported, versionOf(position->second.confirmedWeights, model));
}

// Adds the engines of one service that lack the desired version of their assigned model. Those that
// the newest batch of their model cannot use come first, since an engine that is one version behind
// still serves while loads queue up. Within each of these two groups, engines of the model with the
// fewest usable or up-to-date engines come first, so that no model waits for all the loads of
// another.
void addLoadCandidates(const WeightOrders &orders, const Directory &directory,
                       const EngineAssignments &assignments, const ServiceName &service,
                       std::vector<LoadCandidate> &candidates)
{
    std::map<std::string, ModelEngineCounts> countsByModel;
    std::vector<LoadCandidate> outdated;
    for (const FleetTarget *target : servingTargets(*directory.targets, service)) {
        const auto model = assignments.find(target->target.id);
        if (model == assignments.end())
            continue;
        const WeightVersion desired = versionOf(*directory.desiredWeights, model->second);
        const WeightVersion known = knownVersion(orders, *target, model->second);
        const bool isUnusable = known < versionOf(*directory.minWeights, model->second);
        ModelEngineCounts &counts = countsByModel[model->second];
        counts.usable += isUnusable ? 0 : 1;
        if (known < desired)
            outdated.push_back({target, model->second, desired, isUnusable});
        else
            ++counts.upToDate;
    }
    const auto rankOf = [&](const LoadCandidate &candidate) {
        const ModelEngineCounts &counts = countsByModel.at(candidate.model);
        return std::tuple(!candidate.isUnusable,
                          candidate.isUnusable ? counts.usable : counts.upToDate);
    };
    std::stable_sort(outdated.begin(), outdated.end(),
                     [&](const auto &a, const auto &b) { return rankOf(a) < rankOf(b); });
    candidates.insert(candidates.end(), outdated.begin(), outdated.end());
}

std::vector<LoadCandidate> findLoadCandidates(const WeightOrders &orders,
                                              const Directory &directory,
                                              const EngineAssignments &assignments)
{
    std::vector<LoadCandidate> candidates;
    for (const RoutedService &service : directory.routing->services) {
        if (service.isEngine)
            addLoadCandidates(orders, directory, assignments, service.name, candidates);
    }
    return candidates;
}

std::size_t maxConcurrentLoads(const WeightOrders &orders, const Directory &directory)
{
    std::size_t engines = 0;
    for (const auto &[id, target] : *directory.targets)
        engines += target.weights.empty() ? 0 : 1;
    return std::max<std::size_t>(engines * orders.settings.maxLoadingPercent / 100,
                                 orders.settings.minLoadingLimit);
}

// Removes the orders of engines that have left or have been restarted.
void removeEndedEngines(WeightOrders &orders, const Directory &directory)
{
    std::erase_if(orders.engines, [&](const auto &entry) {
        const auto target = directory.targets->find(entry.first);
        return target == directory.targets->end()
               || target->second.startedAt != entry.second.startedAt;
    });
}

void requestState(EngineOrder &order, const Target &target, const WeightOrderSettings &settings,
                  Time now, std::vector<RequestEngineState> &actions)
{
    order.phase = EnginePhase::AwaitingState;
    order.due = now + settings.replyTimeout;
    actions.push_back(RequestEngineState{target});
}

} // namespace

std::vector<RequestEngineState> planOrders(WeightOrders &orders, const Directory &directory,
                                           const EngineAssignments &assignments, Time now)
{
    std::vector<RequestEngineState> actions;
    if (!directory.routing || !directory.targets || !directory.desiredWeights
        || !directory.minWeights)
        return actions;
    removeEndedEngines(orders, directory);
    std::size_t inProgress = 0;
    for (auto &[id, order] : orders.engines) {
        if (order.phase == EnginePhase::Idle)
            continue;
        ++inProgress;
        if (order.due <= now)
            requestState(order, directory.targets->at(id).target, orders.settings, now, actions);
    }
    const std::size_t maxLoads = maxConcurrentLoads(orders, directory);
    for (const LoadCandidate &candidate : findLoadCandidates(orders, directory, assignments)) {
        if (inProgress >= maxLoads)
            break;
        EngineOrder &order = orders.engines[candidate.target->target.id];
        order.startedAt = candidate.target->startedAt;
        if (order.phase != EnginePhase::Idle || order.due > now)
            continue;
        order.model = candidate.model;
        order.version = candidate.version;
        requestState(order, candidate.target->target, orders.settings, now, actions);
        ++inProgress;
    }
    return actions;
}

std::optional<SendWeightOrder> onEngineStateReceived(WeightOrders &orders,
                                                     const Directory &directory,
                                                     const TargetId &target,
                                                     const std::optional<EngineState> &state,
                                                     const LeadershipProof &proof, Time now)
{
    const auto position = orders.engines.find(target);
    if (position == orders.engines.end() || position->second.phase != EnginePhase::AwaitingState)
        return std::nullopt;
    EngineOrder &order = position->second;
    const auto known = directory.targets->find(target);
    if (!state || known == directory.targets->end()) {
        order.phase = EnginePhase::Idle;
        order.due = now + orders.settings.retryDelay;
        return std::nullopt;
    }
    for (const auto &[model, version] : state->weights)
        order.confirmedWeights[model] = std::max(order.confirmedWeights[model], version);
    if (state->loading) {
        order.phase = EnginePhase::Loading;
        order.due = now + orders.settings.loadPollPeriod;
        return std::nullopt;
    }
    order.version = std::max(order.version, versionOf(*directory.desiredWeights, order.model));
    if (versionOf(order.confirmedWeights, order.model) >= order.version) {
        order.phase = EnginePhase::Idle;
        order.due = now;
        return std::nullopt;
    }
    order.phase = EnginePhase::AwaitingReply;
    order.due = now + orders.settings.replyTimeout;
    return SendWeightOrder{known->second.target, order.model, order.version, proof,
                           state->acceptedOrders};
}

void onWeightOrderReply(WeightOrders &orders, const TargetId &target, WeightOrderReply reply,
                        Time now)
{
    const auto position = orders.engines.find(target);
    if (position == orders.engines.end() || position->second.phase != EnginePhase::AwaitingReply)
        return;
    EngineOrder &order = position->second;
    if (reply == WeightOrderReply::Accepted) {
        order.phase = EnginePhase::Loading;
        order.due = now + orders.settings.expectedLoadDuration;
        return;
    }
    if (reply == WeightOrderReply::AlreadyLoaded)
        order.confirmedWeights[order.model] =
                std::max(order.confirmedWeights[order.model], order.version);
    order.phase = EnginePhase::Idle;
    order.due = reply == WeightOrderReply::AlreadyLoaded ? now : now + orders.settings.retryDelay;
}

std::optional<Time> dueAt(const WeightOrders &orders)
{
    std::optional<Time> due;
    for (const auto &[id, order] : orders.engines) {
        if (order.phase != EnginePhase::Idle)
            due = std::min(due.value_or(order.due), order.due);
    }
    return due;
}

} // namespace geraniumpulley::core
