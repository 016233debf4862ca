#include "target_choice.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace geraniumpulley::core {
namespace {

std::uint32_t countOf(const std::map<TargetId, std::uint32_t> &counts, const TargetId &id)
{
    const auto position = counts.find(id);
    return position == counts.end() ? 0 : position->second;
}

bool canServe(const FleetTarget &target, const EntryRequest &request)
{
    const bool isBegun = request.resumable && request.lastEventId > 0;
    return !isBegun || target.software == request.software;
}

// Targets without a permit are passed over. The first of them gets a permit requested, so that it
// keeps its share of the requests.
TargetChoice choosePermitted(EntryState &state, std::vector<Candidate> candidates, Time now)
{
    constexpr auto noLimit = std::numeric_limits<std::uint32_t>::max();
    // Waiting for a permit is better than a target that fails.
    const bool anyUsable = std::any_of(candidates.begin(), candidates.end(),
                                       [](const Candidate &c) { return c.usable; });
    if (anyUsable)
        std::erase_if(candidates, [](const Candidate &c) { return !c.usable; });
    Permits &permits = state.permits;
    const auto permitAt = [&](const Target &target) {
        return expectedPermitAt(permits, target.id, now).value_or(now);
    };
    TargetChoice choice;
    const Target *preferred = nullptr;
    while (const Target *target = chooseByOwnCount(candidates, noLimit, state.random)) {
        if (hasPermit(permits, target->id, now)) {
            choice.target = target;
            break;
        }
        preferred = preferred == nullptr ? target : preferred;
        if (choice.rateLimited == nullptr || permitAt(*target) < permitAt(*choice.rateLimited))
            choice.rateLimited = target;
        std::erase_if(candidates, [&](const Candidate &c) { return c.target == target; });
    }
    if (choice.target != nullptr && preferred != nullptr)
        wantPermit(permits, preferred->id, now);
    return choice;
}

} // namespace

TargetChoice chooseTarget(EntryState &state, const EntryRequest &request, Time now)
{
    const bool mustRunAlone = request.runsAloneUntil && now < *request.runsAloneUntil;
    bool anyBusy = false;
    std::vector<Candidate> untried;
    std::vector<Candidate> alreadyTried;
    for (const FleetTarget *target : servingTargets(*state.directory->targets, request.service)) {
        if (!canServe(*target, request))
            continue;
        const TargetId &id = target->target.id;
        const bool runsSuspect = state.suspectsPerTarget.count(id) != 0;
        if (mustRunAlone && countOf(state.attemptsPerTarget, id) > 0) {
            anyBusy = true;
            continue;
        }
        const Candidate candidate{&target->target,
                                  countOf(state.attemptsPerTarget, id)
                                          + countOf(state.reportedWaiting, id),
                                  0, isUsable(state.health[id], now) && !runsSuspect};
        (request.triedTargets.count(id) == 0 ? untried : alreadyTried).push_back(candidate);
    }
    if (anyBusy && untried.empty())
        return {nullptr, nullptr, nullptr, true};
    if (untried.empty() && request.openAttempts.empty())
        return choosePermitted(state, std::move(alreadyTried), now);
    TargetChoice choice = choosePermitted(state, std::move(untried), now);
    if (choice.target == nullptr && request.refusals > 0)
        choice.alreadyTried = choosePermitted(state, std::move(alreadyTried), now).target;
    return choice;
}

bool hasUntriedTarget(EntryState &state, const EntryRequest &request, Time now)
{
    const auto targets = servingTargets(*state.directory->targets, request.service);
    return std::any_of(targets.begin(), targets.end(), [&](const FleetTarget *target) {
        const TargetId &id = target->target.id;
        return request.triedTargets.count(id) == 0 && hasPermit(state.permits, id, now);
    });
}

SoftwareVersion softwareOf(const Directory &directory, const TargetId &target)
{
    const auto position = directory.targets->find(target);
    return position == directory.targets->end() ? SoftwareVersion{} : position->second.software;
}

std::uint64_t startTimeOf(const Directory &directory, const TargetId &target)
{
    const auto position = directory.targets->find(target);
    return position == directory.targets->end() ? 0 : position->second.startedAt;
}

std::optional<SoftwareVersion> onlySoftwareOf(const Directory &directory,
                                              const ServiceName &service, Time now)
{
    // Several reads, also where many nodes share the store.
    constexpr Duration maxAge = std::chrono::seconds(3);
    if (!directory.targetsReadAt || now - *directory.targetsReadAt > maxAge)
        return std::nullopt;
    std::set<SoftwareVersion> software;
    for (const auto &[id, target] : *directory.targets) {
        if (target.target.service == service)
            software.insert(target.software);
    }
    if (software.size() != 1)
        return std::nullopt;
    return *software.begin();
}

} // namespace geraniumpulley::core
