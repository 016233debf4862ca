#include "control_handlers.hpp"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace geraniumpulley::core::detail {
namespace {

// Each update is piggybacked on this many messages times the logarithm of the number of members,
// which reaches all of them with high probability (SWIM).
constexpr std::size_t retransmissionFactor = 3;
constexpr std::size_t maxLeavingTargetsPerMessage = 8;
constexpr std::uint64_t reconnectPeriodTicks = 5; // Ticks between two probes of dead nodes.

std::size_t transmissionsFor(const ControlState &state)
{
    return retransmissionFactor * static_cast<std::size_t>(std::bit_width(state.nodes.size() + 1));
}

// Implements xorshift64*: the core needs no library generator, and a seed reproduces a run.
std::uint64_t nextRandom(ControlState &state)
{
    std::uint64_t &x = state.randomState;
    x ^= x >> 12U;
    x ^= x << 25U;
    x ^= x >> 27U;
    return x * 0x2545F4914F6CDD1DULL;
}

void setState(ControlState &state, KnownNode &known, MemberState memberState, Time now)
{
    known.state = memberState;
    known.stateSince = now;
    known.probeSentAt.reset();
    known.remainingTransmissions = transmissionsFor(state);
}

void applySelfUpdate(ControlState &state, const MemberUpdate &update)
{
    const std::uint64_t own = state.settings.self.incarnation;
    if (update.node.incarnation > own) {
        state.replaced = true;
        state.leases.replaced = true;
        return;
    }
    const bool isSuspected = update.node.incarnation == own && update.state != MemberState::Alive
                             && update.refutation >= state.refutation;
    if (!isSuspected)
        return;
    state.refutation = update.refutation + 1;
    state.remainingSelfTransmissions = transmissionsFor(state);
}

bool isNewer(const MemberUpdate &update, const KnownNode &known)
{
    return std::tuple(update.node.incarnation, update.refutation, update.state)
           > std::tuple(known.node.incarnation, known.refutation, known.state);
}

bool applyUpdate(ControlState &state, const MemberUpdate &update, Time now)
{
    if (update.node.id == state.settings.self.id) {
        applySelfUpdate(state, update);
        return false;
    }
    const auto position = state.nodes.find(update.node.id);
    if (position == state.nodes.end()) {
        if (update.state == MemberState::Dead)
            return false;
        KnownNode &known = state.nodes[update.node.id];
        known.node = update.node;
        known.refutation = update.refutation;
        known.lastSeenAt = now;
        setState(state, known, update.state, now);
        return true;
    }
    KnownNode &known = position->second;
    if (!isNewer(update, known))
        return false;
    const bool changed =
            !(update.node == known.node) || isLive(known) != (update.state != MemberState::Dead);
    known.node = update.node;
    known.refutation = update.refutation;
    setState(state, known, update.state, now);
    return changed;
}

// A message from a suspected node clears the pending probe on this node only. The acknowledgement
// carries the suspicion to the node, whose refutation is then disseminated.
bool applySenderUpdate(ControlState &state, const Announcement &announcement, Time now)
{
    const MemberUpdate alive{announcement.sender, MemberState::Alive, announcement.refutation};
    const bool changed = applyUpdate(state, alive, now);
    const auto position = state.nodes.find(announcement.sender.id);
    if (position == state.nodes.end()
        || position->second.node.incarnation != announcement.sender.incarnation)
        return changed;
    KnownNode &known = position->second;
    known.lastSeenAt = now;
    known.probeSentAt.reset();
    known.version = std::max(known.version, announcement.version);
    return changed;
}

bool applyLeavingTargets(ControlState &state, const std::vector<TargetId> &leaving)
{
    bool changed = false;
    for (const TargetId &id : leaving) {
        if (!state.leavingTransmissions.emplace(id, transmissionsFor(state)).second)
            continue;
        for (Target &target : state.targets) {
            if (target.id == id && !std::exchange(target.leaving, true))
                changed = true;
        }
    }
    return changed;
}

std::vector<MemberUpdate> takeUpdates(ControlState &state)
{
    std::vector<MemberUpdate> updates;
    if (state.remainingSelfTransmissions > 0) {
        --state.remainingSelfTransmissions;
        updates.push_back({state.settings.self, MemberState::Alive, state.refutation});
    }
    for (auto &[id, known] : state.nodes) {
        if (updates.size() >= state.settings.maxUpdatesPerMessage)
            break;
        if (known.remainingTransmissions == 0)
            continue;
        --known.remainingTransmissions;
        updates.push_back({known.node, known.state, known.refutation});
    }
    return updates;
}

std::vector<TargetId> takeLeavingTargets(ControlState &state)
{
    std::vector<TargetId> taken;
    for (auto &[id, remainingTransmissions] : state.leavingTransmissions) {
        if (taken.size() >= maxLeavingTargetsPerMessage)
            break;
        if (remainingTransmissions == 0)
            continue;
        --remainingTransmissions;
        taken.push_back(id);
    }
    return taken;
}

// Returns the next node in a random order that differs between nodes. Each live node is probed once
// before any is probed again.
const KnownNode *nextToProbe(ControlState &state)
{
    for (int round = 0; round < 2; ++round) {
        while (!state.probeOrder.empty()) {
            const NodeId id = std::move(state.probeOrder.back());
            state.probeOrder.pop_back();
            const auto position = state.nodes.find(id);
            if (position != state.nodes.end() && isLive(position->second))
                return &position->second;
        }
        for (const auto &[id, known] : state.nodes)
            state.probeOrder.push_back(id);
        for (std::size_t i = state.probeOrder.size(); i > 1; --i)
            std::swap(state.probeOrder[i - 1], state.probeOrder[nextRandom(state) % i]);
    }
    return nullptr;
}

void probe(ControlState &state, const Node &node, ControlActions &actions)
{
    actions.push_back(SendAnnouncement{node, makeAnnouncement(state, AnnouncementKind::Probe)});
}

// After a network partition between regions, only a probe of the dead nodes detects their return.
void probeDead(ControlState &state, ControlActions &actions)
{
    std::vector<Node> dead;
    for (const auto &[id, known] : state.nodes) {
        if (!isLive(known))
            dead.push_back(known.node);
    }
    if (!dead.empty())
        probe(state, dead[nextRandom(state) % dead.size()], actions);
}

void probeSeeds(ControlState &state, ControlActions &actions)
{
    std::vector<std::string> unknown;
    for (const std::string &seed : state.settings.seeds) {
        const bool known =
                std::any_of(state.nodes.begin(), state.nodes.end(), [&](const auto &entry) {
                    return entry.second.node.address == seed && isLive(entry.second);
                });
        if (!known && seed != state.settings.self.address)
            unknown.push_back(seed);
    }
    if (!unknown.empty())
        probe(state, Node{{}, unknown[nextRandom(state) % unknown.size()], {}, 0}, actions);
}

} // namespace

