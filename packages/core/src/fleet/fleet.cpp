#include <geraniumpulley/core/fleet/fleet.hpp>

#include "fleet_rows.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Actions = std::vector<FleetAction>;

// Key by which the nodes are ranked for the takeover of the lease.
constexpr const char *leaseRankKey = "weight-orders";

// Changes of routing and batches have to arrive quickly, so their feeds are long polls with hardly
// any delay between them. Targets change with each heartbeat, so their feed is polled with a delay,
// at any size shorter than the time in which a target that leaves has to get no more work.
constexpr FollowerSettings routingFollowerSettings{std::chrono::milliseconds(50),
                                                   std::chrono::milliseconds(1000),
                                                   std::chrono::milliseconds(1200)};
constexpr FollowerSettings targetsFollowerSettings{std::chrono::milliseconds(400), Duration{},
                                                   std::chrono::milliseconds(1500),
                                                   std::chrono::milliseconds(1400)};
// A heartbeat is received at most 0.6 s + 0.7 s after the one before: the heartbeat period plus the
// maximum read delay. This is less than the heartbeat timeout.
constexpr FollowerSettings nodesFollowerSettings{std::chrono::milliseconds(350), Duration{},
                                                 Duration{}, std::chrono::milliseconds(700)};
constexpr FollowerSettings batchesFollowerSettings{std::chrono::milliseconds(50),
                                                   std::chrono::milliseconds(1000),
                                                   std::chrono::milliseconds(2000)};

Leadership leadershipOf(const FleetState &state)
{
    Leadership leadership = leadershipOf(state.leadership);
    leadership.isHeldHere = leadership.isHeldHere && !state.draining;
    return leadership;
}

// Keeps the object of the last snapshot if the value is the same.
template<typename Map>
void replaceIfChanged(std::shared_ptr<const Map> &part, const Map &value)
{
    if (*part != value)
        part = std::make_shared<Map>(value);
}

struct Handler
{
    FleetState &state;
    Time now;
    Actions actions;

    void operator()(const TableReadCompleted &event)
    {
        const Duration failedFor = recordReadCompleted(this->follower(event.table), event.isFull,
                                                       event.upTo, this->now);
        if (event.table == FleetTable::Routing)
            this->state.published.routingReadAt = this->now;
        if (event.table == FleetTable::Targets) {
            this->state.published.targetsReadAt = this->now;
            if (failedFor >= this->state.settings.minLapseOutage)
                this->state.lapseOutageEndedAt = this->now;
        }
        if (event.storeClock > Duration{})
            recordStoreTime(this->state.storeClock, event.storeClock, this->now);
        applyRows(this->state, event, this->now);
    }

    void operator()(const TableReadFailed &event)
    {
        recordFailure(this->follower(event.table), event.historyGone, this->now);
        if (event.table == FleetTable::Targets && !event.historyGone)
            this->state.targetsReadFailedAt = this->now;
    }

    // The copy of a peer can be older than the store, so it is used only for tables that this node
    // has not read at all.
    void operator()(const PeerTablesReceived &event)
    {
        for (const TableReadCompleted &read : event.tables) {
            const bool isKnown = read.table == FleetTable::Routing ? this->state.routing != nullptr
                                                                   : this->state.targetsKnown;
            if (isKnown || read.rows.empty())
                continue;
            applyRows(this->state, read, this->now);
            if (read.table == FleetTable::Targets)
                this->state.targetsKnown = true;
            this->state.contentChanged = true;
        }
    }

    void operator()(const HeartbeatWriteCompleted &event)
    {
        FleetState &state = this->state;
        state.heartbeatInFlight = false;
        state.presenceChanged = true;
        if (!event.succeeded)
            return;
        state.ownershipValidUntil = event.sentAt + state.settings.ownershipValidity;
    }

