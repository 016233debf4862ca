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

/// Decisions on shard leases: renewal, takeover, handover, and expiry at the holder.
namespace geraniumpulley::core {

/// The row `lease/NODE`. A node has one such row regardless of the number of shards that it holds.
struct LeaseRecord
{
    std::uint64_t incarnation = 0;
    /// Incremented by each renewal; identifies a write after a lost answer.
    std::uint64_t counter = 0;
    bool stopping = false; ///< The node releases its shards and must not be given any.

    auto operator<=>(const LeaseRecord &) const = default;
};

/// The row `fence/SHARD`, which is written only when the holder changes. The holder of a released
/// shard is empty.
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
    FencingToken fence{}; ///< Version of the row; 0 when there is no row.
};

/// A change of one shard's holder, conditional on the fence row and, in a takeover, on the lease of
/// the previous holder.
struct FenceChange
{
    FenceRow expectedRow;
    FenceRecord newRecord;
    std::optional<RowVersion> holderLeaseVersion; ///< Set only in a takeover of an expired lease.
};

// Events

struct LeaseTick
{
};
struct LeaseNodesChanged
{
    std::vector<Node> nodes; ///< All live nodes, including this one.
};
/// Carries all fence rows of the store.
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

struct LeaseCommitCompleted
{
    CommitResult result = CommitResult::Uncertain;
};
/// Reports that another node changed fence rows. The rows are read from the store and never taken
/// from the message.
struct FencesChanged
{
};
/// Requests the release of all shards before this process stops.
struct LeaseReleaseRequested
{
};

using LeaseEvent = std::variant<LeaseTick, LeaseNodesChanged, FencesRead, LeaseRowRead,
                                LeaseCommitCompleted, FencesChanged, LeaseReleaseRequested>;

// Actions

struct ReadFences
{
};
struct ReadLeaseRow
{
    NodeId node;
};
/// Renews this node's lease and changes shard holders in one transaction. At most one such
/// transaction is in flight.
struct CommitLeases
{
    NodeId self;
    LeaseRecord renewal;
    RowVersion expectedVersion{};
    std::vector<FenceChange> changes;
};
struct NotifyFencesChanged
{
    Node to;
};
struct PublishLeases
{
    LeaseTablePointer table;
};

using LeaseAction =
        std::variant<ReadFences, ReadLeaseRow, CommitLeases, NotifyFencesChanged, PublishLeases>;

struct LeaseSettings
{
    Duration ttl = std::chrono::seconds(5); ///< Time without renewal until a shard is taken over.
    Duration safetyMargin = std::chrono::seconds(1); ///< Earlier expiry at the holder.
    Duration settleTime = std::chrono::seconds(2); ///< Required time without a membership change.
    /// Time between two reads of all fence rows, for each member. The nodes together issue 33 reads
    /// per second, regardless of their number, within the two bounds below.
    Duration fenceReadPeriodPerNode = std::chrono::milliseconds(30);
    Duration minFenceReadPeriod = std::chrono::seconds(2);
    Duration maxFenceReadPeriod = std::chrono::seconds(10);
    Duration maxObservationGap = std::chrono::seconds(3); ///< Longest gap within an observation.
};

/// An observation of another node's lease row, timed by the local clock.
struct LeaseObservation
{
    std::optional<LeaseRecord> record;
    RowVersion version{};
    Time unchangedSince{};
    Time lastReadAt{};
    bool wasRenewed = false; ///< Whether the row changed while it was observed.
};

struct KnownFence
{
    FenceRow row;
    Time learnedAt{}; ///< Time at which this node learned of the row.
};

/// The nodes with the highest and the second highest rendezvous score for a shard.
struct ShardRanking
{
    std::optional<Node> first;
    std::optional<Node> second;
};

/// The transaction that is in flight or whose outcome is unknown.
struct LeaseCommit
{
    CommitLeases commit;
    Time sentAt{};
    bool uncertain = false; ///< Whether the answer was lost.
};

struct LeaseState
{
    Node self;
    LeaseSettings settings;
    std::optional<std::vector<Node>> membersToRank; ///< Set until the next tick ranks the members.
    std::map<Shard, ShardRanking> rankings;
    std::map<Shard, KnownFence> fences;
    std::map<NodeId, LeaseObservation> observations;
    std::optional<LeaseCommit> pendingCommit;
    std::optional<RowVersion> ownRowVersion; ///< Empty until this node's row has been read.
    std::optional<Time> renewedAt; ///< Send time of the last successful renewal.
    std::optional<Time> fencesReadAt;
    std::size_t memberCount = 1;
    Time membersChangedAt{}; ///< Time of the last membership change.
    std::uint64_t counter = 0; ///< Number of renewals sent by this process.
    bool renewOnly = false; ///< Whether the next transaction must not change any holder.
    bool stopping = false;
    bool replaced = false; ///< Whether a newer process runs under this node's id.
};

LeaseState makeLeaseState(Node self, LeaseSettings settings = {});

/// \return all shards of all kinds.
std::vector<Shard> allShards();

/// \return whether this node has released all of its shards after `LeaseReleaseRequested`.
bool hasReleased(const LeaseState &state);

/// Processes one event and returns the actions to perform.
/// Invariant: the known fencing token of a shard never decreases.
/// Complexity: linear in shards; shards times nodes for the first tick after `LeaseNodesChanged`.
std::vector<LeaseAction> step(LeaseState &state, const LeaseEvent &event, Time now);

} // namespace geraniumpulley::core
