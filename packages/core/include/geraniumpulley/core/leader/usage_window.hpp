#pragma once

#include <geraniumpulley/core/accounts/client_accounts.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <map>

/// Windows of wall-clock time by which the use of client accounts is reported.
namespace geraniumpulley::core {

/// The number of a window: the windows of the same length since the start of 1970.
enum class UsageWindow : std::uint64_t {};

/// The requests of each account that began to run in a window.
using UsageCounts = std::map<AccountName, std::uint64_t>;

/// \return the window that contains a point in time.
UsageWindow windowAt(WallTime time, Duration length);

/// \return the end of a window, which is the start of the next one.
WallTime endOf(UsageWindow window, Duration length);

/// Adds the counts of each account.
void addCounts(UsageCounts &sum, const UsageCounts &counts);

} // namespace geraniumpulley::core
