#include <geraniumpulley/core/fleet/presence.hpp>

#include <geraniumpulley/core/rendezvous.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumpulley::core {
namespace {

// A node with less than this share of the largest capacity owns work only when no other is left.
constexpr std::uint32_t leastCapacityPercent = 50;

bool isSilent(const Presence &presence, const KnownBeat &known, Time now)
{
    return now - known.heardAt > presence.settings.silenceLimit;
}

bool mayTakeOver(const Presence &presence, const KnownBeat &known, Time now)
{
    return !known.beat.leaving
           && (known.beat.node.id == presence.self || !isSilent(presence, known, now));
}

} // namespace

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
        if (mayTakeOver(presence, known, now))
            nodes.push_back(known.beat.node);
    }
    return nodes;
}

std::vector<Node> rankNodes(const Presence &presence, const std::string &key, Time now)
{
    std::vector<const NodeBeat *> beats;
    std::uint32_t largest = 0;
    for (const auto &[id, known] : presence.nodes) {
        if (!mayTakeOver(presence, known, now))
            continue;
        beats.push_back(&known.beat);
        largest = std::max(largest, known.beat.capacity);
    }
    const auto orderOf = [&](const NodeBeat &beat) {
        const bool isLarge = beat.capacity >= largest * leastCapacityPercent / 100;
        return std::tuple(!isLarge, ~rendezvousScore(key, beat.node.id.value), beat.node.id);
    };
    std::sort(beats.begin(), beats.end(),
              [&](const NodeBeat *a, const NodeBeat *b) { return orderOf(*a) < orderOf(*b); });
    std::vector<Node> nodes;
    nodes.reserve(beats.size());
    for (const NodeBeat *beat : beats)
        nodes.push_back(beat->node);
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
