#include <geraniumpulley/core/leader/target_orders.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

// The targets of one service in one data centre.
struct DataCentreTargets
{
    std::uint32_t reserved = 0; ///< Those that the provider may not take back.
    std::uint32_t reclaimable = 0;
};

struct ServiceTargets
{
    std::map<std::string, DataCentreTargets> dataCentres;
    std::uint32_t slots = 1; ///< Of the largest target.
};

ServiceTargets countTargets(const Directory &directory, const RoutedService &service)
{
    ServiceTargets counted;
    for (const auto &[dataCentre, price] : service.scaling->dataCentrePrices)
        counted.dataCentres[dataCentre];
    for (const FleetTarget *target : servingTargets(*directory.targets, service.name)) {
        DataCentreTargets &targets = counted.dataCentres[target->target.dataCentre];
        ++(target->isReclaimable ? targets.reclaimable : targets.reserved);
        counted.slots = std::max(counted.slots, target->slots);
    }
    return counted;
}

std::uint32_t currentDemand(const TargetOrders &orders, const ServiceName &service)
{
    std::uint32_t items = 0;
    for (const auto &[node, demand] : orders.demands) {
        const auto found = demand.report.services.find(service);
        if (found != demand.report.services.end())
            items += found->second.running + found->second.waiting;
    }
    return items;
}

// Returns the highest demand of the stabilization window.
std::uint32_t recordSample(TargetOrders &orders, const ServiceName &service, Time now)
{
    std::deque<DemandSample> &samples = orders.samples[service];
    samples.push_back({now, currentDemand(orders, service)});
    while (now - samples.front().at > orders.settings.stabilizationWindow)
        samples.pop_front();
    std::uint32_t peak = 0;
    for (const DemandSample &sample : samples)
        peak = std::max(peak, sample.items);
    return peak;
}

double priceOf(const ScalingLimits &scaling, const std::string &dataCentre)
{
    const auto price = scaling.dataCentrePrices.find(dataCentre);
    return price == scaling.dataCentrePrices.end() ? 1.0 : price->second;
}

bool canOrder(const TargetOrders &orders, const TargetGroup &group, Time now)
{
    const auto order = orders.groups.find(group);
    return order == orders.groups.end() || order->second.retryAt <= now;
}

// Distributes targets over the data centres. Each next one goes where the price, raised by what was
// placed there, is lowest, so that no data centre holds most of the targets.
std::map<std::string, std::uint32_t> distribute(const TargetOrders &orders,
                                                const RoutedService &service,
                                                const ServiceTargets &targets, std::uint32_t count,
                                                bool isReclaimable, Time now)
{
    std::map<std::string, std::uint32_t> placed;
    for (const auto &[dataCentre, present] : targets.dataCentres) {
        const std::uint32_t min = service.scaling->minTargets;
        const std::uint32_t missing = min > present.reserved ? min - present.reserved : 0;
        placed[dataCentre] = missing;
        count -= std::min(count, missing);
    }
    for (; count > 0; --count) {
        std::map<std::string, std::uint32_t>::iterator best = placed.end();
        double bestCost = 0;
        for (auto position = placed.begin(); position != placed.end(); ++position) {
            const DataCentreTargets &present = targets.dataCentres.at(position->first);
            const std::uint32_t taken = position->second + present.reserved;
            // What was placed before a refusal stays.
            const TargetGroup group{service.name, position->first, isReclaimable};
            const bool isAvailable =
                    position->second < present.reclaimable || canOrder(orders, group, now);
            if (taken >= service.scaling->maxTargets || !isAvailable)
                continue;
            const double cost = priceOf(*service.scaling, position->first)
                                * (position->second + orders.settings.spread);
            if (best == placed.end() || cost < bestCost) {
                best = position;
                bestCost = cost;
            }
        }
        if (best == placed.end())
            break;
        ++best->second;
    }
    return placed;
}

std::uint32_t orderedCount(const TargetOrders &orders, const TargetGroup &group,
                           std::uint32_t present)
{
    const auto order = orders.groups.find(group);
    return order == orders.groups.end() ? present : order->second.ordered.value_or(present);
}

