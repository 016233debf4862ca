#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/calls/crash_suspects.hpp>

/// Writes of crash records to the table service, and their exchange between nodes while it does not
/// answer.
namespace geraniumpulley::entry {

/// Pushes one `CrashRecordsStored` to the call duty.
void storeCrashRecords(Parts &parts, const core::StoreCrashRecords &action);

/// Receives the records of another node. \return false if the ring of the call duty is full.
bool receiveCrashRecords(Parts &parts, const net::PeerMessage &message);

} // namespace geraniumpulley::entry
