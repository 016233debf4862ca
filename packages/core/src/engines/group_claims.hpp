#pragma once

#include <geraniumpulley/core/engines/engines.hpp>

#include <map>
#include <string>
#include <vector>

/// This node's claims on the groups of engines that it owns. Each claim is a row of the table.
namespace geraniumpulley::core {

/// Copies the existing claim on a group into `claims`, or adds a new one.
void retainOrAddClaim(EnginesState &state, const std::string &key, Time now,
                      std::map<std::string, GroupClaim> &claims);

/// Requests a read of each claim that is due for a check.
void requestDueClaimReads(EnginesState &state, Time now, std::vector<EnginesAction> &actions);

/// Confirms, writes or drops a claim according to its row.
void onClaimRead(EnginesState &state, const GroupClaimRead &event, Time now,
                 std::vector<EnginesAction> &actions);

/// \return until when orders may be sent under a held claim, unless it is confirmed anew.
Time ordersValidUntil(const EnginesState &state, const EngineGroup &group, const GroupClaim &claim);

/// Drops a claim; the group is not claimed again for twice the silence timeout.
void dropClaim(EnginesState &state, GroupClaim &claim, Time now);

} // namespace geraniumpulley::core
