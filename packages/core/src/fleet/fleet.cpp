#include <geraniumpulley/core/fleet/fleet.hpp>

#include "fleet_rows.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Actions = std::vector<FleetAction>;

// Ranks the nodes for the takeover of the lease.
constexpr const char *leaseRankKey = "weight-orders";

// Changes of routing and batches have to arrive quickly, so their feeds are long polls with hardly
// any delay between them. Targets change with each heartbeat, so their feed is polled with a delay.
constexpr FollowSettings routingFollowerSettings{std::chrono::milliseconds(50),
                                                 std::chrono::milliseconds(1000),
                                                 std::chrono::milliseconds(1200)};
constexpr FollowSettings targetsFollowerSettings{std::chrono::milliseconds(400), Duration{},
                                                 std::chrono::milliseconds(1500)};
// A heartbeat is received at most 0.6 s + 0.7 s after the one before: the heartbeat period plus the
// maximum read delay. This is less than the heartbeat timeout.
constexpr FollowSettings nodesFollowerSettings{std::chrono::milliseconds(350), Duration{},
                                               Duration{}, std::chrono::milliseconds(700)};
constexpr FollowSettings batchesFollowerSettings{std::chrono::milliseconds(50),
                                                 std::chrono::milliseconds(1000),
                                                 std::chrono::milliseconds(2000)};

bool holdsLease(const FleetState &state)
{
    const OrdersLease &lease = state.lease;
    return lease.holder == state.settings.self.id
           && lease.incarnation == state.settings.self.incarnation;
}

bool canSendOrders(const FleetState &state, Time now)
{
    return holdsLease(state) && !state.draining && now >= state.ordersAllowedFrom
           && now < state.ownershipKnownUntil;
}

struct Handler
{
    FleetState &state;
    Time now;
    Actions actions;

    void operator()(const TableRead &event)
    {
        noteAnswer(this->follower(event.table), event.whole, event.upTo, this->now);
        if (event.storeClock > Duration{})
            this->state.storeClockOffset = event.storeClock - this->now.time_since_epoch();
        applyRows(this->state, event, this->now);
    }

    void operator()(const TableReadFailed &event)
    {
        noteFailure(this->follower(event.table), event.historyGone, this->now);
        if (event.table == FleetTable::Targets && !event.historyGone)
            this->state.targetsFailedAt = this->now;
    }

    // The copy of a peer can be older than the store, so it is used only for tables that this node
    // has not read at all.
    void operator()(const PeerTablesHeard &event)
    {
        for (const TableRead &read : event.tables) {
            const bool isKnown = read.table == FleetTable::Routing ? this->state.routing != nullptr
                                                                   : this->state.targetsKnown;
            if (isKnown || read.rows.empty())
                continue;
            applyRows(this->state, read, this->now);
            if (read.table == FleetTable::Targets)
                this->state.targetsKnown = true;
            this->state.changed = true;
        }
    }

    void operator()(const BeatWritten &event)
    {
        this->state.beating = false;
        this->state.presenceChanged = true;
        if (event.done)
            this->state.ownershipKnownUntil = event.sentAt + this->state.settings.ownershipProof;
    }

    void operator()(const OrdersLeaseWritten &event)
    {
        FleetState &state = this->state;
        state.leaseWriting = false;
        state.leaseRetryAt = this->now + state.settings.leaseRetryDelay;
        if (event.outcome == StoreOutcome::Conflict)
            this->follower(FleetTable::Batches).wantsWhole = true;
        if (event.outcome != StoreOutcome::Done || event.version <= state.lease.version)
            return;
        const bool hadOtherHolder =
                state.lease.version != RowVersion{} && state.lease.holder != state.settings.self.id;
        state.lease = {state.settings.self.id, state.settings.self.incarnation, event.version};
        if (state.draining)
            state.lease.holder = {};
        state.ordersAllowedFrom = hadOtherHolder ? this->now + state.settings.leaseTime : this->now;
        state.orders.engines.clear();
    }

    void operator()(const EngineStateHeard &event)
    {
        if (!canSendOrders(this->state, this->now))
            return;
        const auto order =
                noteEngineState(this->state.orders, this->state.published, event.target,
                                event.state, fencingNumberOf(this->state.lease), this->now);
        if (order)
            this->actions.emplace_back(*order);
    }

    void operator()(const WeightOrderReplied &event)
    {
        noteOrderReply(this->state.orders, event.target, event.reply, this->now);
    }

    void operator()(const ClockSuspended &)
    {
        this->state.ownershipKnownUntil = {};
        this->state.nextBeat = this->now;
        this->state.presenceChanged = true;
    }

    void operator()(const FleetDraining &)
    {
        this->state.draining = true;
        this->state.nextBeat = this->now;
    }

    void operator()(const FleetTick &) { }

    // Runs after each event: performs what is due by the state alone.
    void advance()
    {
        this->readTables();
        this->requestPeerTables();
        this->writeHeartbeat();
        dropLapsed(this->state, this->now);
        this->advanceLease();
        this->publish();
        if (!canSendOrders(this->state, this->now))
            return;
        for (const AskEngineState &request :
             planOrders(this->state.orders, this->state.published, this->now))
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
                this->actions.emplace_back(FollowTable{table, changes->after, changes->wait});
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
        if (knowsAll || !isFailing || this->now < state.nextPeerAsk)
            return;
        state.nextPeerAsk = this->now + state.settings.peerAskPeriod;
        this->actions.emplace_back(AskPeerTables{});
    }

