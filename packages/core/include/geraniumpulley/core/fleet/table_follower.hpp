#pragma once

#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

/// Scheduling of full reads of a table and of long polls for its changes.
namespace geraniumpulley::core {

struct FollowerSettings
{
    Duration readDelay{}; ///< The time between an answer and the next read.
    /// The maximum time that the store holds a long poll open.
    Duration pollTimeout{};
    /// The time between two full reads, which are needed because the feed of changes can lose some
    /// silently. 0 for a table that is never read in full.
    Duration fullReadPeriod{};
    /// The limit up to which the delay between reads grows with the number of nodes.
    Duration maxReadDelay = std::chrono::milliseconds(1000);
    /// The limit up to which the time between two full reads grows with the number of nodes.
    Duration maxFullReadPeriod = std::chrono::milliseconds(4000);
    /// The delay after the first failed read; it doubles with each further one.
    Duration retryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::milliseconds(400);
};

struct TableFollower
{
    FollowerSettings settings;
    bool readInFlight = false;
    bool fullReadPending = true;
    RowVersion upTo{}; ///< All changes up to this version have been read.
    Time nextReadAt{};
    Time nextFullReadAt{};
    /// The factor by which the delays between reads are multiplied; see `periodFactorFor`.
    double periodFactor = 1;
    std::uint32_t failures = 0; ///< The number of consecutive failed reads.
    Time readStartedAt{}; ///< When the last read was started.
    /// When the first of the consecutive failed reads was started.
    std::optional<Time> failingSince;
};

struct ReadFullTable
{
};
struct ReadTableChanges
{
    RowVersion after{};
    Duration pollTimeout{};
};

using FollowerRead = std::variant<ReadFullTable, ReadTableChanges>;

/// \return the factor by which the delays between reads grow with the number of nodes, so that all
/// nodes together stay below the request rate that the store allows.
double periodFactorFor(std::size_t nodes);

/// Starts the read that is due, if any.
/// \return the read to perform, which counts as in flight from now on.
std::optional<FollowerRead> nextRead(TableFollower &follower, Time now);

/// \return when to call `nextRead` next, or nothing while a read is in flight.
std::optional<Time> dueAt(const TableFollower &follower);

/// Records a completed read of everything up to a version.
/// \return how long reads had been failing.
Duration recordReadCompleted(TableFollower &follower, bool wasFull, RowVersion upTo, Time now);

/// Records a failed read.
/// \param historyGone whether the store no longer keeps the changes that were requested.
void recordFailure(TableFollower &follower, bool historyGone, Time now);

} // namespace geraniumpulley::core
