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

enum class Answer { Given, Lost };

// The table service as far as leases need it.
struct Store
{
    std::map<NodeId, std::pair<LeaseRecord, std::uint64_t>> leases;
    std::map<Shard, FenceRow> fences;

    std::uint64_t leaseVersion(const NodeId &node)
    {
        return this->leases.contains(node) ? this->leases[node].second : 0;
    }

    bool commit(const CommitLeases &commit)
    {
        if (this->leaseVersion(commit.self) != number(commit.expected))
            return false;
        for (const FenceChange &change : commit.changes) {
            if (this->fences[change.expected.shard].fence != change.expected.fence)
                return false;
            if (change.holderLease
                && this->leaseVersion(change.expected.record.holder) != number(*change.holderLease))
                return false;
        }
        this->leases[commit.self] = {commit.renewal, number(commit.expected) + 1};
        for (const FenceChange &change : commit.changes)
            this->fences[change.expected.shard] = {change.expected.shard, change.record,
                                                   next(change.expected.fence)};
        return true;
    }
};

struct Holder
{
    Store &store;
    LeaseState state;
    LeaseTablePointer table = std::make_shared<LeaseTable>();
    std::vector<Node> told;

    void handle(const LeaseEvent &event, Time now, Answer answer = Answer::Given)
    {
        for (const LeaseAction &action : step(this->state, event, now))
            this->perform(action, now, answer);
    }

