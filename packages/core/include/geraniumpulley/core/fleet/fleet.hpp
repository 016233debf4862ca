#pragma once

#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/fleet/assignment_cache.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/fleet/leadership.hpp>
#include <geraniumpulley/core/fleet/presence.hpp>
#include <geraniumpulley/core/fleet/store_clock.hpp>
#include <geraniumpulley/core/fleet/table_follower.hpp>
#include <geraniumpulley/core/fleet/weight_orders.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/store_outcome.hpp>
#include <geraniumpulley/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the fleet duty, which follows the store's tables, writes this node's heartbeat and
/// keeps the weights of the engines up to date.
namespace geraniumpulley::core {

enum class FleetTable {
    Routing, ///< The operators' routing table and the desired weights.
    Targets, ///< The targets with the state that they report.
    Nodes, ///< The heartbeats of this system's nodes.
    Batches, ///< The heads of batches, the lease on weight orders, and crash records.
};
inline constexpr std::size_t fleetTableCount = 4;

struct DesiredModelWeights
{
    std::string model;
    WeightVersion version{};
};

using FleetRecord =
        std::variant<std::monostate, std::shared_ptr<const RoutingTable>, DesiredModelWeights,
                     std::shared_ptr<const FleetTarget>, NodeHeartbeat, BatchHead, WeightOrderLease,
                     LeaseInUse, CrashRecord>;

struct FleetRow
{
    std::string key;
    RowVersion version{};
    FleetRecord record; ///< Empty for a removed row, and for one that cannot be decoded.
};

// Events

/// Rows of a table, from a full read or as the changes since the last read.
struct TableReadCompleted
{
    FleetTable table = FleetTable::Routing;
    bool isFull = false; ///< Whether these are all rows of the table, not only changes.
    std::vector<FleetRow> rows;
    RowVersion upTo{}; ///< The rows include all changes up to this version.
    Duration storeClock{}; ///< The time on the store's clock; 0 if unknown.
};
struct TableReadFailed
{
    FleetTable table = FleetTable::Routing;
    bool historyGone = false; ///< Whether the store no longer keeps the requested changes.
};
/// Rows of routing and targets from the last full reads of another node.
struct PeerTablesReceived
{
    std::vector<TableReadCompleted> tables;
};
struct HeartbeatWriteCompleted
{
    Time sentAt{}; ///< When the write of the heartbeat was sent.
    bool succeeded = false;
};
struct WeightOrderLeaseWriteCompleted
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    RowVersion version{};
};
struct EngineStateReceived
{
    TargetId target;
    std::optional<EngineState> state;
};
struct WeightOrderReplyReceived
{
    TargetId target;
    WeightOrderReply reply = WeightOrderReply::Unknown;
};
/// The machine was suspended, for a time that the monotonic clock did not count.
struct MachineSuspended
{
};
/// A target has stated in an answer that it shuts down.
struct TargetLeavingStated
{
    TargetId target;
};
/// This node can no longer open connections to targets, or can again.
struct TargetReachChanged
{
    bool reachesTargets = true;
};
/// This node is shutting down: it acquires no lease and releases the one that it holds.
struct FleetDraining
{
};
struct FleetTick
{
};

using FleetEvent =
        std::variant<TableReadCompleted, TableReadFailed, PeerTablesReceived,
                     HeartbeatWriteCompleted, WeightOrderLeaseWriteCompleted, LeaseChecked,
                     EngineStateReceived, WeightOrderReplyReceived, MachineSuspended,
                     TargetLeavingStated, TargetReachChanged, FleetDraining, FleetTick>;

// Actions

/// Reads all rows of a table.
struct ReadTable
{
    FleetTable table = FleetTable::Routing;
};
/// Reads the changes of a table after a version by a long poll.
struct FollowTable
{
    FleetTable table = FleetTable::Routing;
    RowVersion after{};
    Duration pollTimeout{};
};
/// Requests from another node its copy of the tables that this node has not yet been able to read.
struct RequestPeerTables
{
};
struct WriteHeartbeat
{
    NodeHeartbeat heartbeat;
};
/// Writes the lease on weight orders if its row still has the expected version.
struct WriteWeightOrderLease
{
    WeightOrderLease lease;
    RowVersion expected{};
};
/// Writes that the lease is in use, on condition that it still has that version.
struct WriteLeaseInUse
{
    LeaseInUse row;
};
/// Publishes a new snapshot to the other duties.
struct PublishDirectory
{
    DirectoryPointer directory;
    /// Whether anything but heartbeats differs from the last snapshot.
    bool contentChanged = false;
};

using FleetAction = std::variant<ReadTable, FollowTable, RequestPeerTables, WriteHeartbeat,
                                 WriteWeightOrderLease, CheckLease, WriteLeaseInUse,
                                 RequestEngineState, SendWeightOrder, PublishDirectory>;

