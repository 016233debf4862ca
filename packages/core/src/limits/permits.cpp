#include <geraniumpulley/core/limits/permits.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

TargetPermits *findTarget(Permits &permits, const TargetId &target)
{
    const auto position = permits.targets.find(target);
    return position == permits.targets.end() ? nullptr : &position->second;
}

bool hasDemand(const TargetPermits &target)
{
    return target.awaited + target.wanted > 0;
}

RequestPermits makeRequest(const PermitSettings &settings, const TargetId &id,
                           TargetPermits &target, Time now)
{
    target.requestInFlight = true;
    target.askedDeputy = now < target.deputyUntil;
    const bool isPrefetch = target.wanted > 0;
    const std::uint32_t count = std::exchange(target.awaited, 0) + std::exchange(target.wanted, 0);
    Duration maxWait = settings.prefetchWait;
    if (!isPrefetch)
        maxWait = std::clamp(target.awaitedUntil - now - settings.replyMargin, Duration{},
                             maxRequestInterval);
    target.awaitedUntil = {};
    RequestPermits request{id, target.limit, std::min(count, settings.maxCount), maxWait, 0};
    if (target.askedDeputy) {
        request.limiterRank = 1;
        request.limit.perSecond *= settings.deputyShare;
    }
    return request;
}

} // namespace

bool recordRateLimit(Permits &permits, const TargetId &target,
                     const std::optional<RequestRate> &limit)
{
    if (!limit)
        return permits.targets.erase(target) > 0;
    const auto [position, isNew] = permits.targets.try_emplace(target);
    return std::exchange(position->second.limit, *limit) != *limit || isNew;
}

void recordGrant(Permits &permits, const PermitsReceived &event, Time now)
{
    TargetPermits *target = findTarget(permits, event.target);
    if (target == nullptr)
        return;
    target->requestInFlight = false;
    target->retryAt = now;
    if (!event.grant) {
        if (!target->askedDeputy) {
            target->deputyUntil = now + permits.settings.deputyPeriod;
            return;
        }
        target->retryAt = now + permits.settings.failureDelay;
        return;
    }
    const PermitGrant &grant = *event.grant;
    for (std::uint32_t i = 0; i < grant.count; ++i)
        target->usableFrom.push_back(now + std::max(grant.firstDelay + grant.interval * i, {}));
    target->retryAt = now + grant.retryDelay;
    target->expectedAt = now + grant.expectedDelay;
}

bool hasPermit(Permits &permits, const TargetId &target, Time now)
{
    TargetPermits *known = findTarget(permits, target);
    if (known == nullptr)
        return true;
    auto &usableFrom = known->usableFrom;
    while (!usableFrom.empty() && now - usableFrom.front() > permits.settings.lifetime)
        usableFrom.pop_front();
    return !usableFrom.empty() && usableFrom.front() <= now;
}

void usePermit(Permits &permits, const TargetId &target, Time now)
{
    TargetPermits *known = findTarget(permits, target);
    if (known == nullptr || !hasPermit(permits, target, now))
        return;
    known->usableFrom.pop_front();
    known->claimed -= known->claimed > 0 ? 1 : 0;
}

void wantPermit(Permits &permits, const TargetId &target, Time now)
{
    TargetPermits *known = findTarget(permits, target);
    if (known == nullptr)
        return;
    if (now - std::exchange(known->lastWantedAt, now) <= permits.settings.lifetime)
        ++known->wanted;
}

std::optional<Time> awaitPermit(Permits &permits, const TargetId &target, Time latest, Time now)
{
    const std::optional<Time> expectedAt = expectedPermitAt(permits, target, now);
    TargetPermits *known = findTarget(permits, target);
    if (known == nullptr)
        return expectedAt;
    if (known->claimed < known->usableFrom.size()) {
        ++known->claimed;
    } else {
        ++known->awaited;
        known->awaitedUntil = std::max(known->awaitedUntil, latest);
    }
    return expectedAt;
}

std::optional<Time> expectedPermitAt(const Permits &permits, const TargetId &target, Time now)
{
    const auto position = permits.targets.find(target);
    if (position == permits.targets.end())
        return now;
    const TargetPermits &known = position->second;
    if (known.claimed < known.usableFrom.size())
        return known.usableFrom[known.claimed];
    const Time at = std::max(known.expectedAt, known.retryAt);
    return at > now ? std::optional(at) : std::nullopt;
}

Duration expectedTargetDelay(const Permits &permits, const TargetId &target, Time now)
{
    const auto position = permits.targets.find(target);
    if (position == permits.targets.end())
        return {};
    return std::max(position->second.expectedAt - now, Duration{});
}

std::uint32_t awaitingRequests(const Permits &permits, const TargetId &target)
{
    const auto position = permits.targets.find(target);
    return position == permits.targets.end() ? 0
                                             : position->second.claimed + position->second.awaited;
}

void clearAwaiting(Permits &permits)
{
    for (auto &[id, target] : permits.targets) {
        target.claimed = 0;
        target.awaited = 0;
    }
}

std::vector<RequestPermits> duePermitRequests(Permits &permits, Time now)
{
    std::vector<RequestPermits> requests;
    for (auto &[id, target] : permits.targets) {
        if (hasDemand(target) && !target.requestInFlight && target.retryAt <= now)
            requests.push_back(makeRequest(permits.settings, id, target, now));
    }
    return requests;
}

std::optional<Time> dueAt(const Permits &permits)
{
    std::optional<Time> due;
    for (const auto &[id, target] : permits.targets) {
        if (hasDemand(target) && !target.requestInFlight)
            due = std::min(due.value_or(target.retryAt), target.retryAt);
    }
    return due;
}

} // namespace geraniumpulley::core
