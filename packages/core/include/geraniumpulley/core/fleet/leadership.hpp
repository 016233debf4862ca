#pragma once

#include <geraniumpulley/core/control/lease.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <optional>

/// Leadership by a lease in the table service: which node is the leader, and when this node may act
/// as the leader.
namespace geraniumpulley::core {

/// The lease on weight orders: only its holder sends them. The version of its row is the fencing
/// token of the orders.
struct WeightOrderLease
{
    NodeId holder; ///< Empty if the last holder has released the lease.
    std::uint64_t incarnation = 0;
    RowVersion version{};
};

/// A row that states that the holder of the lease of that version has begun to act. The holder
/// before it had stopped by then.
struct LeaseInUse
{
    RowVersion lease{};
};

/// Which node is the leader, which alone orders weights and targets and reports usage.
struct Leadership
{
    NodeId holder; ///< Empty if no node holds the lease.
    bool isHeldHere = false; ///< Whether the lease names this node, as far as it knows.
    FencingToken fence{}; ///< Rises with each holder.
    /// If this node holds the lease, when it may act for the first time.
    Time actsFrom{};
    /// No other node acts as the leader before this time.
    Time provenUntil{};

    bool operator==(const Leadership &) const = default;
};

/// The right to act as the leader. Whatever the leader sends without a condition that the store
/// checks carries it, and is not sent after `validUntil`.
struct LeadershipProof
{
    FencingToken fence{};
    Time validUntil{};
};

/// \return the right of this node to act as the leader now, if it has it.
std::optional<LeadershipProof> proofOf(const Leadership &leadership, Time now);

struct LeadershipSettings
{
    /// How long a new holder waits before it acts.
    Duration leaseDuration = std::chrono::seconds(3);
    /// The end of the lease in which the holder sends nothing more, so that what it has sent
    /// arrives within the lease.
    Duration transitMargin = std::chrono::milliseconds(500);
    /// The time between two checks of the lease by its holder.
    Duration checkPeriod = std::chrono::milliseconds(500);
    Duration checkRetryDelay = std::chrono::milliseconds(100); ///< After a check without result.
    /// The time between two writes that state that the lease is in use, until the store shows it.
    Duration useWritePeriod = std::chrono::seconds(1);
};

/// What a node knows of the lease.
struct LeadershipState
{
    NodeId self;
    std::uint64_t incarnation = 0;
    LeadershipSettings settings;
    WeightOrderLease lease;
    Time actsFrom{}; ///< If this node holds the lease, when it may act for the first time.
    /// When the last check that found this node as the holder was sent.
    std::optional<Time> confirmedAt;
    /// Checks that were sent at this time or before confirm nothing.
    Time checksCountAfter{};
    Time nextCheckAt{};
    bool checkInFlight = false;
    /// The version of the lease that the store says is in use.
    RowVersion versionInUse{};
    Time nextUseWriteAt{};
};

/// \param leaseDuration how long a new holder waits; if it is short, margin and periods are too.
LeadershipState makeLeadership(NodeId self, std::uint64_t incarnation, Duration leaseDuration);

/// Reads the row of the lease from the store.
struct CheckLease
{
};

/// A `CheckLease` has completed.
struct LeaseChecked
{
    Time sentAt{}; ///< When the read was sent.
    bool succeeded = false;
    WeightOrderLease lease; ///< Version 0 if there is no row.
};

/// \return whether the lease names this incarnation of this node, as far as it knows.
bool holdsLease(const LeadershipState &state);

/// Records a row of the lease, from a read of its table or as the result of an own write.
/// \return whether the row is newer than the known one.
bool recordLease(LeadershipState &state, const WeightOrderLease &lease, Time now);

/// Records the result of a check.
/// \return whether its row is newer than the known one.
bool recordLeaseCheck(LeadershipState &state, const LeaseChecked &check, Time now);

/// Ends the right to act until a check that is sent after `now` confirms the lease.
void requireLeaseCheck(LeadershipState &state, Time now);

/// \return the check of the lease that is due, if any; it counts as in flight from now on.
std::optional<CheckLease> nextLeaseCheck(LeadershipState &state, Time now);

/// \return when a check is due, or nothing while none is needed or one is in flight.
std::optional<Time> leaseCheckDueAt(const LeadershipState &state);

/// Records the row that states which lease is in use.
void recordLeaseInUse(LeadershipState &state, const LeaseInUse &row);

/// Called while this node acts as the leader.
/// \return the row to write, if the store does not say yet that the lease is in use.
std::optional<LeaseInUse> nextUseWrite(LeadershipState &state, Time now);

/// \return the leadership as other parts of this node see it.
Leadership leadershipOf(const LeadershipState &state);

} // namespace geraniumpulley::core
