#pragma once

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Which nodes are alive, judged by the heartbeats that they write to the table service.
namespace geraniumpulley::core {

/// A node's heartbeat row.
struct NodeBeat
{
    Node node;
    std::uint64_t counter = 0; ///< Rises with each beat of one incarnation.
    bool leaving = false; ///< The node stops and takes no work over.
    std::uint32_t capacity = 0; ///< Processor time in thousandths of a core; 0 when not known.

    bool operator==(const NodeBeat &) const = default;
};

struct PresenceSettings
{
    /// Between two beats of a node.
    Duration beatPeriod = std::chrono::milliseconds(600);
    /// Silence after which a node counts as gone. Three beats, so that one lost call is borne, and
    /// short enough that work is taken over within 4 s.
    Duration silenceLimit = std::chrono::milliseconds(2000);
    /// Without a beat of its own a node takes nobody else's silence as a sign.
    Duration deafLimit = std::chrono::milliseconds(1200);
};

struct KnownBeat
{
    NodeBeat beat;
    Time heardAt{};
};

/// What one node has heard of all nodes, itself included.
struct Presence
{
    NodeId self;
    PresenceSettings settings;
    std::map<NodeId, KnownBeat> nodes;
    Time observingSince{};
    Time ownBeatHeard{};
};

Presence makePresence(NodeId self, PresenceSettings settings, Time now);

/// Takes a heartbeat row. After a time without own beats the silence of the others starts anew.
void noteBeat(Presence &presence, const NodeBeat &beat, Time now);

/// \return whether own beats have been missing for so long that silence tells nothing.
bool isDeaf(const Presence &presence, Time now);

/// \return whether that start of a node is known to have ended, or has been silent for too long.
bool isGone(const Presence &presence, const NodeId &node, std::uint64_t incarnation, Time now);

/// \return the nodes that may take work over, in order of their ids.
std::vector<Node> liveNodes(const Presence &presence, Time now);

/// \return the same nodes in the order in which they should take a piece of work: those with little
/// processor time last, and otherwise in an order of the key's own.
std::vector<Node> rankNodes(const Presence &presence, const std::string &key, Time now);

/// \return this node's place in that order, 0 for the first.
std::size_t takeoverRank(const Presence &presence, const std::string &key, Time now);

} // namespace geraniumpulley::core
