#include <geraniumpulley/core/fleet/weight_orders.hpp>

#include <algorithm>
#include <tuple>

namespace geraniumpulley::core {
namespace {

struct EngineNeed
{
    const FleetTarget *target = nullptr;
    std::string model;
    WeightVersion version{};
    bool isTooOld = false; ///< For the newest batch of the model.
};

// Engines of a model that its newest batch may use, and those that have the desired version.
struct ModelState
{
    std::size_t usable = 0;
    std::size_t upToDate = 0;
};

WeightVersion knownVersion(const WeightOrders &orders, const FleetTarget &target,
                           const std::string &model)
{
    const WeightVersion told = versionOf(target.weights, model);
    const auto position = orders.engines.find(target.target.id);
    if (position == orders.engines.end())
        return told;
    return std::max(told, versionOf(position->second.weights, model));
}

// Engines of one service whose assigned model is behind. Those that the newest batch of their model
// cannot use come first: while loads queue up, an engine that is one version behind still serves.
// Then those of the model that is furthest from complete, so that no model waits for all the loads
// of another.
void addNeeds(const WeightOrders &orders, const Directory &directory, const ServiceName &service,
              std::vector<EngineNeed> &needs)
{
    const EngineShares &shares = *directory.shares;
    std::map<std::string, ModelState> models;
    std::vector<EngineNeed> behind;
    for (const FleetTarget *target : servingTargets(*directory.targets, service)) {
        const auto model = shares.find(target->target.id);
        if (model == shares.end())
            continue;
        const WeightVersion desired = versionOf(*directory.desiredWeights, model->second);
        const WeightVersion known = knownVersion(orders, *target, model->second);
        const bool isTooOld = known < versionOf(*directory.leastWeights, model->second);
        ModelState &state = models[model->second];
        state.usable += isTooOld ? 0 : 1;
        if (known < desired)
            behind.push_back({target, model->second, desired, isTooOld});
        else
            ++state.upToDate;
    }
    const auto orderOf = [&](const EngineNeed &need) {
        const ModelState &state = models.at(need.model);
        return std::tuple(!need.isTooOld, need.isTooOld ? state.usable : state.upToDate);
    };
    std::stable_sort(behind.begin(), behind.end(),
                     [&](const auto &a, const auto &b) { return orderOf(a) < orderOf(b); });
    needs.insert(needs.end(), behind.begin(), behind.end());
}

std::vector<EngineNeed> findNeeds(const WeightOrders &orders, const Directory &directory)
{
    std::vector<EngineNeed> needs;
    for (const RoutedService &service : directory.routing->services) {
        if (service.isEngine)
            addNeeds(orders, directory, service.name, needs);
    }
    return needs;
}

std::size_t loadsAllowed(const WeightOrders &orders, const Directory &directory)
{
    std::size_t engines = 0;
    for (const auto &[id, target] : *directory.targets)
        engines += target.weights.empty() ? 0 : 1;
    return std::max<std::size_t>(engines * orders.settings.loadingPercent / 100,
                                 orders.settings.leastLoading);
}

// Forgets engines that left, and what a former start of an engine had under way.
void forgetEnded(WeightOrders &orders, const Directory &directory)
{
    std::erase_if(orders.engines, [&](const auto &entry) {
        const auto target = directory.targets->find(entry.first);
        return target == directory.targets->end()
               || target->second.startedAt != entry.second.startedAt;
    });
}

void ask(EngineOrder &order, const Target &target, const WeightOrderSettings &settings, Time now,
         std::vector<AskEngineState> &actions)
{
    order.phase = EnginePhase::Asking;
    order.due = now + settings.answerLimit;
    actions.push_back(AskEngineState{target});
}

} // namespace

std::vector<AskEngineState> planOrders(WeightOrders &orders, const Directory &directory, Time now)
{
    std::vector<AskEngineState> actions;
    if (!directory.routing || !directory.targets || !directory.desiredWeights || !directory.shares
        || !directory.leastWeights)
        return actions;
    forgetEnded(orders, directory);
    std::size_t underWay = 0;
    for (auto &[id, order] : orders.engines) {
        if (order.phase == EnginePhase::Idle)
            continue;
        ++underWay;
        if (order.due <= now)
            ask(order, directory.targets->at(id).target, orders.settings, now, actions);
    }
    const std::size_t allowed = loadsAllowed(orders, directory);
    for (const EngineNeed &need : findNeeds(orders, directory)) {
        if (underWay >= allowed)
            break;
        EngineOrder &order = orders.engines[need.target->target.id];
        order.startedAt = need.target->startedAt;
        if (order.phase != EnginePhase::Idle || order.due > now)
            continue;
        order.model = need.model;
        order.version = need.version;
        ask(order, need.target->target, orders.settings, now, actions);
        ++underWay;
    }
    return actions;
}

std::optional<PlaceWeightOrder> noteEngineState(WeightOrders &orders, const Directory &directory,
                                                const TargetId &target,
                                                const std::optional<EngineState> &state,
                                                FencingNumber fence, Time now)
{
    const auto position = orders.engines.find(target);
    if (position == orders.engines.end() || position->second.phase != EnginePhase::Asking)
        return std::nullopt;
    EngineOrder &order = position->second;
    const auto known = directory.targets->find(target);
    if (!state || known == directory.targets->end()) {
        order.phase = EnginePhase::Idle;
        order.due = now + orders.settings.retryDelay;
        return std::nullopt;
    }
    for (const auto &[model, version] : state->weights)
        order.weights[model] = std::max(order.weights[model], version);
    if (state->loading) {
        order.phase = EnginePhase::Loading;
        order.due = now + orders.settings.checkPeriod;
        return std::nullopt;
    }
    order.version = std::max(order.version, versionOf(*directory.desiredWeights, order.model));
    if (versionOf(order.weights, order.model) >= order.version) {
        order.phase = EnginePhase::Idle;
        order.due = now;
        return std::nullopt;
    }
    order.phase = EnginePhase::Ordering;
    order.due = now + orders.settings.answerLimit;
    return PlaceWeightOrder{known->second.target, order.model, order.version, fence, state->orders};
}

void noteOrderReply(WeightOrders &orders, const TargetId &target, WeightOrderReply reply, Time now)
{
    const auto position = orders.engines.find(target);
    if (position == orders.engines.end() || position->second.phase != EnginePhase::Ordering)
        return;
    EngineOrder &order = position->second;
    if (reply == WeightOrderReply::Accepted) {
        order.phase = EnginePhase::Loading;
        order.due = now + orders.settings.loadTime;
        return;
    }
    if (reply == WeightOrderReply::Holds)
        order.weights[order.model] = std::max(order.weights[order.model], order.version);
    order.phase = EnginePhase::Idle;
    order.due = reply == WeightOrderReply::Holds ? now : now + orders.settings.retryDelay;
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
