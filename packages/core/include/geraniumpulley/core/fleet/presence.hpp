#pragma once

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Failure detection between nodes, by the heartbeats that they write to the table service.
namespace geraniumpulley::core {

/// A node's heartbeat row.
struct NodeHeartbeat
{
    Node node;
    std::uint64_t counter = 0; ///< A number that rises with each heartbeat of one incarnation.
    bool leaving = false; ///< Whether the node is shutting down and takes over no work.
    /// The CPU capacity in thousandths of a core; 0 if unknown.
    std::uint32_t capacityMillicores = 0;
    bool reachesTargets = true; ///< Whether the node can open connections to targets.

    bool operator==(const NodeHeartbeat &) const = default;
};

struct PresenceSettings
{
    /// The time between two heartbeats of a node.
    Duration heartbeatPeriod = std::chrono::milliseconds(600);
    /// The time without a heartbeat after which a node counts as dead. It covers three heartbeats,
    /// so that a node outlasts one lost write, and is short enough for a takeover within 4 s.
    Duration heartbeatTimeout = std::chrono::milliseconds(2000);
    /// The time without a heartbeat of its own after which a node declares no other node dead: its
    /// view of the table may be out of date.
    Duration ownHeartbeatTimeout = std::chrono::milliseconds(1200);
};

struct ReceivedHeartbeat
{
    NodeHeartbeat heartbeat;
    Time receivedAt{};
};

/// The heartbeats that one node has received from all nodes, itself included.
struct Presence
{
    NodeId self;
    PresenceSettings settings;
    std::map<NodeId, ReceivedHeartbeat> nodes;
    Time observingSince{};
    Time ownHeartbeatReceivedAt{};
};

Presence makePresence(NodeId self, PresenceSettings settings, Time now);

/// Records a heartbeat row. The first own heartbeat after a stale feed restarts the timeouts of all
/// nodes.
void recordHeartbeat(Presence &presence, const NodeHeartbeat &heartbeat, Time now);

/// \return whether own heartbeats have been missing for so long that missing heartbeats of other
/// nodes do not show that those are dead.
bool isFeedStale(const Presence &presence, Time now);

/// \return whether that incarnation of a node has been replaced by a newer one, or has sent no
/// heartbeat within the timeout.
bool isDead(const Presence &presence, const NodeId &node, std::uint64_t incarnation, Time now);

/// \return the nodes that can take over work, ordered by id.
std::vector<Node> liveNodes(const Presence &presence, Time now);

/// \return the live nodes but this one that reach targets, ordered by id.
std::vector<Node> peersThatReachTargets(const Presence &presence, Time now);

/// \return the live nodes in the order in which they take over the work of a key: by rendezvous
/// hashing, with nodes of low CPU capacity behind the others, and those that reach no target last.
std::vector<Node> rankNodes(const Presence &presence, const std::string &key, Time now);

/// \return this node's index in the result of `rankNodes`.
std::size_t takeoverRank(const Presence &presence, const std::string &key, Time now);

} // namespace geraniumpulley::core