    void perform(const LeaseAction &action, Time now, Answer answer)
    {
        if (const auto *publish = std::get_if<PublishLeases>(&action))
            this->table = publish->table;
        else if (const auto *tell = std::get_if<TellFencesChanged>(&action))
            this->told.push_back(tell->to);
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

    void commit(const CommitLeases &commit, Time now, Answer answer)
    {
        const bool done = this->store.commit(commit);
        const CommitResult known = done ? CommitResult::Committed : CommitResult::Refused;
        this->handle(LeaseCommitAnswered{answer == Answer::Lost ? CommitResult::Uncertain : known},
                     now);
    }

    [[nodiscard]] std::size_t held(Time now) const
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

struct Pair
{
    Store store;
    std::vector<Node> members{makeNode("a"), makeNode("b")};
    Holder a{store, makeLeaseState(members[0]), std::make_shared<LeaseTable>(), {}};
    Holder b{store, makeLeaseState(members[1]), std::make_shared<LeaseTable>(), {}};
    Time now = start;

    Pair()
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

TEST_CASE("members share the shards, and each shard has one holder")
{
    Pair pair;
    pair.run(10s, true, true);
    CHECK(pair.a.held(pair.now) > 0);
    CHECK(pair.b.held(pair.now) > 0);
    CHECK(pair.a.held(pair.now) + pair.b.held(pair.now) == allShards().size());
}

TEST_CASE("a frozen holder doubts itself before its shards are taken over with higher fences")
{
    Pair pair;
    pair.run(10s, true, true);
    const LeaseTablePointer before = pair.a.table;
    const std::size_t held = pair.a.held(pair.now);
    for (int second = 0; second < 10; ++second) {
        pair.run(1s, false, true);
        CHECK(pair.a.held(pair.now) + pair.b.held(pair.now) <= allShards().size());
    }
    CHECK(pair.a.held(pair.now) == 0);
    CHECK(pair.b.held(pair.now) == allShards().size());
    CHECK(held > 0);
    for (const auto &[shard, lease] : before->leases)
        CHECK(pair.store.fences[shard].fence >= lease.fence);
    pair.a.handle(LeaseTick{}, pair.now); // It wakes: the renewal alone gives nothing back.
    CHECK(pair.a.held(pair.now) + pair.b.held(pair.now) <= allShards().size());
}

TEST_CASE("a bystander learns within seconds who took a dead holder's shards over")
{
    for (Duration life = 12s; life < 24s; life += 1s) {
        Pair pair;
        const std::vector<Node> members{makeNode("a"), makeNode("b"), makeNode("c")};
        Holder c{pair.store, makeLeaseState(members[2]), std::make_shared<LeaseTable>(), {}};
        for (Holder *holder : {&pair.a, &pair.b, &c})
            holder->handle(LeaseNodesChanged{members}, pair.now);
        const auto run = [&](Duration length, bool aRuns) {
            for (const Time end = pair.now + length; pair.now < end;) {
                c.handle(LeaseTick{}, pair.now);
                pair.run(1s, aRuns, true);
            }
        };
        run(life, true);
        REQUIRE(pair.a.held(pair.now) > 0);
        run(10s, false);
        CAPTURE(life.count());
        for (const Shard &shard : allShards())
            CHECK(holderOf(*c.table, shard) != NodeId{"a"});
    }
}

TEST_CASE("a shard goes back to its first node only once that renews its lease")
{
    Pair pair;
    pair.run(10s, true, true);
    const std::size_t held = pair.a.held(pair.now);
    pair.run(20s, false, true);
    CHECK(pair.b.held(pair.now) == allShards().size());
    pair.run(15s, true, true);
    pair.a.handle(FencesChangedHeard{}, pair.now);
    CHECK(pair.a.held(pair.now) == held);
}

TEST_CASE("a lost answer to a renewal that took effect keeps the shards")
{
    Pair pair;
    pair.run(10s, true, true);
    for (int second = 0; second < 10; ++second, pair.now += 1s) {
        pair.a.handle(LeaseTick{}, pair.now, Answer::Lost);
        pair.b.handle(LeaseTick{}, pair.now);
    }
    CHECK(pair.a.held(pair.now) + pair.b.held(pair.now) == allShards().size());
    CHECK(pair.a.held(pair.now) > 0);
}

TEST_CASE("after an outage of the store nobody is robbed who comes back within the lease")
{
    Pair pair;
    pair.run(10s, true, true);
    const auto fences = pair.store.fences;
    pair.now += 1min;
    pair.b.handle(LeaseTick{}, pair.now); // First after the outage; it has seen nothing for long.
    pair.run(5s, true, true);
    for (const auto &[shard, row] : fences)
        CHECK(pair.store.fences[shard].fence == row.fence);
}

TEST_CASE("a planned stop hands every shard over and tells the next holder")
{
    Pair pair;
    pair.run(10s, true, true);
    pair.a.handle(LeaseReleaseAsked{}, pair.now);
    CHECK(hasReleased(pair.a.state));
    CHECK(pair.a.held(pair.now) == 0);
    REQUIRE_FALSE(pair.a.told.empty());
    pair.b.handle(FencesChangedHeard{}, pair.now);
    pair.run(2s, false, true);
    CHECK(pair.b.held(pair.now) == allShards().size());
}

TEST_CASE("a process that wakes after a newer one started under its id gives up for good")
{
    Pair pair;
    pair.run(10s, true, true);
    Holder successor{
            pair.store, makeLeaseState(makeNode("a", 2)), std::make_shared<LeaseTable>(), {}};
    successor.handle(LeaseNodesChanged{{makeNode("a", 2), makeNode("b")}}, pair.now);
    for (int second = 0; second < 5; ++second, pair.now += 1s)
        successor.handle(LeaseTick{}, pair.now);
    CHECK(successor.held(pair.now) > 0);
    pair.run(3s, true, false);
    CHECK(pair.a.state.superseded);
    CHECK(pair.a.held(pair.now) == 0);
}

TEST_CASE("a late read of fence rows does not bring an older holder back")
{
    Pair pair;
    pair.run(10s, true, true);
    FencesRead late;
    for (const auto &[shard, row] : pair.store.fences)
        late.rows.push_back({shard, {{"z"}, 1}, FencingNumber{1}});
    pair.run(10s, false, true);
    const std::size_t held = pair.b.held(pair.now);
    pair.b.handle(late, pair.now);
    CHECK(pair.b.held(pair.now) == held);
}

TEST_CASE("time in which the leases could not be read proves nothing about their holder")
{
    Pair pair;
    pair.run(10s, true, true);
    REQUIRE(pair.b.held(pair.now) < allShards().size());
    // Both stand still, so the watcher finds the row as it was a minute before.
    pair.now += 60s;
    pair.b.handle(LeaseTick{}, pair.now);
    pair.now += 1s;
    pair.b.handle(LeaseTick{}, pair.now);
    CHECK(pair.b.held(pair.now) < allShards().size());
    pair.run(10s, false, true);
    CHECK(pair.b.held(pair.now) == allShards().size());
}
