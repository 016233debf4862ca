#pragma once

#include <cstddef>

/// What one transaction of the store can hold.
namespace geraniumpulley::core {

/// Limit on the value of a row, in bytes before its encoding; the limit of the store is 64 KiB.
inline constexpr std::size_t maxRowBytes = 60 * 1024;

/// The room that is left in a transaction.
struct TransactionBudget
{
    std::size_t entries = 100; ///< Conditions, writes and removals; limit of the store.
    std::size_t bytes = 1'000'000; ///< Of the encoded call; limit of the store.
};

/// Reserves room for a value, which takes several rows if it is long.
/// \param nameBytes the size of the name of a row: its table, partition and key.
/// \return false if the room is too small; the budget is then unchanged.
bool reserveValue(TransactionBudget &budget, std::size_t valueBytes, std::size_t nameBytes);

/// Reserves room for conditions or removals.
/// \return false if the room is too small; the budget is then unchanged.
bool reserveNames(TransactionBudget &budget, std::size_t count, std::size_t nameBytes);

} // namespace geraniumpulley::core
