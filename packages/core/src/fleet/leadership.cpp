#include <geraniumpulley/core/fleet/leadership.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {

// Reads of the store are linearizable, so a read that finds this node as the holder shows that any
// takeover is later than the time at which the read was sent. The new holder waits for
// `leaseDuration` after its takeover. Heartbeats do not count: an accepted one shows that the other
// nodes see this node from then on, but not that none has taken over before.
std::optional<LeadershipProof> proofOf(const Leadership &leadership, Time now)
{
    if (!leadership.isHeldHere || now < leadership.actsFrom || now >= leadership.provenUntil)
        return std::nullopt;
    return LeadershipProof{leadership.fence, leadership.provenUntil};
}

LeadershipState makeLeadership(NodeId self, std::uint64_t incarnation, Duration leaseDuration)
{
    constexpr int maxChecksPerLease = 6;
    LeadershipState state;
    state.self = std::move(self);
    state.incarnation = incarnation;
    LeadershipSettings &settings = state.settings;
    settings.leaseDuration = leaseDuration;
    settings.transitMargin = std::min(settings.transitMargin, leaseDuration / maxChecksPerLease);
    settings.checkPeriod = std::min(settings.checkPeriod, leaseDuration / maxChecksPerLease);
    return state;
}

bool holdsLease(const LeadershipState &state)
{
    return state.lease.holder == state.self && state.lease.incarnation == state.incarnation;
}

// A new holder waits also after a release and after an earlier process of its own, since the holder
// before may still be acting. It does not wait if that earlier process had begun to act, and has
// thus waited itself. The first holder ever has nobody to wait for: its write was conditional on
// the absence of the row.
bool recordLease(LeadershipState &state, const WeightOrderLease &lease, Time now)
{
    if (lease.version <= state.lease.version)
        return false;
    const bool isFirstHolder = state.lease.version == RowVersion{};
    const bool wasActingHere =
            state.lease.holder == state.self && state.versionInUse == state.lease.version;
    state.lease = lease;
    state.confirmedAt.reset();
    state.nextCheckAt = now;
    if (holdsLease(state))
        state.actsFrom = isFirstHolder || wasActingHere ? now : now + state.settings.leaseDuration;
    return true;
}

bool recordLeaseCheck(LeadershipState &state, const LeaseChecked &check, Time now)
{
    state.checkInFlight = false;
    const bool isNewer = check.succeeded && recordLease(state, check.lease, now);
    const bool counts = check.succeeded && check.sentAt > state.checksCountAfter;
    state.nextCheckAt =
            now + (counts ? state.settings.checkPeriod : state.settings.checkRetryDelay);
    if (counts && holdsLease(state) && check.lease.version == state.lease.version)
        state.confirmedAt = check.sentAt;
    return isNewer;
}

void requireLeaseCheck(LeadershipState &state, Time now)
{
    state.confirmedAt.reset();
    state.checksCountAfter = now;
    state.nextCheckAt = now;
}

std::optional<CheckLease> nextLeaseCheck(LeadershipState &state, Time now)
{
    const auto due = leaseCheckDueAt(state);
    if (!due || *due > now)
        return std::nullopt;
    state.checkInFlight = true;
    return CheckLease{};
}

std::optional<Time> leaseCheckDueAt(const LeadershipState &state)
{
    if (!holdsLease(state) || state.checkInFlight)
        return std::nullopt;
    return state.nextCheckAt;
}

void recordLeaseInUse(LeadershipState &state, const LeaseInUse &row)
{
    state.versionInUse = std::max(state.versionInUse, row.lease);
}

std::optional<LeaseInUse> nextUseWrite(LeadershipState &state, Time now)
{
    if (state.versionInUse == state.lease.version || now < state.nextUseWriteAt)
        return std::nullopt;
    state.nextUseWriteAt = now + state.settings.useWritePeriod;
    return LeaseInUse{state.lease.version};
}

Leadership leadershipOf(const LeadershipState &state)
{
    Leadership leadership{state.lease.holder,
                          holdsLease(state),
                          static_cast<FencingToken>(state.lease.version),
                          state.actsFrom,
                          {}};
    const LeadershipSettings &settings = state.settings;
    if (leadership.isHeldHere && state.confirmedAt)
        leadership.provenUntil =
                *state.confirmedAt + settings.leaseDuration - settings.transitMargin;
    return leadership;
}

} // namespace geraniumpulley::core
