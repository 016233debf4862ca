#include <geraniumpulley/core/fleet/presence.hpp>

#include <geraniumpulley/core/rendezvous.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumpulley::core {
namespace {

// A node with less than this share of the largest CPU capacity takes over work only if no larger
// node is live.
constexpr std::uint32_t minCapacityPercent = 50;

bool isTimedOut(const Presence &presence, const ReceivedHeartbeat &known, Time now)
{
    return now - known.receivedAt > presence.settings.heartbeatTimeout;
}

bool canTakeOver(const Presence &presence, const ReceivedHeartbeat &known, Time now)
{
    return !known.heartbeat.leaving
           && (known.heartbeat.node.id == presence.self || !isTimedOut(presence, known, now));
}

} // namespace

Presence makePresence(NodeId self, PresenceSettings settings, Time now)
{
    return {std::move(self), settings, {}, now, now};
}

void recordHeartbeat(Presence &presence, const NodeHeartbeat &heartbeat, Time now)
{
    if (heartbeat.node.id == presence.self) {
        if (isFeedStale(presence, now)) {
            presence.observingSince = now;
            for (auto &[id, known] : presence.nodes)
                known.receivedAt = now;
        }
        presence.ownHeartbeatReceivedAt = now;
    }
    const auto position = presence.nodes.find(heartbeat.node.id);
    if (position == presence.nodes.end()) {
        presence.nodes.emplace(heartbeat.node.id, ReceivedHeartbeat{heartbeat, now});
        return;
    }
    ReceivedHeartbeat &known = position->second;
    const auto sequence = [](const NodeHeartbeat &candidate) {
        return std::pair(candidate.node.incarnation, candidate.counter);
    };
    if (sequence(heartbeat) > sequence(known.heartbeat))
        known = {heartbeat, now};
}

bool isFeedStale(const Presence &presence, Time now)
{
    return now - presence.ownHeartbeatReceivedAt > presence.settings.ownHeartbeatTimeout;
}

bool isDead(const Presence &presence, const NodeId &node, std::uint64_t incarnation, Time now)
{
    const auto position = presence.nodes.find(node);
    if (position != presence.nodes.end()
        && position->second.heartbeat.node.incarnation > incarnation)
        return true;
    if (isFeedStale(presence, now))
        return false;
    const Time receivedAt = position == presence.nodes.end() ? presence.observingSince
                                                             : position->second.receivedAt;
    return now - receivedAt > presence.settings.heartbeatTimeout;
}

std::vector<Node> liveNodes(const Presence &presence, Time now)
{
    std::vector<Node> nodes;
    for (const auto &[id, known] : presence.nodes) {
        if (canTakeOver(presence, known, now))
            nodes.push_back(known.heartbeat.node);
    }
    return nodes;
}

std::vector<Node> peersThatReachTargets(const Presence &presence, Time now)
{
    std::vector<Node> nodes;
    for (const auto &[id, known] : presence.nodes) {
        if (id != presence.self && known.heartbeat.reachesTargets
            && canTakeOver(presence, known, now))
            nodes.push_back(known.heartbeat.node);
    }
    return nodes;
}

std::vector<Node> rankNodes(const Presence &presence, const std::string &key, Time now)
{
    std::vector<const NodeHeartbeat *> heartbeats;
    std::uint32_t maxCapacity = 0;
    for (const auto &[id, known] : presence.nodes) {
        if (!canTakeOver(presence, known, now))
            continue;
        heartbeats.push_back(&known.heartbeat);
        maxCapacity = std::max(maxCapacity, known.heartbeat.capacityMillicores);
    }
    const auto rankOf = [&](const NodeHeartbeat &heartbeat) {
        const bool isLarge = heartbeat.capacityMillicores >= maxCapacity * minCapacityPercent / 100;
        return std::tuple(!heartbeat.reachesTargets, !isLarge,
                          ~rendezvousScore(key, heartbeat.node.id.value), heartbeat.node.id);
    };
    std::sort(heartbeats.begin(), heartbeats.end(),
              [&](const NodeHeartbeat *a, const NodeHeartbeat *b) {
                  return rankOf(*a) < rankOf(*b);
              });
    std::vector<Node> nodes;
    nodes.reserve(heartbeats.size());
    for (const NodeHeartbeat *heartbeat : heartbeats)
        nodes.push_back(heartbeat->node);
    return nodes;
}

std::size_t takeoverRank(const Presence &presence, const std::string &key, Time now)
{
    const std::vector<Node> nodes = rankNodes(presence, key, now);
    const auto self = std::find_if(nodes.begin(), nodes.end(),
                                   [&](const Node &node) { return node.id == presence.self; });
    return static_cast<std::size_t>(self - nodes.begin());
}

} // namespace geraniumpulley::core