struct FleetSettings
{
    Node self;
    /// The CPU capacity in thousandths of a core; 0 if unknown.
    std::uint32_t capacityMillicores = 0;
    PresenceSettings presence;
    /// How long a new lease holder waits before it acts; the last holder has stopped by then.
    Duration leaseDuration = std::chrono::seconds(3);
    /// How long a heartbeat that the store has accepted proves this node's ownership: less than the
    /// heartbeat timeout, after which other nodes take over.
    Duration ownershipValidity = std::chrono::milliseconds(1400);
    /// How long the targets have to be unreadable, directly and through other nodes, to suspect an
    /// outage of the store in which rows lapse: longer than one read that times out, and shorter
    /// than the silence after which the row of a live target is removed.
    Duration minLapseOutage = std::chrono::milliseconds(1500);
    /// How long after the end of such an outage targets without a row are kept: live targets have
    /// written their rows again by then.
    Duration lapsedTargetRetention = std::chrono::milliseconds(2200);
    /// How long after a failed read of the targets it is kept which removed targets were leaving.
    Duration leavingTargetRetention = std::chrono::minutes(1);
    /// The delay of a takeover of the lease for each node that is ranked before this one.
    Duration takeoverDelayPerRank = std::chrono::milliseconds(700);
    /// The time between two writes of the lease; by the second one the feed shows the holder.
    Duration leaseRetryDelay = std::chrono::milliseconds(500);
    /// The time between requests to peers while this node knows no routing or targets.
    Duration peerRequestPeriod = std::chrono::milliseconds(400);
};

struct KnownTarget
{
    std::shared_ptr<const FleetTarget> target;
    bool isMissing = false; ///< Whether the table has no row of it.
};

struct FleetState
{
    FleetSettings settings;
    std::array<TableFollower, fleetTableCount> followers;
    Presence presence;
    std::uint64_t heartbeatCounter = 0; ///< The counter in the last heartbeat of this node.
    Time nextHeartbeatAt{};
    Time ownershipValidUntil{};
    std::shared_ptr<const RoutingTable> routing;
    RowVersion routingRowVersion{}; ///< The version of the row that `routing` was read from.
    std::map<TargetId, KnownTarget> targets;
    /// The start times of the targets that have stated in answers that they shut down. Their rows
    /// may say so later, or never.
    std::map<TargetId, std::uint64_t> leavingTargets;
    Time nextPeerRequestAt{};
    WeightMap desiredWeights;
    BatchMap batches;
    std::map<std::string, CrashRecord> crashRecords; ///< By the key of their row.
    LeadershipState leadership;
    Time leaseRetryAt{}; ///< The earliest time of the next write of the lease.
    WeightOrders weightOrders;
    AssignmentCache assignments; ///< Filled only while this node sends weight orders.
    /// The last snapshot; unchanged parts are shared with the next one.
    Directory published;
    /// When this node found that no live node holds the lease.
    std::optional<Time> leaseFreeSince;
    /// When the last failed read of the targets failed.
    std::optional<Time> targetsReadFailedAt;
    /// When the targets were read again after an outage of the store in which rows may have lapsed.
    std::optional<Time> lapseOutageEndedAt;
    StoreClock storeClock;
    bool heartbeatInFlight = false; ///< Whether a write of a heartbeat is in flight.
    bool leaseWriteInFlight = false;
    bool leaseReleaseInFlight = false; ///< Whether the last write of the lease releases it.
    bool targetsKnown = false;
    bool batchesKnown = false;
    bool draining = false;
    bool reachesTargets = true; ///< Whether this node can open connections to targets.
    /// Whether anything but heartbeats differs from `published`.
    bool contentChanged = false;
    bool targetsChanged = false; ///< Whether the targets differ from those in `published`.
    bool crashesChanged = false; ///< Whether the crash records differ from those in `published`.
    bool presenceChanged = false;
};

/// \return the initial state of a node; its first tick reads all tables.
FleetState makeFleetState(FleetSettings settings, Time now);

/// Handles one event.
/// \return the actions to perform.
/// Invariants: the routing table is never replaced by an older row; weight orders are sent only
/// while a recent heartbeat proves that this node still holds the lease.
/// Complexity: linear in the rows of the event; a change of the targets adds the number of targets,
/// and one of the batches the number of batches.
std::vector<FleetAction> step(FleetState &state, const FleetEvent &event, Time now);

/// \return the right of this node to send weight orders now, if it has it.
std::optional<LeadershipProof> weightOrderProof(const FleetState &state, Time now);

/// \return when the next tick is due; directly after a tick this is later than `now`.
std::optional<Time> dueAt(const FleetState &state, Time now);

} // namespace geraniumpulley::core
