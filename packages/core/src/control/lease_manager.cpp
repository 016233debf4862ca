#include <geraniumpulley/core/control/lease_manager.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Actions = std::vector<LeaseAction>;

bool isOwn(const LeaseState &state, const FenceRecord &record)
{
    return record.holder == state.self.id && record.incarnation == state.self.incarnation;
}

// Returns the node that observes a holder and takes its shard over: the highest-ranked other node.
const std::optional<Node> &successorOf(const ShardRanking &ranking, const NodeId &holder)
{
    const bool holderIsFirst = ranking.first && ranking.first->id == holder;
    return holderIsFirst ? ranking.second : ranking.first;
}

bool isSelf(const LeaseState &state, const std::optional<Node> &node)
{
    return node && node->id == state.self.id;
}

Duration fenceReadPeriod(const LeaseState &state)
{
    const LeaseSettings &settings = state.settings;
    const auto members = static_cast<Duration::rep>(state.memberCount);
    return std::clamp(settings.fenceReadPeriodPerNode * members, settings.minFenceReadPeriod,
                      settings.maxFenceReadPeriod);
}

bool membersAreSettled(const LeaseState &state, Time now)
{
    return now - state.membersChangedAt >= state.settings.settleTime;
}

ShardRanking rank(const Shard &shard, const std::vector<Node> &nodes)
{
    const std::string name = nameOf(shard);
    ShardRanking ranking;
    const Node *first = ownerOf(name, nodes);
    if (first == nullptr)
        return ranking;
    ranking.first = *first;
    std::vector<Node> others;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(others),
                 [&](const Node &node) { return node.id != first->id; });
    if (const Node *second = ownerOf(name, others))
        ranking.second = *second;
    return ranking;
}

LeaseTablePointer makeTable(const LeaseState &state)
{
    auto table = std::make_shared<LeaseTable>();
    table->self = state.self.id;
    for (const auto &[shard, known] : state.fences) {
        const FenceRecord &record = known.row.record;
        if (record.holder.value.empty())
            continue;
        ShardLease lease{record.holder, known.row.fence, {}};
        if (isOwn(state, record) && state.renewedAt && !state.replaced && !state.stopping)
            lease.validUntil = *state.renewedAt + state.settings.ttl - state.settings.safetyMargin;
        table->leases.emplace(shard, std::move(lease));
    }
    return table;
}

struct Handler
{
    LeaseState &state;
    Time now;
    Actions actions;

    void operator()(const LeaseTick &)
    {
        if (this->state.replaced)
            return;
        this->rankMembers();
        const auto &lastRead = this->state.fencesReadAt;
        if (!lastRead || this->now - *lastRead >= fenceReadPeriod(this->state))
            this->actions.push_back(ReadFences{});
        if (!this->state.ownRowVersion)
            this->actions.push_back(ReadLeaseRow{this->state.self.id});
        this->observeLeases();
        this->commitChanges();
    }

    // Ranking is deferred to the tick because many members may join at once, and each ranking costs
    // shards times members.
    void rankMembers()
    {
        if (!this->state.membersToRank)
            return;
        for (const Shard &shard : allShards())
            this->state.rankings[shard] = rank(shard, *this->state.membersToRank);
        this->state.membersToRank.reset();
    }

    void operator()(const LeaseNodesChanged &event)
    {
        this->state.membersChangedAt = this->now;
        this->state.memberCount = event.nodes.size();
        this->state.membersToRank = event.nodes;
    }

    void operator()(const FencesRead &event)
    {
        this->state.fencesReadAt = this->now;
        bool changed = false;
        for (const FenceRow &row : event.rows)
            changed = this->updateFence(row) || changed;
        if (changed)
            this->publish();
    }

    void operator()(const LeaseRowRead &event)
    {
        if (event.node == this->state.self.id)
            return this->onOwnRowRead(event);
        LeaseObservation &observation = this->state.observations[event.node];
        // A period in which the row could not be read is no evidence that the holder failed.
        const bool hasGap =
                this->now - observation.lastReadAt > this->state.settings.maxObservationGap;
        if (hasGap || observation.version != event.version || observation.record != event.record)
            observation = LeaseObservation{event.record, event.version, this->now, {}, !hasGap};
        observation.lastReadAt = this->now;
    }

    void operator()(const LeaseCommitCompleted &event)
    {
        if (!this->state.pendingCommit)
            return;
        switch (event.result) {
        case CommitResult::Committed:
            this->state.ownRowVersion = next(this->state.pendingCommit->commit.expectedVersion);
            return this->onCommitted();
        case CommitResult::Refused:
            this->state.pendingCommit.reset();
            this->state.renewOnly = true;
            break;
        case CommitResult::Uncertain:
            this->state.pendingCommit->uncertain = true;
            break;
        }
        this->state.ownRowVersion.reset();
        this->actions.push_back(ReadLeaseRow{this->state.self.id});
        this->actions.push_back(ReadFences{});
    }

