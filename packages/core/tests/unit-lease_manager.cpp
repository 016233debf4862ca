#include <geraniumpulley/core/control/lease_manager.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{1h};

enum class CommitAnswer { Delivered, Lost };

// Fakes the table service for lease and fence rows.
struct FakeStore
{
    std::map<NodeId, std::pair<LeaseRecord, std::uint64_t>> leases;
    std::map<Shard, FenceRow> fences;

    std::uint64_t leaseVersion(const NodeId &node)
    {
        return this->leases.contains(node) ? this->leases[node].second : 0;
    }

    bool commit(const CommitLeases &commit)
    {
        if (this->leaseVersion(commit.self) != number(commit.expectedVersion))
            return false;
        for (const FenceChange &change : commit.changes) {
            if (this->fences[change.expectedRow.shard].fence != change.expectedRow.fence)
                return false;
            if (change.holderLeaseVersion
                && this->leaseVersion(change.expectedRow.record.holder)
                           != number(*change.holderLeaseVersion))
                return false;
        }
        this->leases[commit.self] = {commit.renewal, number(commit.expectedVersion) + 1};
        for (const FenceChange &change : commit.changes)
            this->fences[change.expectedRow.shard] = {change.expectedRow.shard, change.newRecord,
                                                      next(change.expectedRow.fence)};
        return true;
    }
};

struct LeaseNode
{
    FakeStore &store;
    LeaseState state;
    LeaseTablePointer table = std::make_shared<LeaseTable>();
    std::vector<Node> notifiedNodes;

    void handle(const LeaseEvent &event, Time now, CommitAnswer answer = CommitAnswer::Delivered)
    {
        for (const LeaseAction &action : step(this->state, event, now))
            this->perform(action, now, answer);
    }

    void perform(const LeaseAction &action, Time now, CommitAnswer answer)
    {
        if (const auto *publish = std::get_if<PublishLeases>(&action))
            this->table = publish->table;
        else if (const auto *notification = std::get_if<NotifyFencesChanged>(&action))
            this->notifiedNodes.push_back(notification->to);
        else if (std::holds_alternative<ReadFences>(action))
            this->readFences(now);
        else if (const auto *read = std::get_if<ReadLeaseRow>(&action))
            this->readLease(read->node, now);
        else if (const auto *commit = std::get_if<CommitLeases>(&action))
            this->commit(*commit, now, answer);
    }

    void readFences(Time now)
    {
        FencesRead event;
        for (const auto &[shard, row] : this->store.fences)
            event.rows.push_back(row);
        this->handle(event, now);
    }

    void readLease(const NodeId &node, Time now)
    {
        LeaseRowRead event{node, std::nullopt, RowVersion{this->store.leaseVersion(node)}};
        if (this->store.leases.contains(node))
            event.record = this->store.leases[node].first;
        this->handle(event, now);
    }

    void commit(const CommitLeases &commit, Time now, CommitAnswer answer)
    {
        const bool isCommitted = this->store.commit(commit);
        const CommitResult result = isCommitted ? CommitResult::Committed : CommitResult::Refused;
        this->handle(LeaseCommitCompleted{answer == CommitAnswer::Lost ? CommitResult::Uncertain
                                                                       : result},
                     now);
    }

    [[nodiscard]] std::size_t heldCount(Time now) const
    {
        const std::vector<Shard> shards = allShards();
        return static_cast<std::size_t>(
                std::count_if(shards.begin(), shards.end(), [&](const Shard &shard) {
                    return heldFence(*this->table, shard, now).has_value();
                }));
    }
};

Node makeNode(const std::string &id, std::uint64_t incarnation = 1)
{
    return Node{{id}, "127.0.0.1:1", "bilbao", incarnation};
}

struct NodePair
{
    FakeStore store;
    std::vector<Node> members{makeNode("a"), makeNode("b")};
    LeaseNode a{store, makeLeaseState(members[0]), std::make_shared<LeaseTable>(), {}};
    LeaseNode b{store, makeLeaseState(members[1]), std::make_shared<LeaseTable>(), {}};
    Time now = start;

    NodePair()
    {
        this->a.handle(LeaseNodesChanged{this->members}, this->now);
        this->b.handle(LeaseNodesChanged{this->members}, this->now);
    }

    void run(Duration length, bool aRuns, bool bRuns)
    {
        for (const Time end = this->now + length; this->now < end; this->now += 1s) {
            if (aRuns)
                this->a.handle(LeaseTick{}, this->now);
            if (bRuns)
                this->b.handle(LeaseTick{}, this->now);
        }
    }
};

} // namespace

TEST_CASE("the shards are divided among the nodes, and each shard has one holder")
{
    NodePair pair;
    pair.run(10s, true, true);
    CHECK(pair.a.heldCount(pair.now) > 0);
    CHECK(pair.b.heldCount(pair.now) > 0);
    CHECK(pair.a.heldCount(pair.now) + pair.b.heldCount(pair.now) == allShards().size());
}

TEST_CASE("a paused holder's leases expire before its shards are taken over with higher fences")
{
    NodePair pair;
    pair.run(10s, true, true);
    const LeaseTablePointer before = pair.a.table;
    const std::size_t heldBefore = pair.a.heldCount(pair.now);
    for (int second = 0; second < 10; ++second) {
        pair.run(1s, false, true);
        CHECK(pair.a.heldCount(pair.now) + pair.b.heldCount(pair.now) <= allShards().size());
    }
    CHECK(pair.a.heldCount(pair.now) == 0);
    CHECK(pair.b.heldCount(pair.now) == allShards().size());
    CHECK(heldBefore > 0);
    for (const auto &[shard, lease] : before->leases)
        CHECK(pair.store.fences[shard].fence >= lease.fence);
    pair.a.handle(LeaseTick{}, pair.now); // A renewal after the pause does not restore the leases.
    CHECK(pair.a.heldCount(pair.now) + pair.b.heldCount(pair.now) <= allShards().size());
}

