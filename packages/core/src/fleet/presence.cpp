#include <geraniumpulley/core/fleet/presence.hpp>

#include <utility>

namespace geraniumpulley::core {

Presence makePresence(NodeId self, PresenceSettings settings, Time now)
{
    return {std::move(self), settings, {}, now, now};
}

void noteBeat(Presence &presence, const NodeBeat &beat, Time now)
{
    if (beat.node.id == presence.self) {
        if (isDeaf(presence, now)) {
            presence.observingSince = now;
            for (auto &[id, known] : presence.nodes)
                known.heardAt = now;
        }
        presence.ownBeatHeard = now;
    }
    const auto position = presence.nodes.find(beat.node.id);
    if (position == presence.nodes.end()) {
        presence.nodes.emplace(beat.node.id, KnownBeat{beat, now});
        return;
    }
    KnownBeat &known = position->second;
    const auto age = [](const NodeBeat &some) {
        return std::pair(some.node.incarnation, some.counter);
    };
    if (age(beat) > age(known.beat))
        known = {beat, now};
}

bool isDeaf(const Presence &presence, Time now)
{
    return now - presence.ownBeatHeard > presence.settings.deafLimit;
}

bool isGone(const Presence &presence, const NodeId &node, std::uint64_t incarnation, Time now)
{
    const auto position = presence.nodes.find(node);
    if (position != presence.nodes.end() && position->second.beat.node.incarnation > incarnation)
        return true;
    if (isDeaf(presence, now))
        return false;
    const Time heardAt =
            position == presence.nodes.end() ? presence.observingSince : position->second.heardAt;
    return now - heardAt > presence.settings.silenceLimit;
}

std::vector<Node> liveNodes(const Presence &presence, Time now)
{
    std::vector<Node> nodes;
    for (const auto &[id, known] : presence.nodes) {
        const bool isSilent = now - known.heardAt > presence.settings.silenceLimit;
        if (!known.beat.leaving && (id == presence.self || !isSilent))
            nodes.push_back(known.beat.node);
    }
    return nodes;
}

} // namespace geraniumpulley::core