    void operator()(const FencesChanged &) { this->actions.push_back(ReadFences{}); }

    void operator()(const LeaseReleaseRequested &)
    {
        this->state.stopping = true;
        this->rankMembers();
        this->publish();
        this->commitChanges();
    }

    // A delayed transaction changes the row when it commits. A later transaction that expects the
    // version read here is then refused, and the row is read again.
    void onOwnRowRead(const LeaseRowRead &event)
    {
        const LeaseRecord record = event.record.value_or(LeaseRecord{});
        if (record.incarnation > this->state.self.incarnation) {
            this->state.replaced = true;
            this->state.pendingCommit.reset();
            return this->publish();
        }
        if (this->state.ownRowVersion
            || (this->state.pendingCommit && !this->state.pendingCommit->uncertain))
            return;
        this->state.ownRowVersion = event.version;
        if (!this->state.pendingCommit)
            return;
        if (record == this->state.pendingCommit->commit.renewal)
            return this->onCommitted();
        this->state.pendingCommit.reset();
    }

    void onCommitted()
    {
        const LeaseCommit committed = *std::exchange(this->state.pendingCommit, std::nullopt);
        this->state.renewedAt = committed.sentAt;
        this->state.renewOnly = false;
        for (const FenceChange &change : committed.commit.changes) {
            this->updateFence(
                    {change.expectedRow.shard, change.newRecord, next(change.expectedRow.fence)});
            if (!isOwn(this->state, change.newRecord))
                this->notifyNewHolder(change);
        }
        this->publish();
    }

    void notifyNewHolder(const FenceChange &change)
    {
        const ShardRanking &ranking = this->state.rankings[change.expectedRow.shard];
        for (const std::optional<Node> &node : {ranking.first, ranking.second}) {
            if (node && node->id == change.newRecord.holder)
                this->actions.push_back(NotifyFencesChanged{*node});
        }
    }

    // Replies may arrive late or out of order; the higher fencing token marks the newer holder.
    bool updateFence(const FenceRow &row)
    {
        KnownFence &known = this->state.fences[row.shard];
        if (row.fence <= known.row.fence)
            return false;
        known = KnownFence{row, this->now};
        const FenceRecord &record = row.record;
        const bool isNewerProcess = record.holder == this->state.self.id
                                    && record.incarnation > this->state.self.incarnation;
        this->state.replaced = this->state.replaced || isNewerProcess;
        return true;
    }

    void publish() { this->actions.push_back(PublishLeases{makeTable(this->state)}); }

    // The successor of a shard's holder observes the holder; a holder that is not ranked first
    // observes the first-ranked node, to which it hands the shard over.
    std::optional<NodeId> nodeToObserve(const KnownFence &known)
    {
        const NodeId &holder = known.row.record.holder;
        const ShardRanking &ranking = this->state.rankings[known.row.shard];
        if (holder.value.empty() || !ranking.first)
            return std::nullopt;
        if (holder != this->state.self.id)
            return isSelf(this->state, successorOf(ranking, holder)) ? std::optional(holder)
                                                                     : std::nullopt;
        return isSelf(this->state, ranking.first) ? std::nullopt : std::optional(ranking.first->id);
    }

    void observeLeases()
    {
        std::set<NodeId> observed;
        for (const auto &[shard, known] : this->state.fences) {
            if (auto node = this->nodeToObserve(known))
                observed.insert(std::move(*node));
        }
        std::erase_if(this->state.observations,
                      [&](const auto &entry) { return !observed.contains(entry.first); });
        for (const NodeId &node : observed)
            this->actions.push_back(ReadLeaseRow{node});
    }

    void commitChanges()
    {
        if (this->state.pendingCommit || !this->state.ownRowVersion || !this->state.fencesReadAt
            || this->state.replaced)
            return;
        std::vector<FenceChange> changes;
        bool renews = false;
        for (const Shard &shard : allShards()) {
            const KnownFence &known = this->fenceOf(shard);
            // The first-ranked node of a shard renews before it holds the shard, to prove to the
            // current holder that it is live.
            renews = renews || isOwn(this->state, known.row.record)
                     || (!this->state.stopping
                         && isSelf(this->state, this->state.rankings[shard].first));
            std::optional<FenceChange> change = this->decideChange(known);
            if (change && !this->state.renewOnly)
                changes.push_back(std::move(*change));
        }
        this->state.renewOnly = false;
        if (!renews && changes.empty())
            return;
        const LeaseRecord renewal{this->state.self.incarnation, ++this->state.counter,
                                  this->state.stopping};
        CommitLeases commit{this->state.self.id, renewal, *this->state.ownRowVersion,
                            std::move(changes)};
        this->state.pendingCommit = LeaseCommit{commit, this->now, false};
        this->actions.push_back(std::move(commit));
    }

