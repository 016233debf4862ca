#include <geraniumpulley/core/limits/rate_limiter.hpp>

#include <geraniumpulley/core/rendezvous.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace geraniumpulley::core {
namespace {

PermitSchedule &openSchedule(RateLimiter &limiter, const PermitRequest &request, Time now)
{
    for (auto &[target, schedule] : limiter.schedules) {
        std::erase_if(schedule.requesters, [&](const auto &entry) {
            return now - entry.second > limiter.settings.retention;
        });
    }
    std::erase_if(limiter.schedules,
                  [](const auto &entry) { return entry.second.requesters.empty(); });
    PermitSchedule &schedule = limiter.schedules[request.target];
    schedule.requesters[request.requester] = now;
    std::erase_if(schedule.waiting,
                  [&](const WaitingRequester &waiting) { return waiting.keptUntil < now; });
    return schedule;
}

// Returns how many permits can be granted that become usable within the horizon.
std::int64_t countAvailable(const PermitSchedule &schedule, Duration horizon, Duration interval,
                            Time now)
{
    const Duration open = now + horizon - schedule.nextPermitAt;
    return open < Duration{} ? 0 : open / interval + 1;
}

} // namespace

PermitGrant grantPermits(RateLimiter &limiter, const PermitRequest &request, Time now)
{
    const RateLimiterSettings &settings = limiter.settings;
    const Duration interval = requestInterval(request.limit);
    PermitSchedule &schedule = openSchedule(limiter, request, now);
    const Duration burst = std::max(settings.burstTime, interval * settings.burstCount);
    // The upper bound takes effect when the target has raised its limit.
    schedule.nextPermitAt =
            std::clamp(schedule.nextPermitAt, now - burst, now + settings.horizon + interval);
    const auto place = std::find_if(schedule.waiting.begin(), schedule.waiting.end(),
                                    [&](const WaitingRequester &waiting) {
                                        return waiting.requester == request.requester;
                                    });
    const std::int64_t ahead = place - schedule.waiting.begin();
    if (place != schedule.waiting.end())
        schedule.waiting.erase(place);
    const auto others = static_cast<std::int64_t>(schedule.waiting.size());

    PermitGrant grant;
    grant.interval = interval;
    const std::int64_t available =
            countAvailable(schedule, std::min(settings.horizon, request.maxWait), interval, now);
    if (available > ahead) {
        // A permit is left for every other requester that waits.
        const std::int64_t share = std::max<std::int64_t>(available - others, 1);
        grant.count = static_cast<std::uint32_t>(std::min<std::int64_t>(share, request.count));
        grant.firstDelay = schedule.nextPermitAt - now;
        schedule.nextPermitAt += interval * grant.count;
    }
    if (grant.count == request.count)
        return grant;
    const std::int64_t position = grant.count > 0 ? others : ahead;
    grant.expectedDelay = schedule.nextPermitAt + interval * position - now;
    if (grant.expectedDelay > request.maxWait) {
        const auto requesters = static_cast<std::int64_t>(schedule.requesters.size());
        grant.retryDelay =
                std::max(settings.minRetryDelay, settings.retryDelayPerRequester * requesters);
        return grant;
    }
    grant.retryDelay = std::max(grant.expectedDelay - settings.horizon, settings.minRetryDelay);
    schedule.waiting.insert(schedule.waiting.begin() + position,
                            {request.requester, now + grant.retryDelay + settings.minRetryDelay});
    return grant;
}

std::optional<Node> limiterOf(const Presence &presence, const TargetId &target, std::size_t rank,
                              Time now)
{
    std::vector<std::pair<std::uint64_t, const Node *>> ranked;
    for (const auto &[id, known] : presence.nodes) {
        const Node &node = known.heartbeat.node;
        if (!known.heartbeat.leaving && !isDead(presence, id, node.incarnation, now))
            ranked.emplace_back(rendezvousScore(target.value, id.value), &node);
    }
    if (ranked.size() <= rank)
        return std::nullopt;
    const auto position = ranked.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(ranked.begin(), position, ranked.end(), std::greater<>());
    return *position->second;
}

} // namespace geraniumpulley::core