    void operator()(const WeightOrderLeaseWriteCompleted &event)
    {
        FleetState &state = this->state;
        state.leaseWriteInFlight = false;
        state.leaseRetryAt = this->now + state.settings.leaseRetryDelay;
        if (event.outcome == StoreOutcome::Conflict)
            this->follower(FleetTable::Batches).fullReadPending = true;
        if (event.outcome != StoreOutcome::Committed)
            return;
        WeightOrderLease written{state.settings.self.id, state.settings.self.incarnation,
                                 event.version};
        if (state.leaseReleaseInFlight)
            written = {{}, 0, event.version};
        noteLease(state, written, this->now);
    }

    void operator()(const LeaseChecked &event)
    {
        if (recordLeaseCheck(this->state.leadership, event, this->now))
            this->state.weightOrders.engines.clear();
    }

    void operator()(const EngineStateReceived &event)
    {
        const auto proof = weightOrderProof(this->state, this->now);
        if (!proof)
            return;
        const auto order = onEngineStateReceived(this->state.weightOrders, this->state.published,
                                                 event.target, event.state, *proof, this->now);
        if (order)
            this->actions.emplace_back(*order);
    }

    void operator()(const WeightOrderReplyReceived &event)
    {
        onWeightOrderReply(this->state.weightOrders, event.target, event.reply, this->now);
        if (event.reply == WeightOrderReply::StaleFencingToken)
            requireLeaseCheck(this->state.leadership, this->now);
    }

    void operator()(const MachineSuspended &)
    {
        requireLeaseCheck(this->state.leadership, this->now);
        this->state.ownershipValidUntil = {};
        this->state.published.targetsReadAt.reset();
        this->state.published.routingReadAt.reset();
        this->state.nextHeartbeatAt = this->now;
        this->state.presenceChanged = true;
    }

    void operator()(const TargetLeavingStated &event)
    {
        const auto known = this->state.targets.find(event.target);
        if (known == this->state.targets.end())
            return;
        const std::uint64_t startedAt = known->second.target->startedAt;
        const auto [position, isNew] =
                this->state.leavingTargets.try_emplace(event.target, startedAt);
        if (!isNew && position->second == startedAt)
            return;
        position->second = startedAt;
        this->state.contentChanged = true;
        this->state.targetsChanged = true;
    }

    void operator()(const TargetReachChanged &event)
    {
        this->state.reachesTargets = event.reachesTargets;
        this->state.nextHeartbeatAt = this->now;
        this->state.contentChanged = true;
    }

    void operator()(const FleetDraining &)
    {
        this->state.draining = true;
        this->state.nextHeartbeatAt = this->now;
    }

    void operator()(const FleetTick &) { }

    // Runs after each event and performs all actions that have become due.
    void advance()
    {
        this->readTables();
        this->requestPeerTables();
        this->writeHeartbeat();
        removeLapsedTargets(this->state, this->now);
        this->advanceLease();
        this->checkLease();
        this->writeLeaseInUse();
        this->publish();
        if (!weightOrderProof(this->state, this->now))
            return;
        const EngineAssignments &assignments =
                assignmentsFor(this->state.assignments, this->state.published);
        for (const RequestEngineState &request :
             planOrders(this->state.weightOrders, this->state.published, assignments, this->now))
            this->actions.emplace_back(request);
    }

    TableFollower &follower(FleetTable table)
    {
        return this->state.followers[static_cast<std::size_t>(table)];
    }

    void readTables()
    {
        for (std::size_t i = 0; i < fleetTableCount; ++i) {
            const auto table = static_cast<FleetTable>(i);
            const auto read = nextRead(this->state.followers[i], this->now);
            if (!read)
                continue;
            if (const auto *changes = std::get_if<ReadTableChanges>(&*read))
                this->actions.emplace_back(
                        FollowTable{table, changes->after, changes->pollTimeout});
            else
                this->actions.emplace_back(ReadTable{table});
        }
    }

    void requestPeerTables()
    {
        FleetState &state = this->state;
        const bool knowsAll = state.routing && state.targetsKnown;
        const bool isFailing = this->follower(FleetTable::Routing).failures > 0
                               || this->follower(FleetTable::Targets).failures > 0;
        if (knowsAll || !isFailing || this->now < state.nextPeerRequestAt)
            return;
        state.nextPeerRequestAt = this->now + state.settings.peerRequestPeriod;
        this->actions.emplace_back(RequestPeerTables{});
    }

