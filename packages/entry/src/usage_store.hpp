#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/leader/leader.hpp>

/// Reads and writes of usage rows in the table service. Each call except `removeUsageRows` pushes
/// one event with its outcome to the leader duty.
namespace geraniumpulley::entry {

void storeUsageCounts(Parts &parts, const core::NodeId &self, std::uint64_t incarnation,
                      const core::StoreUsageCounts &action);
void findUsageReport(Parts &parts, const core::FindUsageReport &action);
void readUsageCounts(Parts &parts, const core::ReadUsageCounts &action);
void decideUsageReport(Parts &parts, const core::DecideUsageReport &action);
void removeUsageRows(Parts &parts, const core::RemoveUsageRows &action);

} // namespace geraniumpulley::entry