bool isLive(const KnownNode &known)
{
    return known.state != MemberState::Dead;
}

std::vector<Node> selectRandomNodes(ControlState &state, std::size_t count,
                                    const std::optional<Node> &excluded)
{
    std::vector<Node> nodes;
    for (const auto &[id, known] : state.nodes) {
        if (isLive(known) && !(excluded && excluded->id == id))
            nodes.push_back(known.node);
    }
    const std::size_t picked = std::min(count, nodes.size());
    for (std::size_t i = 0; i < picked; ++i)
        std::swap(nodes[i], nodes[i + nextRandom(state) % (nodes.size() - i)]);
    nodes.resize(picked);
    return nodes;
}

Announcement makeAnnouncement(ControlState &state, AnnouncementKind kind)
{
    Announcement announcement;
    announcement.sender = state.settings.self;
    announcement.version = versionInForce(state);
    announcement.kind = kind;
    announcement.refutation = state.refutation;
    announcement.updates = takeUpdates(state);
    announcement.leavingTargets = takeLeavingTargets(state);
    return announcement;
}

bool onAnnouncementReceived(ControlState &state, const Announcement &announcement, Time now,
                            ControlActions &actions)
{
    if (announcement.sender.id == state.settings.self.id)
        return false;
    const bool isJoining = !state.nodes.contains(announcement.sender.id);
    bool changed = applySenderUpdate(state, announcement, now);
    for (const Node &node : announcement.nodes)
        changed = applyUpdate(state, {node, MemberState::Alive, 0}, now) || changed;
    for (const MemberUpdate &update : announcement.updates)
        changed = applyUpdate(state, update, now) || changed;
    changed = applyLeavingTargets(state, announcement.leavingTargets) || changed;
    if (announcement.kind == AnnouncementKind::Probe) {
        Announcement reply = makeAnnouncement(state, AnnouncementKind::Acknowledgement);
        for (const auto &[id, known] : state.nodes) {
            if (isJoining && isLive(known))
                reply.nodes.push_back(known.node);
        }
        // A sender that this node considers suspect or dead must learn of it to send a refutation.
        const KnownNode &sender = state.nodes[announcement.sender.id];
        if (sender.state != MemberState::Alive)
            reply.updates.push_back({sender.node, sender.state, sender.refutation});
        actions.push_back(SendAnnouncement{announcement.sender, std::move(reply)});
    }
    reconcileVersions(state, announcement.sender, announcement.version, actions);
    return changed;
}

bool expireMembers(ControlState &state, Time now)
{
    bool changed = false;
    for (auto &[id, known] : state.nodes) {
        if (known.state == MemberState::Alive && known.probeSentAt && now > *known.probeSentAt) {
            setState(state, known, MemberState::Suspect, now);
        } else if (known.state == MemberState::Suspect
                   && now - known.stateSince >= state.settings.suspicionTimeout) {
            setState(state, known, MemberState::Dead, now);
            changed = true;
        }
    }
    std::erase_if(state.nodes, [&](const auto &entry) {
        const KnownNode &known = entry.second;
        return !isLive(known) && now - known.stateSince >= state.settings.deadNodeRetention;
    });
    return changed;
}

void probeMembers(ControlState &state, Time now, ControlActions &actions)
{
    ++state.tickCount;
    if (const KnownNode *chosen = nextToProbe(state)) {
        KnownNode &known = state.nodes[chosen->node.id];
        known.probeSentAt = now;
        probe(state, known.node, actions);
    }
    if (state.tickCount % reconnectPeriodTicks == 0)
        probeDead(state, actions);
    probeSeeds(state, actions);
}

// The target list of the platform lags: a target that any node has seen leaving remains marked as
// leaving until the list no longer contains it.
bool onTargetsListed(ControlState &state, const std::vector<Target> &targets)
{
    std::vector<Target> merged = targets;
    std::map<TargetId, std::size_t> leaving;
    for (Target &target : merged) {
        const auto position = state.leavingTransmissions.find(target.id);
        if (position != state.leavingTransmissions.end())
            target.leaving = true;
        if (target.leaving)
            leaving.emplace(target.id, position == state.leavingTransmissions.end()
                                               ? transmissionsFor(state)
                                               : position->second);
    }
    state.leavingTransmissions = std::move(leaving);
    if (merged == state.targets)
        return false;
    state.targets = std::move(merged);
    return true;
}

} // namespace geraniumpulley::core::detail
