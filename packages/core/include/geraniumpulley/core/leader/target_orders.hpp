#pragma once

#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/leader/service_demand.hpp>
#include <geraniumpulley/core/leader/usage_reporter.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Orders of targets for services that state limits for scaling, sent by the leader.
///
/// The load that is answered: bursts of items that wait for slots, each some seconds long, and the
/// loss of all reclaimable targets of a data centre at once.
namespace geraniumpulley::core {

struct TargetOrderSettings
{
    /// How long a report of demand counts; owners report twice a second.
    Duration demandValidity = std::chrono::seconds(2);
    /// Orders fall only if the demand was lower for this long, so that waves of a few seconds,
    /// such as those of trainers' steps, change nothing.
    Duration stabilizationWindow = std::chrono::seconds(12);
    /// The slots that are ordered for each item, in percent: engines load weights and restart.
    std::uint32_t headroomPercent = 125;
    Duration planPeriod = std::chrono::milliseconds(500);
    /// How long no target is ordered where none could be had.
    Duration refusalPause = std::chrono::seconds(2);
    Duration retryDelay = std::chrono::milliseconds(600); ///< After a call without an answer.
    /// Added to the boot time of targets before missing ones are ordered again.
    Duration bootMargin = std::chrono::seconds(2);
    /// Orders go to the data centre with the lowest price times (targets placed there + spread):
    /// the lower, the more evenly they are distributed.
    std::uint32_t spread = 4;
};

/// The targets of one service and kind in one data centre.
struct TargetGroup
{
    ServiceName service;
    std::string dataCentre;
    bool isReclaimable = false; ///< Whether the provider may take the targets back.

    auto operator<=>(const TargetGroup &) const = default;
};

/// Orders the number of targets of a group.
struct OrderTargets
{
    TargetGroup group;
    std::uint32_t count = 0;
    LeadershipProof proof;
    // For the log.
    std::uint32_t demand = 0; ///< Items at the peak of the stabilization window.
    std::uint32_t present = 0; ///< Targets of the group that serve.
};

/// What is known of the orders of a group.
struct GroupOrder
{
    std::optional<std::uint32_t> ordered; ///< The last number that the provider has accepted.
    std::uint32_t sent = 0; ///< The number in the call in flight.
    bool inFlight = false;
    Time retryAt{};
    Time acceptedAt{};
};

struct ReceivedDemand
{
    DemandReport report;
    Time receivedAt{};
};

/// The demand of a service at one time.
struct DemandSample
{
    Time at{};
    std::uint32_t items = 0;
};

struct TargetOrders
{
    TargetOrderSettings settings;
    std::map<NodeId, ReceivedDemand> demands;
    std::map<ServiceName, std::deque<DemandSample>> samples;
    std::map<ServiceName, Time> observedSince; ///< The first sample of this node's turn.
    std::map<TargetGroup, GroupOrder> groups;
    Time nextPlanAt{};
};

void recordDemand(TargetOrders &orders, const DemandReport &report, Time now);

/// \return the orders that bring each service to the number of targets that its demand needs.
/// Called while this node may act as the leader. Complexity: linear in targets.
std::vector<OrderTargets> planTargetOrders(TargetOrders &orders, const Directory &directory,
                                           const LeadershipProof &proof, Time now);

void onTargetsOrdered(TargetOrders &orders, const TargetGroup &group, ProviderReply reply,
                      Time now);

/// Forgets the orders of this node's turn; the demand stays.
void abandonOrders(TargetOrders &orders);

/// \return whether a service states limits for scaling.
bool scalesTargets(const RoutingTable &routing);

} // namespace geraniumpulley::core
