#pragma once

#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/// Decisions on shard leases: renewal, takeover, handover and the holder's own doubt.
namespace geraniumpulley::core {

/// The row `lease/NODE`: one for a node, whatever number of shards it holds.
struct LeaseRecord
{
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0; ///< Rises with each renewal; tells a lost answer's own write.
    bool stopping = false; ///< The node gives its shards up and must not get any back.

    auto operator<=>(const LeaseRecord &) const = default;
};

/// The row `fence/SHARD`, written only when the holder changes. An empty holder is a released
/// shard.
struct FenceRecord
{
    NodeId holder;
    std::uint64_t incarnation = 0;

    auto operator<=>(const FenceRecord &) const = default;
};

struct FenceRow
{
    Shard shard;
    FenceRecord record;
    FencingNumber fence{}; ///< The row's version; 0 when there is no row.
};

/// A change of one shard's holder, conditional on the fence row and on the old holder's lease.
struct FenceChange
{
    FenceRow expected;
    FenceRecord record;
    std::optional<RowVersion> holderLease; ///< Checked only in a takeover from a silent holder.
};

// Events

struct LeaseTick
{
};
struct LeaseNodesChanged
{
    std::vector<Node> nodes; ///< Live nodes, this one included.
};
/// All fence rows of the store.
struct FencesRead
{
    std::vector<FenceRow> rows;
};
struct LeaseRowRead
{
    NodeId node;
    std::optional<LeaseRecord> record;
    RowVersion version{};
};
enum class CommitResult { Committed, Refused, Uncertain };

struct LeaseCommitAnswered
{
    CommitResult result = CommitResult::Uncertain;
};
/// Another node says that fence rows changed; they are read, never taken from the message.
struct FencesChangedHeard
{
};
/// This process is about to stop and gives up its shards.
struct LeaseReleaseAsked
{
};

using LeaseEvent = std::variant<LeaseTick, LeaseNodesChanged, FencesRead, LeaseRowRead,
                                LeaseCommitAnswered, FencesChangedHeard, LeaseReleaseAsked>;

// Actions

struct ReadFences
{
};
struct ReadLeaseRow
{
    NodeId node;
};
/// Renews this node's lease and changes holders, all in one transaction. There is never more than
/// one under way.
struct CommitLeases
{
    NodeId self;
    LeaseRecord renewal;
    RowVersion expected{};
    std::vector<FenceChange> changes;
};
struct TellFencesChanged
{
    Node to;
};
struct PublishLeases
{
    LeaseTablePointer table;
};

using LeaseAction =
        std::variant<ReadFences, ReadLeaseRow, CommitLeases, TellFencesChanged, PublishLeases>;

struct LeaseSettings
{
    Duration ttl = std::chrono::seconds(5); ///< Silence after which a shard is taken over.
    Duration margin = std::chrono::seconds(1); ///< The holder doubts itself this much earlier.
    Duration settle = std::chrono::seconds(2); ///< Members must be unchanged for this long.
    /// Between two reads of all fence rows, for each member: the reads of all nodes together stay
    /// at 33 a second, whatever their number, within the two bounds below.
    Duration fencesPeriodPerNode = std::chrono::milliseconds(30);
    Duration leastFencesPeriod = std::chrono::seconds(2);
    Duration mostFencesPeriod = std::chrono::seconds(10);
    Duration watchGap = std::chrono::seconds(3); ///< A longer gap restarts an observation.
};

/// What this node has seen of another one's lease row, on its own clock.
struct LeaseObservation
{
    std::optional<LeaseRecord> record;
    RowVersion version{};
    Time unchangedSince{};
    Time lastRead{};
    bool wasRenewed = false; ///< The row changed while it was watched.
};

struct KnownFence
{
    FenceRow row;
    Time learnt{};
};

/// The nodes of the highest and second highest rendezvous score of a shard.
struct ShardRanking
{
    std::optional<Node> first;
    std::optional<Node> second;
};

/// The transaction under way, or one whose answer was lost.
struct LeaseCommit
{
    CommitLeases commit;
    Time sent{};
    bool uncertain = false;
};

struct LeaseState
{
    Node self;
    LeaseSettings settings;
    std::optional<std::vector<Node>> unranked; ///< Members that the next tick ranks.
    std::map<Shard, ShardRanking> rankings;
    std::map<Shard, KnownFence> fences;
    std::map<NodeId, LeaseObservation> observations;
    std::optional<LeaseCommit> commit;
    std::optional<RowVersion> ownRow; ///< Nothing until it is read back.
    std::optional<Time> renewed; ///< When the last renewal that succeeded was sent.
    std::optional<Time> fencesRead;
    std::size_t memberCount = 1;
    Time membersSince{}; ///< When the members last changed.
    std::uint64_t counter = 0;
    bool renewOnly = false; ///< After a refusal the next transaction changes no holder.
    bool stopping = false;
    bool superseded = false; ///< A newer process runs under this node's id.
};

LeaseState makeLeaseState(Node self, LeaseSettings settings = {});

/// \return every shard of every kind.
std::vector<Shard> allShards();

/// \return whether this node gave up all its shards after `LeaseReleaseAsked`.
bool hasReleased(const LeaseState &state);

/// Takes one event and returns what has to be done about it.
/// Invariant: a fencing number that this node knows never falls.
/// Complexity: linear in shards; times nodes for the first tick after `LeaseNodesChanged`.
std::vector<LeaseAction> step(LeaseState &state, const LeaseEvent &event, Time now);

} // namespace geraniumpulley::core
