#pragma once

#include <geraniumpulley/core/engines/engines.hpp>

#include <map>
#include <string>
#include <vector>

/// This node's holds on the groups of engines that it owns, each a claim in the table.
namespace geraniumpulley::core {

/// Takes a known hold on a group over into `holds`, or begins a new one.
void keepHold(EnginesState &state, const std::string &key, Time now,
              std::map<std::string, GroupHold> &holds);

/// Reads the claims that are due to be checked.
void readClaims(EnginesState &state, Time now, std::vector<EnginesAction> &actions);

/// Confirms, writes or loses a hold by what its row says.
void takeClaimRead(EnginesState &state, const GroupClaimRead &event, Time now,
                   std::vector<EnginesAction> &actions);

/// Gives a hold up; it is claimed again only after a while.
void loseHold(EnginesState &state, GroupHold &hold, Time now);

} // namespace geraniumpulley::core