    void writeHeartbeat()
    {
        FleetState &state = this->state;
        if (state.beating || this->now < state.nextBeat)
            return;
        state.beating = true;
        state.nextBeat = this->now + state.settings.presence.beatPeriod;
        ++state.beats;
        this->actions.emplace_back(WriteBeat{
                {state.settings.self, state.beats, state.draining, state.settings.capacity}});
    }

    // Acquires the lease if no live node holds it, and releases it when this node drains.
    void advanceLease()
    {
        FleetState &state = this->state;
        // Until a node reads back its own heartbeat, it does not know which other nodes are alive.
        const bool isFeedRead = state.presence.nodes.count(state.settings.self.id) != 0;
        if (!state.batchesKnown || !isFeedRead || state.leaseWriting
            || this->now < state.leaseRetryAt)
            return;
        if (holdsLease(this->state)) {
            if (state.draining)
                this->writeLease({{}, 0, {}});
            return;
        }
        const OrdersLease &lease = state.lease;
        const bool isLeaseFree =
                lease.holder.value.empty()
                || isGone(state.presence, lease.holder, lease.incarnation, this->now);
        if (!isLeaseFree || state.draining) {
            state.leaseFreeSince.reset();
            return;
        }
        if (!state.leaseFreeSince)
            state.leaseFreeSince = this->now;
        const std::size_t rank = takeoverRank(state.presence, leaseRankKey, this->now);
        if (this->now - *state.leaseFreeSince >= state.settings.takeoverStep * rank)
            this->writeLease({state.settings.self.id, state.settings.self.incarnation, {}});
    }

    void writeLease(OrdersLease lease)
    {
        this->state.leaseWriting = true;
        this->actions.emplace_back(WriteOrdersLease{std::move(lease), this->state.lease.version});
    }

    void publish()
    {
        FleetState &state = this->state;
        if (!state.changed && !state.presenceChanged)
            return;
        Directory &next = state.published;
        next.routing = state.routing;
        next.targetsKnown = state.targetsKnown;
        if (state.changed) {
            auto targets = std::make_shared<TargetMap>();
            for (const auto &[id, known] : state.targets)
                targets->emplace(id, known.target);
            next.targets = std::move(targets);
            next.desiredWeights = std::make_shared<WeightMap>(state.desiredWeights);
            next.leastWeights = std::make_shared<WeightMap>(leastWeightsOf(state.batches));
            next.shares = this->assignAllEngines(*next.targets);
            if (state.batchesKnown)
                next.batches = std::make_shared<BatchMap>(state.batches);
        }
        next.presence = state.presence;
        if (state.presenceChanged)
            this->updateReadPeriods();
        next.ownershipKnownUntil = state.ownershipKnownUntil;
        next.storeClockOffset = state.storeClockOffset;
        this->actions.emplace_back(
                PublishDirectory{std::make_shared<Directory>(next), state.changed});
        state.changed = false;
        state.presenceChanged = false;
    }

    void updateReadPeriods()
    {
        const double periodFactor = stretchFor(liveNodes(this->state.presence, this->now).size());
        for (TableFollower &follower : this->state.followers)
            follower.stretch = periodFactor;
    }

    std::shared_ptr<const EngineShares> assignAllEngines(const TargetMap &targets) const
    {
        auto assignments = std::make_shared<EngineShares>();
        if (!this->state.routing)
            return assignments;
        const ModelWork work = workOfBatches(this->state.batches);
        for (const RoutedService &service : this->state.routing->services) {
            if (service.isEngine)
                assignments->merge(shareEngines(servingTargets(targets, service.name), work,
                                                this->state.desiredWeights));
        }
        return assignments;
    }

    static FencingNumber fencingNumberOf(const OrdersLease &lease)
    {
        return static_cast<FencingNumber>(lease.version);
    }
};

} // namespace

FleetState makeFleetState(FleetSettings settings, Time now)
{
    FleetState state;
    state.presence = makePresence(settings.self.id, settings.presence, now);
    state.settings = std::move(settings);
    const std::array<FollowSettings, fleetTableCount> followerSettings{
            routingFollowerSettings, targetsFollowerSettings, nodesFollowerSettings,
            batchesFollowerSettings};
    for (std::size_t i = 0; i < fleetTableCount; ++i)
        state.followers[i].settings = followerSettings[i];
    state.published.targets = std::make_shared<TargetMap>();
    state.published.desiredWeights = std::make_shared<WeightMap>();
    state.published.leastWeights = std::make_shared<WeightMap>();
    state.published.shares = std::make_shared<EngineShares>();
    state.published.presence = state.presence;
    return state;
}

std::vector<FleetAction> step(FleetState &state, const FleetEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    handler.advance();
    return std::move(handler.actions);
}

// Includes only what the next tick can act on, since otherwise ticks would follow each other
// without end: weight orders wait while no recent heartbeat proves the lease, and a heartbeat in
// flight ends with its answer.
std::optional<Time> dueAt(const FleetState &state, Time now)
{
    std::optional<Time> due;
    const auto add = [&](Time time) { due = std::min(due.value_or(time), time); };
    if (!state.beating)
        add(state.nextBeat);
    for (const TableFollower &follower : state.followers) {
        if (const auto followerDueAt = dueAt(follower))
            add(*followerDueAt);
    }
    if (holdsLease(state) && state.ordersAllowedFrom > now)
        add(state.ordersAllowedFrom);
    const auto ordersDueAt = dueAt(state.orders);
    if (ordersDueAt && canSendOrders(state, now))
        add(*ordersDueAt);
    return due;
}

} // namespace geraniumpulley::core