// Returns the order that brings a group to `wanted` targets, if one is due.
std::optional<OrderTargets> orderGroup(TargetOrders &orders, const RoutedService &service,
                                       const TargetGroup &group, std::uint32_t wanted,
                                       std::uint32_t present, Time now)
{
    GroupOrder &order = orders.groups[group];
    if (order.inFlight || order.retryAt > now)
        return std::nullopt;
    const std::uint32_t known = order.ordered.value_or(present);
    const bool isMissing =
            order.ordered && present < wanted
            && now - order.acceptedAt > service.scaling->bootTime + orders.settings.bootMargin;
    if (wanted == known && !isMissing)
        return std::nullopt;
    order.inFlight = true;
    order.sent = wanted;
    return OrderTargets{group, wanted, {}, 0, present};
}

} // namespace

void recordDemand(TargetOrders &orders, const DemandReport &report, Time now)
{
    orders.demands.insert_or_assign(report.node, ReceivedDemand{report, now});
}

std::vector<OrderTargets> planTargetOrders(TargetOrders &orders, const Directory &directory,
                                           const LeadershipProof &proof, Time now)
{
    std::vector<OrderTargets> planned;
    if (now < orders.nextPlanAt)
        return planned;
    orders.nextPlanAt = now + orders.settings.planPeriod;
    if (!directory.routing || !directory.targetsKnown)
        return planned;
    std::erase_if(orders.demands, [&](const auto &entry) {
        return now - entry.second.receivedAt > orders.settings.demandValidity;
    });
    for (const RoutedService &service : directory.routing->services) {
        if (!service.scaling)
            continue;
        const std::uint32_t peak = recordSample(orders, service.name, now);
        const Time observedSince =
                orders.observedSince.try_emplace(service.name, now).first->second;
        const bool isNewTurn = now - observedSince < orders.settings.stabilizationWindow;
        const ServiceTargets targets = countTargets(directory, service);
        constexpr std::uint32_t percent = 100;
        const std::uint32_t slots = targets.slots * percent;
        const std::uint32_t needed = (peak * orders.settings.headroomPercent + slots - 1) / slots;
        std::uint32_t reserved = 0;
        std::uint32_t reclaimable = 0;
        for (const auto &[dataCentre, present] : targets.dataCentres) {
            reserved += present.reserved;
            reclaimable += present.reclaimable;
        }
        const bool isReclaimable = service.scaling->reclaimablePrice.has_value();
        // Targets that the provider may not take back are never ordered away: emptying one moves
        // its work, and their first number is the operators' choice.
        const std::uint32_t extra = needed > reserved ? needed - reserved : 0;
        const auto wanted = distribute(orders, service, targets, extra, isReclaimable, now);
        for (const auto &[dataCentre, count] : wanted) {
            const DataCentreTargets &present = targets.dataCentres.at(dataCentre);
            if (!isReclaimable && count == 0)
                continue;
            const std::uint32_t presentCount =
                    isReclaimable ? present.reclaimable : present.reserved;
            const TargetGroup group{service.name, dataCentre, isReclaimable};
            std::uint32_t total = isReclaimable ? count : count + present.reserved;
            // A leader that has not seen a whole stabilization window does not know the demand of
            // the last one. Targets that make up for others that cannot be had stay until the
            // others serve.
            if (isReclaimable && (isNewTurn || reclaimable < extra))
                total = std::max(total, orderedCount(orders, group, presentCount));
            auto order = orderGroup(orders, service, group, total, presentCount, now);
            if (!order)
                continue;
            order->proof = proof;
            order->demand = peak;
            planned.push_back(std::move(*order));
        }
    }
    return planned;
}

void onTargetsOrdered(TargetOrders &orders, const TargetGroup &group, ProviderReply reply, Time now)
{
    const auto position = orders.groups.find(group);
    if (position == orders.groups.end() || !std::exchange(position->second.inFlight, false))
        return;
    GroupOrder &order = position->second;
    switch (reply) {
    case ProviderReply::Accepted:
        order.ordered = order.sent;
        order.acceptedAt = now;
        return;
    case ProviderReply::Conflict:
        order.ordered.reset();
        order.retryAt = now + orders.settings.refusalPause;
        return;
    case ProviderReply::Throttled:
    case ProviderReply::Unanswered:
        // Whatever became of this call, the next order is compared with the targets that serve.
        order.ordered.reset();
        order.retryAt = now + orders.settings.retryDelay;
        return;
    }
}

void abandonOrders(TargetOrders &orders)
{
    orders.groups.clear();
    orders.samples.clear();
    orders.observedSince.clear();
}

bool scalesTargets(const RoutingTable &routing)
{
    return std::any_of(routing.services.begin(), routing.services.end(),
                       [](const RoutedService &service) { return service.scaling.has_value(); });
}

} // namespace geraniumpulley::core