    const KnownFence &fenceOf(const Shard &shard)
    {
        KnownFence &known = this->state.fences[shard];
        known.row.shard = shard;
        return known;
    }

    std::optional<FenceChange> decideChange(const KnownFence &known)
    {
        const FenceRecord &record = known.row.record;
        const ShardRanking &ranking = this->state.rankings[known.row.shard];
        if (isOwn(this->state, record))
            return this->decideHandover(known, ranking);
        if (this->state.stopping || !membersAreSettled(this->state, this->now))
            return std::nullopt;
        const FenceRecord own{this->state.self.id, this->state.self.incarnation};
        if (record.holder.value.empty() && isSelf(this->state, ranking.first))
            return FenceChange{known.row, own, std::nullopt};
        if (record.holder == this->state.self.id) // Held by an earlier process under this id.
            return FenceChange{known.row, own, std::nullopt};
        if (!record.holder.value.empty()
            && isSelf(this->state, successorOf(ranking, record.holder)))
            return this->decideTakeover(known, own);
        return std::nullopt;
    }

    std::optional<FenceChange> decideHandover(const KnownFence &known, const ShardRanking &ranking)
    {
        const auto &nextHolder =
                this->state.stopping ? successorOf(ranking, this->state.self.id) : ranking.first;
        if (this->state.stopping && !nextHolder)
            return FenceChange{known.row, FenceRecord{}, std::nullopt};
        if (!nextHolder || isSelf(this->state, nextHolder))
            return std::nullopt;
        const bool mayChange = this->state.stopping
                               || (membersAreSettled(this->state, this->now)
                                   && this->isRenewing(*nextHolder, known.learnedAt));
        if (!mayChange)
            return std::nullopt;
        return FenceChange{known.row, {nextHolder->id, nextHolder->incarnation}, std::nullopt};
    }

    // Only renewals prove that a node reaches the store; its messages do not. An observation made
    // before this node acquired the shard may predate the release by the previous holder.
    bool isRenewing(const Node &node, Time since)
    {
        const auto position = this->state.observations.find(node.id);
        if (position == this->state.observations.end())
            return false;
        const LeaseObservation &observation = position->second;
        return observation.lastReadAt > since && observation.wasRenewed && observation.record
               && observation.record->incarnation == node.incarnation
               && !observation.record->stopping
               && observation.lastReadAt - observation.unchangedSince < this->state.settings.ttl;
    }

    std::optional<FenceChange> decideTakeover(const KnownFence &known, const FenceRecord &own)
    {
        const auto position = this->state.observations.find(known.row.record.holder);
        if (position == this->state.observations.end())
            return std::nullopt;
        const LeaseObservation &observation = position->second;
        const bool isRestarted = observation.record
                                 && observation.record->incarnation > known.row.record.incarnation;
        const Time unrenewedSince = std::max(observation.unchangedSince, known.learnedAt);
        const bool isExpired = observation.lastReadAt - unrenewedSince >= this->state.settings.ttl;
        if (!isRestarted && !isExpired)
            return std::nullopt;
        return FenceChange{known.row, own, observation.version};
    }
};

} // namespace

LeaseState makeLeaseState(Node self, LeaseSettings settings)
{
    LeaseState state;
    state.self = std::move(self);
    state.settings = settings;
    for (const Shard &shard : allShards())
        state.rankings[shard].first = state.self;
    return state;
}

std::vector<Shard> allShards()
{
    std::vector<Shard> shards;
    for (const ShardKind kind : {ShardKind::Claims, ShardKind::Steps}) {
        for (std::uint32_t index = 0; index < shardCount; ++index)
            shards.push_back({kind, index});
    }
    return shards;
}

bool hasReleased(const LeaseState &state)
{
    const bool holdsAny =
            std::any_of(state.fences.begin(), state.fences.end(),
                        [&](const auto &entry) { return isOwn(state, entry.second.row.record); });
    return state.replaced || !holdsAny;
}

std::vector<LeaseAction> step(LeaseState &state, const LeaseEvent &event, Time now)
{
    Handler handler{state, now, {}};
    std::visit(handler, event);
    return std::move(handler.actions);
}

} // namespace geraniumpulley::core
