#include "engine_holds.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Time until an unanswered claim request is repeated; longer than two calls of the store.
constexpr Duration claimTimeout = std::chrono::seconds(5);

// Returns a new claim value, which differs from all earlier claims of any process.
std::string makeClaim(EnginesState &state)
{
    ++state.claims;
    return state.settings.self.value + "/" + state.settings.process + "/"
           + std::to_string(state.claims);
}

const EngineGroup *findGroup(const EnginesState &state, const std::string &key)
{
    const auto found = std::find_if(state.groups.begin(), state.groups.end(),
                                    [&](const auto &group) { return group.key == key; });
    return found == state.groups.end() ? nullptr : &*found;
}

// Marks the claim as held. Without fencing checks at the engines, it becomes usable only after the
// silence timeout, when the previous owner has stopped sending orders.
void confirmClaim(const EnginesState &state, const GroupClaimRead &event, GroupHold &claim,
                  Time now)
{
    claim.checkedAt = claim.readSentAt;
    if (claim.held)
        return;
    const EngineGroup *group = findGroup(state, event.key);
    const Service *service = findService(*state.configuration, group->model);
    const bool checksFencing = service != nullptr && service->checksFencing;
    claim.held = true;
    claim.fence = FencingNumber{event.rowVersion};
    claim.usableFrom = checksFencing ? now : now + state.settings.silenceLimit;
}

} // namespace

void keepHold(EnginesState &state, const std::string &key, Time now,
              std::map<std::string, GroupHold> &claims)
{
    const auto known = state.holds.find(key);
    if (known != state.holds.end()) {
        claims.insert(*known);
        return;
    }
    GroupHold claim;
    claim.claim = makeClaim(state);
    claim.nextRead = now;
    claim.notBefore = now;
    claims.emplace(key, std::move(claim));
}

void readClaims(EnginesState &state, Time now, std::vector<EnginesAction> &actions)
{
    for (auto &[key, claim] : state.holds) {
        if (claim.reading && now - claim.readSentAt < claimTimeout)
            continue;
        if (claim.nextRead > now)
            continue;
        claim.reading = true;
        claim.readSentAt = now;
        claim.nextRead = now + state.settings.claimCheckPeriod;
        actions.push_back(ReadGroupClaim{key});
    }
}

void takeClaimRead(EnginesState &state, const GroupClaimRead &event, Time now,
                   std::vector<EnginesAction> &actions)
{
    const auto position = state.holds.find(event.key);
    if (position == state.holds.end())
        return;
    GroupHold &claim = position->second;
    claim.reading = false;
    if (event.claim == claim.claim)
        return confirmClaim(state, event, claim, now);
    if (claim.held)
        return loseHold(state, claim, now);
    if (now < claim.notBefore)
        return;
    // The read that follows the write shows whether the claim was written, even when the answer to
    // the write is lost.
    claim.reading = true;
    claim.readSentAt = now;
    actions.push_back(WriteGroupClaim{event.key, claim.claim, event.rowVersion});
}

// The delay makes two nodes with different views of the members alternate, instead of overwriting
// each other's claim after every read.
void loseHold(EnginesState &state, GroupHold &claim, Time now)
{
    claim.held = false;
    claim.claim = makeClaim(state);
    claim.notBefore = now + 2 * state.settings.silenceLimit;
}

bool isUsable(const EnginesState &state, const EngineGroup &group, Time now)
{
    const auto position = state.holds.find(group.key);
    if (position == state.holds.end() || !position->second.held)
        return false;
    const GroupHold &claim = position->second;
    if (now < claim.usableFrom)
        return false;
    const Service *service = findService(*state.configuration, group.model);
    // Engines that check fencing reject the orders of an owner that has not noticed its loss.
    if (service != nullptr && service->checksFencing)
        return true;
    return now < claim.checkedAt + state.settings.silenceLimit;
}

} // namespace geraniumpulley::core