    void writeHeartbeat()
    {
        FleetState &state = this->state;
        if (state.heartbeatInFlight || this->now < state.nextHeartbeatAt)
            return;
        state.heartbeatInFlight = true;
        state.nextHeartbeatAt = this->now + state.settings.presence.heartbeatPeriod;
        ++state.heartbeatCounter;
        this->actions.emplace_back(
                WriteHeartbeat{{state.settings.self, state.heartbeatCounter, state.draining,
                                state.settings.capacityMillicores, state.reachesTargets}});
    }

    // Acquires the lease if no live node holds it, and releases it when this node drains.
    void advanceLease()
    {
        FleetState &state = this->state;
        // Until a node reads back its own heartbeat, it does not know which other nodes are alive.
        const bool isFeedRead = state.presence.nodes.count(state.settings.self.id) != 0;
        if (!state.batchesKnown || !isFeedRead || state.leaseWriteInFlight
            || this->now < state.leaseRetryAt)
            return;
        // While no node reaches a target, the holder keeps the lease.
        const bool isCutOff =
                !state.reachesTargets && !peersThatReachTargets(state.presence, this->now).empty();
        if (holdsLease(state.leadership)) {
            if (state.draining || isCutOff)
                this->writeLease({{}, 0, {}});
            return;
        }
        const WeightOrderLease &lease = state.leadership.lease;
        const bool isLeaseFree =
                lease.holder.value.empty()
                || isDead(state.presence, lease.holder, lease.incarnation, this->now);
        if (!isLeaseFree || state.draining || isCutOff) {
            state.leaseFreeSince.reset();
            return;
        }
        if (!state.leaseFreeSince)
            state.leaseFreeSince = this->now;
        const std::size_t rank = takeoverRank(state.presence, leaseRankKey, this->now);
        if (this->now - *state.leaseFreeSince >= state.settings.takeoverDelayPerRank * rank)
            this->writeLease({state.settings.self.id, state.settings.self.incarnation, {}});
    }

    // A release may be carried out although its answer is lost, so that this node does not act
    // again before a check shows that it has not been.
    void writeLease(WeightOrderLease lease)
    {
        this->state.leaseWriteInFlight = true;
        this->state.leaseReleaseInFlight = lease.holder.value.empty();
        if (this->state.leaseReleaseInFlight)
            requireLeaseCheck(this->state.leadership, this->now);
        this->actions.emplace_back(
                WriteWeightOrderLease{std::move(lease), this->state.leadership.lease.version});
    }

    void checkLease()
    {
        FleetState &state = this->state;
        if (state.draining || state.leaseWriteInFlight)
            return;
        if (const auto check = nextLeaseCheck(state.leadership, this->now))
            this->actions.emplace_back(*check);
    }

    // Its answer is not needed: the table shows the row.
    void writeLeaseInUse()
    {
        FleetState &state = this->state;
        if (!proofOf(leadershipOf(state), this->now))
            return;
        if (const auto row = nextUseWrite(state.leadership, this->now))
            this->actions.emplace_back(WriteLeaseInUse{*row});
    }

    void publish()
    {
        FleetState &state = this->state;
        const Leadership leadership = leadershipOf(state);
        if (!state.contentChanged && !state.presenceChanged
            && leadership == state.published.leadership)
            return;
        Directory &next = state.published;
        next.leadership = leadership;
        next.routing = state.routing;
        next.targetsKnown = state.targetsKnown;
        if (state.targetsChanged)
            next.targets = this->copyTargets();
        if (state.contentChanged) {
            replaceIfChanged(next.desiredWeights, state.desiredWeights);
            replaceIfChanged(next.minWeights, minWeightsOf(state.batches));
            replaceIfChanged(next.modelWork, meanBatchWork(state.batches));
            if (state.batchesKnown)
                next.batches = std::make_shared<BatchMap>(state.batches);
        }
        if (state.crashesChanged)
            next.crashes = this->copyCrashes();
        next.presence = state.presence;
        if (state.presenceChanged)
            this->updateReadPeriods();
        next.reachesTargets = state.reachesTargets;
        next.ownershipValidUntil = state.ownershipValidUntil;
        next.storeClockOffset = offsetOf(state.storeClock);
        this->actions.emplace_back(
                PublishDirectory{std::make_shared<Directory>(next), state.contentChanged});
        state.contentChanged = false;
        state.targetsChanged = false;
        state.crashesChanged = false;
        state.presenceChanged = false;
    }

