#include "engine_holds.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

constexpr Duration claimTimeout = std::chrono::seconds(5); // Longer than two calls of the store.

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

void confirmHold(const EnginesState &state, const GroupClaimRead &event, GroupHold &hold, Time now)
{
    hold.checkedAt = hold.readSentAt;
    if (hold.held)
        return;
    const EngineGroup *group = findGroup(state, event.key);
    const Service *service = findService(*state.configuration, group->model);
    const bool checks = service != nullptr && service->checksFencing;
    hold.held = true;
    hold.fence = FencingNumber{event.rowVersion};
    hold.usableFrom = checks ? now : now + state.settings.silenceLimit;
}

} // namespace

void keepHold(EnginesState &state, const std::string &key, Time now,
              std::map<std::string, GroupHold> &holds)
{
    const auto known = state.holds.find(key);
    if (known != state.holds.end()) {
        holds.insert(*known);
        return;
    }
    GroupHold hold;
    hold.claim = makeClaim(state);
    hold.nextRead = now;
    hold.notBefore = now;
    holds.emplace(key, std::move(hold));
}

void readClaims(EnginesState &state, Time now, std::vector<EnginesAction> &actions)
{
    for (auto &[key, hold] : state.holds) {
        if (hold.reading && now - hold.readSentAt < claimTimeout)
            continue;
        if (hold.nextRead > now)
            continue;
        hold.reading = true;
        hold.readSentAt = now;
        hold.nextRead = now + state.settings.claimCheckPeriod;
        actions.push_back(ReadGroupClaim{key});
    }
}

void takeClaimRead(EnginesState &state, const GroupClaimRead &event, Time now,
                   std::vector<EnginesAction> &actions)
{
    const auto position = state.holds.find(event.key);
    if (position == state.holds.end())
        return;
    GroupHold &hold = position->second;
    hold.reading = false;
    if (event.claim == hold.claim)
        return confirmHold(state, event, hold, now);
    if (hold.held)
        return loseHold(state, hold, now);
    if (now < hold.notBefore)
        return;
    // The read after the write tells whether the claim is ours, also when the write's answer is
    // lost.
    hold.reading = true;
    hold.readSentAt = now;
    actions.push_back(WriteGroupClaim{event.key, hold.claim, event.rowVersion});
}

// Two nodes that disagree about the members take turns, and do not fight at each read.
void loseHold(EnginesState &state, GroupHold &hold, Time now)
{
    hold.held = false;
    hold.claim = makeClaim(state);
    hold.notBefore = now + 2 * state.settings.silenceLimit;
}

bool isUsable(const EnginesState &state, const EngineGroup &group, Time now)
{
    const auto position = state.holds.find(group.key);
    if (position == state.holds.end() || !position->second.held)
        return false;
    const GroupHold &hold = position->second;
    if (now < hold.usableFrom)
        return false;
    const Service *service = findService(*state.configuration, group.model);
    // Engines that check fencing refuse a holder that lost the group without knowing.
    if (service != nullptr && service->checksFencing)
        return true;
    return now < hold.checkedAt + state.settings.silenceLimit;
}

} // namespace geraniumpulley::core
