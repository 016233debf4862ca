#include "group_claims.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Time until an unanswered claim request is repeated; longer than two store calls.
constexpr Duration claimTimeout = std::chrono::seconds(5);

// Returns a new claim value, which differs from all earlier claims of any process.
std::string makeClaim(EnginesState &state)
{
    ++state.claimCount;
    return state.settings.self.value + "/" + state.settings.processIncarnation + "/"
           + std::to_string(state.claimCount);
}

const EngineGroup *findGroup(const EnginesState &state, const std::string &key)
{
    const auto found = std::find_if(state.groups.begin(), state.groups.end(),
                                    [&](const auto &group) { return group.key == key; });
    return found == state.groups.end() ? nullptr : &*found;
}

// Marks the claim as held. Without fencing checks at the engines, it becomes usable only after the
// silence timeout, when the previous owner has stopped sending orders.
void confirmClaim(const EnginesState &state, const GroupClaimRead &event, GroupClaim &claim,
                  Time now)
{
    claim.checkedAt = claim.readSentAt;
    if (claim.held)
        return;
    const EngineGroup *group = findGroup(state, event.key);
    const Service *service = findService(*state.configuration, group->model);
    const bool checksFencing = service != nullptr && service->checksFencing;
    claim.held = true;
    claim.fence = FencingToken{event.rowVersion};
    claim.usableFrom = checksFencing ? now : now + state.settings.silenceTimeout;
}

} // namespace

void retainOrAddClaim(EnginesState &state, const std::string &key, Time now,
                      std::map<std::string, GroupClaim> &claims)
{
    const auto known = state.groupClaims.find(key);
    if (known != state.groupClaims.end()) {
        claims.insert(*known);
        return;
    }
    GroupClaim claim;
    claim.value = makeClaim(state);
    claim.nextReadAt = now;
    claim.nextClaimAt = now;
    claims.emplace(key, std::move(claim));
}

void requestDueClaimReads(EnginesState &state, Time now, std::vector<EnginesAction> &actions)
{
    for (auto &[key, claim] : state.groupClaims) {
        if (claim.readInFlight && now - claim.readSentAt < claimTimeout)
            continue;
        if (claim.nextReadAt > now)
            continue;
        claim.readInFlight = true;
        claim.readSentAt = now;
        claim.nextReadAt = now + state.settings.claimCheckPeriod;
        actions.push_back(ReadGroupClaim{key});
    }
}

void onClaimRead(EnginesState &state, const GroupClaimRead &event, Time now,
                 std::vector<EnginesAction> &actions)
{
    const auto position = state.groupClaims.find(event.key);
    if (position == state.groupClaims.end())
        return;
    GroupClaim &claim = position->second;
    claim.readInFlight = false;
    if (event.claim == claim.value)
        return confirmClaim(state, event, claim, now);
    if (claim.held)
        return dropClaim(state, claim, now);
    if (now < claim.nextClaimAt)
        return;
    // The read that follows the write shows whether the claim was written, even when the answer to
    // the write is lost.
    claim.readInFlight = true;
    claim.readSentAt = now;
    actions.push_back(WriteGroupClaim{event.key, claim.value, event.rowVersion});
}

// Two nodes with different views of the members may both consider themselves the owner. The delay
// makes them alternate, instead of overwriting each other's claim after every read.
void dropClaim(EnginesState &state, GroupClaim &claim, Time now)
{
    claim.held = false;
    claim.value = makeClaim(state);
    claim.nextClaimAt = now + 2 * state.settings.silenceTimeout;
}

// Engines that check fencing refuse the orders of an owner that does not know it lost the group.
Time ordersValidUntil(const EnginesState &state, const EngineGroup &group, const GroupClaim &claim)
{
    const Service *service = findService(*state.configuration, group.model);
    if (service != nullptr && service->checksFencing)
        return Time::max();
    return claim.checkedAt + state.settings.silenceTimeout - state.settings.transitMargin;
}

bool isUsable(const EnginesState &state, const EngineGroup &group, Time now)
{
    const auto position = state.groupClaims.find(group.key);
    if (position == state.groupClaims.end() || !position->second.held)
        return false;
    const GroupClaim &claim = position->second;
    return now >= claim.usableFrom && now < ordersValidUntil(state, group, claim);
}

} // namespace geraniumpulley::core