    void updateReadPeriods()
    {
        const double periodFactor =
                periodFactorFor(liveNodes(this->state.presence, this->now).size());
        for (TableFollower &follower : this->state.followers)
            follower.periodFactor = periodFactor;
    }

    [[nodiscard]] std::shared_ptr<const TargetMap> copyTargets() const
    {
        auto targets = std::make_shared<TargetMap>();
        for (const auto &[id, known] : this->state.targets) {
            const auto copy = targets->emplace_hint(targets->end(), id, *known.target);
            const auto leaving = this->state.leavingTargets.find(id);
            if (leaving != this->state.leavingTargets.end()
                && leaving->second == known.target->startedAt)
                copy->second.target.leaving = true;
        }
        return targets;
    }

    [[nodiscard]] std::shared_ptr<const CrashLog> copyCrashes() const
    {
        auto log = std::make_shared<CrashLog>();
        for (const auto &[key, record] : this->state.crashRecords)
            (*log)[record.request][record.crashed] = record.expiresAt;
        return log;
    }
};

} // namespace

FleetState makeFleetState(FleetSettings settings, Time now)
{
    FleetState state;
    state.presence = makePresence(settings.self.id, settings.presence, now);
    state.leadership =
            makeLeadership(settings.self.id, settings.self.incarnation, settings.leaseDuration);
    state.settings = std::move(settings);
    const std::array<FollowerSettings, fleetTableCount> followerSettings{
            routingFollowerSettings, targetsFollowerSettings, nodesFollowerSettings,
            batchesFollowerSettings};
    for (std::size_t i = 0; i < fleetTableCount; ++i)
        state.followers[i].settings = followerSettings[i];
    state.published.targets = std::make_shared<TargetMap>();
    state.published.desiredWeights = std::make_shared<WeightMap>();
    state.published.minWeights = std::make_shared<WeightMap>();
    state.published.modelWork = std::make_shared<ModelWork>();
    state.published.presence = state.presence;
    return state;
}

std::optional<LeadershipProof> weightOrderProof(const FleetState &state, Time now)
{
    return state.reachesTargets ? proofOf(leadershipOf(state), now) : std::nullopt;
}

std::vector<FleetAction> step(FleetState &state, const FleetEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    handler.advance();
    return std::move(handler.actions);
}

// Includes only times at which a tick can act, since otherwise ticks would repeat immediately.
// Weight orders are left out while nothing proves the lease, checks of the lease while it is being
// written, and the next heartbeat while one is in flight, since its answer triggers the next event.
std::optional<Time> dueAt(const FleetState &state, Time now)
{
    std::optional<Time> due;
    const auto add = [&](Time time) { due = std::min(due.value_or(time), time); };
    if (!state.heartbeatInFlight)
        add(state.nextHeartbeatAt);
    for (const TableFollower &follower : state.followers) {
        if (const auto followerDueAt = dueAt(follower))
            add(*followerDueAt);
    }
    if (holdsLease(state.leadership) && state.leadership.actsFrom > now)
        add(state.leadership.actsFrom);
    const auto checkDueAt = leaseCheckDueAt(state.leadership);
    if (checkDueAt && !state.draining && !state.leaseWriteInFlight)
        add(*checkDueAt);
    const auto ordersDueAt = dueAt(state.weightOrders);
    if (ordersDueAt && weightOrderProof(state, now))
        add(*ordersDueAt);
    return due;
}

} // namespace geraniumpulley::core
