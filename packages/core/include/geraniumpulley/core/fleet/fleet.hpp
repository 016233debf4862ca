#pragma once

#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/control/view.hpp>
#include <geraniumpulley/core/fleet/directory.hpp>
#include <geraniumpulley/core/fleet/presence.hpp>
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

/// Decisions of the fleet duty: what this node knows of the store's tables, its own heartbeat, and
/// the weights of the engines.
namespace geraniumpulley::core {

enum class FleetTable {
    Routing, ///< The operators' routing table and the desired weights.
    Targets,
    Nodes, ///< Heartbeats of this system's nodes.
    Batches, ///< Heads of batches, and the lease on weight orders.
};
inline constexpr std::size_t fleetTableCount = 4;

struct DesiredModelWeights
{
    std::string model;
    WeightVersion version{};
};

/// Who may order weights. The row's version is the fencing number of its orders.
struct OrdersLease
{
    NodeId holder; ///< Empty when the last holder gave it up.
    std::uint64_t incarnation = 0;
    RowVersion version{};
};

using FleetRecord =
        std::variant<std::monostate, std::shared_ptr<const RoutingTable>, DesiredModelWeights,
                     FleetTarget, NodeBeat, BatchHead, OrdersLease>;

struct FleetRow
{
    std::string key;
    RowVersion version{};
    FleetRecord record; ///< Empty for a removed row, and for one that cannot be read.
};

// Events

struct TableRead
{
    FleetTable table = FleetTable::Routing;
    bool whole = false; ///< The rows are all of the table, not only changes.
    std::vector<FleetRow> rows;
    RowVersion upTo{};
    Duration storeClock{};
};
struct TableReadFailed
{
    FleetTable table = FleetTable::Routing;
    bool historyGone = false;
};
/// Rows of routing and targets as another node last read them.
struct PeerTablesHeard
{
    std::vector<TableRead> tables;
};
struct BeatWritten
{
    Time sentAt{};
    bool done = false;
};
struct OrdersLeaseWritten
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    RowVersion version{};
};
struct EngineStateHeard
{
    TargetId target;
    std::optional<EngineState> state;
};
struct WeightOrderReplied
{
    TargetId target;
    WeightOrderReply reply = WeightOrderReply::Unknown;
};
/// This machine stood still for a while that its monotonic clock did not count.
struct ClockSuspended
{
};
struct FleetDraining
{
};
struct FleetTick
{
};

using FleetEvent = std::variant<TableRead, TableReadFailed, PeerTablesHeard, BeatWritten,
                                OrdersLeaseWritten, EngineStateHeard, WeightOrderReplied,
                                ClockSuspended, FleetDraining, FleetTick>;

// Actions

struct ReadTable
{
    FleetTable table = FleetTable::Routing;
};
struct FollowTable
{
    FleetTable table = FleetTable::Routing;
    RowVersion after{};
    Duration wait{};
};
/// Asks another node for its copy of the tables that this one has not been able to read yet.
struct AskPeerTables
{
};
struct WriteBeat
{
    NodeBeat beat;
};
/// Writes the lease on weight orders on condition of its row's version.
struct WriteOrdersLease
{
    OrdersLease lease;
    RowVersion expected{};
};
/// Gives the duties a new picture.
struct PublishDirectory
{
    DirectoryPointer directory;
    bool routesChanged = false; ///< More than heartbeats differs from the last one.
};

using FleetAction = std::variant<ReadTable, FollowTable, AskPeerTables, WriteBeat, WriteOrdersLease,
                                 AskEngineState, PlaceWeightOrder, PublishDirectory>;

struct FleetSettings
{
    Node self;
    std::uint32_t capacity = 0; ///< Processor time in thousandths of a core; 0 when not known.
    PresenceSettings presence;
    Duration leaseTime = std::chrono::seconds(3); ///< An earlier holder's orders end within it.
    /// How long a beat that the store has taken proves this node's ownership: less than the
    /// silence after which others take over.
    Duration ownershipProof = std::chrono::milliseconds(1400);
    /// After an outage of the store, entries of living targets are back within this time.
    Duration lapseLimit = std::chrono::milliseconds(2200);
    Duration takeoverStep = std::chrono::milliseconds(700); ///< For each node ranked before.
    /// After a write of the lease that failed; by then the feed shows who has it.
    Duration leaseRetryDelay = std::chrono::milliseconds(500);
    Duration peerAskPeriod = std::chrono::milliseconds(400); ///< Of a node that knows no tables.
};

struct KnownTarget
{
    FleetTarget target;
    std::optional<Time> missingSince; ///< Its row has lapsed, perhaps in an outage of the store.
};

struct FleetState
{
    FleetSettings settings;
    std::array<TableFollower, fleetTableCount> followers;
    Presence presence;
    std::uint64_t beats = 0;
    Time nextBeat{};
    Time ownershipKnownUntil{};
    std::shared_ptr<const RoutingTable> routing;
    RowVersion routingRow{};
    std::map<TargetId, KnownTarget> targets;
    Time nextPeerAsk{};
    WeightMap desiredWeights;
    BatchMap batches;
    OrdersLease lease;
    Time leaseRetryAt{};
    Time ordersAllowedFrom{};
    WeightOrders orders;
    Directory published; ///< Its parts are kept while they do not change.
    std::optional<Time> leaseFreeSince;
    std::optional<Time> targetsFailedAt; ///< When the last read of the targets failed.
    std::optional<Duration> storeClockOffset;
    bool beating = false; ///< A heartbeat is under way.
    bool leaseWriting = false;
    bool targetsKnown = false;
    bool batchesKnown = false;
    bool draining = false;
    bool changed = false; ///< Something other than heartbeats differs from `published`.
    bool presenceChanged = false;
};

/// \return the state of a node that knows nothing yet; its first tick reads all tables.
FleetState makeFleetState(FleetSettings settings, Time now);

/// Takes one event and returns what has to be done about it.
/// Invariants: the routing table never goes back to an older row; orders are placed only while
/// this node's lease is proved.
/// Complexity: linear in the rows of the event, and in targets and batches for a change of them.
std::vector<FleetAction> step(FleetState &state, const FleetEvent &event, Time now);

/// \return when the next tick is needed: always later than a tick that has just been taken.
std::optional<Time> dueAt(const FleetState &state, Time now);

} // namespace geraniumpulley::core
