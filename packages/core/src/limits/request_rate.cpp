#include <geraniumpulley/core/limits/request_rate.hpp>

namespace geraniumpulley::core {

Duration requestInterval(RequestRate rate)
{
    const std::chrono::duration<double> maxInterval = maxRequestInterval;
    if (!(rate.perSecond * maxInterval.count() > 1))
        return maxRequestInterval;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate.perSecond));
}

} // namespace geraniumpulley::core
