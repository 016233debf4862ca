#include <geraniumpulley/core/limits/request_rate.hpp>

namespace geraniumpulley::core {

Duration requestInterval(RequestRate rate)
{
    const std::chrono::duration<double> maxInterval = maxRequestInterval;
    if (!(rate.perSecond * maxInterval.count() > 1))
        return maxRequestInterval;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate.perSecond));
}

bool recordRateLimit(RateLimits &limits, const TargetId &target,
                     const std::optional<RequestRate> &limit)
{
    const auto known = limits.find(target);
    if (known == limits.end() ? !limit : limit == known->second)
        return false;
    if (limit)
        limits[target] = *limit;
    else
        limits.erase(known);
    return true;
}

} // namespace geraniumpulley::core