TEST_CASE("a third node learns the new holders of a dead holder's shards within 10 s")
{
    for (Duration runTime = 12s; runTime < 24s; runTime += 1s) {
        NodePair pair;
        const std::vector<Node> members{makeNode("a"), makeNode("b"), makeNode("c")};
        LeaseNode c{pair.store, makeLeaseState(members[2]), std::make_shared<LeaseTable>(), {}};
        for (LeaseNode *node : {&pair.a, &pair.b, &c})
            node->handle(LeaseNodesChanged{members}, pair.now);
        const auto run = [&](Duration length, bool aRuns) {
            for (const Time end = pair.now + length; pair.now < end;) {
                c.handle(LeaseTick{}, pair.now);
                pair.run(1s, aRuns, true);
            }
        };
        run(runTime, true);
        REQUIRE(pair.a.heldCount(pair.now) > 0);
        run(10s, false);
        CAPTURE(runTime.count());
        for (const Shard &shard : allShards())
            CHECK(holderOf(*c.table, shard) != NodeId{"a"});
    }
}

TEST_CASE("a shard returns to its first-ranked node only after that node renews its lease")
{
    NodePair pair;
    pair.run(10s, true, true);
    const std::size_t heldBefore = pair.a.heldCount(pair.now);
    pair.run(20s, false, true);
    CHECK(pair.b.heldCount(pair.now) == allShards().size());
    pair.run(15s, true, true);
    pair.a.handle(FencesChanged{}, pair.now);
    CHECK(pair.a.heldCount(pair.now) == heldBefore);
}

TEST_CASE("a holder keeps its shards when the answers to committed renewals are lost")
{
    NodePair pair;
    pair.run(10s, true, true);
    for (int second = 0; second < 10; ++second, pair.now += 1s) {
        pair.a.handle(LeaseTick{}, pair.now, CommitAnswer::Lost);
        pair.b.handle(LeaseTick{}, pair.now);
    }
    CHECK(pair.a.heldCount(pair.now) + pair.b.heldCount(pair.now) == allShards().size());
    CHECK(pair.a.heldCount(pair.now) > 0);
}

TEST_CASE("after a store outage no shard is taken from a holder that renews within the lease time")
{
    NodePair pair;
    pair.run(10s, true, true);
    const auto fences = pair.store.fences;
    pair.now += 1min;
    pair.b.handle(LeaseTick{}, pair.now); // The first node after the outage has stale observations.
    pair.run(5s, true, true);
    for (const auto &[shard, row] : fences)
        CHECK(pair.store.fences[shard].fence == row.fence);
}

TEST_CASE("a planned stop hands every shard over and notifies the next holder")
{
    NodePair pair;
    pair.run(10s, true, true);
    pair.a.handle(LeaseReleaseRequested{}, pair.now);
    CHECK(hasReleased(pair.a.state));
    CHECK(pair.a.heldCount(pair.now) == 0);
    REQUIRE_FALSE(pair.a.notifiedNodes.empty());
    pair.b.handle(FencesChanged{}, pair.now);
    pair.run(2s, false, true);
    CHECK(pair.b.heldCount(pair.now) == allShards().size());
}

TEST_CASE("a process that resumes after its replacement has started loses its leases permanently")
{
    NodePair pair;
    pair.run(10s, true, true);
    LeaseNode newProcess{
            pair.store, makeLeaseState(makeNode("a", 2)), std::make_shared<LeaseTable>(), {}};
    newProcess.handle(LeaseNodesChanged{{makeNode("a", 2), makeNode("b")}}, pair.now);
    for (int second = 0; second < 5; ++second, pair.now += 1s)
        newProcess.handle(LeaseTick{}, pair.now);
    CHECK(newProcess.heldCount(pair.now) > 0);
    pair.run(3s, true, false);
    CHECK(pair.a.state.replaced);
    CHECK(pair.a.heldCount(pair.now) == 0);
}

TEST_CASE("a late read of fence rows does not restore an earlier holder")
{
    NodePair pair;
    pair.run(10s, true, true);
    FencesRead lateRead;
    for (const auto &[shard, row] : pair.store.fences)
        lateRead.rows.push_back({shard, {{"z"}, 1}, FencingToken{1}});
    pair.run(10s, false, true);
    const std::size_t heldBefore = pair.b.heldCount(pair.now);
    pair.b.handle(lateRead, pair.now);
    CHECK(pair.b.heldCount(pair.now) == heldBefore);
}

TEST_CASE("a period in which the leases could not be read is no evidence that their holder failed")
{
    NodePair pair;
    pair.run(10s, true, true);
    REQUIRE(pair.b.heldCount(pair.now) < allShards().size());
    // Both nodes pause for a minute, so the observer finds the row unchanged.
    pair.now += 60s;
    pair.b.handle(LeaseTick{}, pair.now);
    pair.now += 1s;
    pair.b.handle(LeaseTick{}, pair.now);
    CHECK(pair.b.heldCount(pair.now) < allShards().size());
    pair.run(10s, false, true);
    CHECK(pair.b.heldCount(pair.now) == allShards().size());
}
