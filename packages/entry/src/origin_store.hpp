#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/entry/entry.hpp>

/// Reads and writes of stream origins in the table service. Reads and writes push one event with
/// their outcome to the call duty.
namespace geraniumpulley::entry {

void storeStreamOrigins(Parts &parts, const core::StoreStreamOrigins &action);
void findStreamOrigin(Parts &parts, const core::FindStreamOrigin &action);

/// Removes expired origins in some of the rows, if this node ranks first for it.
/// \param firstKey where the last call has stopped, which this call moves on.
void sweepStreamOrigins(Parts &parts, const std::shared_ptr<std::string> &firstKey);

} // namespace geraniumpulley::entry
