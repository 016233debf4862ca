#pragma once

#include <geraniumpulley/core/row_version.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

/// When a node reads a table of the store whole, and when it asks for what has changed.
namespace geraniumpulley::core {

struct FollowSettings
{
    Duration pause{}; ///< Between an answer and the next question.
    Duration wait{}; ///< How long the store may hold a question until there is a change.
    /// Between two reads of the whole table: a feed may miss changes without a sign. 0 for a table
    /// that is never read whole.
    Duration rereadPeriod{};
    /// Up to which the pause grows with the number of nodes.
    Duration longestPause = std::chrono::milliseconds(1000);
    /// Up to which the time between two whole reads grows.
    Duration longestReread = std::chrono::milliseconds(4000);
    Duration retryDelay = std::chrono::milliseconds(100); ///< After a failed read; doubles.
    Duration longestRetryDelay = std::chrono::milliseconds(400);
};

struct TableFollower
{
    FollowSettings settings;
    bool reading = false;
    bool wantsWhole = true;
    RowVersion upTo{}; ///< Everything before is known.
    Time nextRead{};
    Time nextWhole{};
    double stretch = 1; ///< Of the pauses; see `stretchFor`.
    std::uint32_t failures = 0; ///< In a row.
};

struct ReadWholeTable
{
};
struct ReadTableChanges
{
    RowVersion after{};
    Duration wait{};
};

using FollowerRead = std::variant<ReadWholeTable, ReadTableChanges>;

/// \return by how much the pauses between reads are longer with so many nodes, so that all nodes
/// together stay below the rates of the store.
double stretchFor(std::size_t nodes);

/// \return the read that is due, which then counts as under way, or nothing.
std::optional<FollowerRead> nextRead(TableFollower &follower, Time now);

/// \return when `nextRead` is to be called next; nothing while a read is under way.
std::optional<Time> dueAt(const TableFollower &follower);

/// Notes that a read was answered with everything up to a version.
void noteAnswer(TableFollower &follower, bool wasWhole, RowVersion upTo, Time now);

/// Notes that a read failed. \param historyGone the store does not know the changes any more.
void noteFailure(TableFollower &follower, bool historyGone, Time now);

} // namespace geraniumpulley::core
