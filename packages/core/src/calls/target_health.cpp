#include <geraniumpulley/core/calls/target_health.hpp>

#include <geraniumpulley/core/backoff.hpp>

namespace geraniumpulley::core {
namespace {

bool isEjected(const TargetHealth &health)
{
    return health.ejections > 0;
}

} // namespace

bool isUsable(const TargetHealth &health, Time now)
{
    return !isEjected(health) || (now >= health.ejectedUntil && !health.probing);
}

bool recordSent(TargetHealth &health, Time now)
{
    if (!isEjected(health) || now < health.ejectedUntil)
        return false;
    health.probing = true;
    return true;
}

void recordSuccess(TargetHealth &health)
{
    health = {};
}

void recordFailure(TargetHealth &health, const HealthSettings &settings, Time now)
{
    const bool isProbe = health.probing;
    health.probing = false;
    ++health.consecutiveFailures;
    // Calls that were in flight when the target was ejected do not eject it again.
    const bool shouldEject =
            isEjected(health) ? isProbe : health.consecutiveFailures >= settings.ejectionThreshold;
    if (!shouldEject)
        return;
    health.ejectedUntil =
            now
            + backoffDelay(settings.minEjectionTime, settings.maxEjectionTime, health.ejections);
    ++health.ejections;
}

void recordInconclusive(TargetHealth &health)
{
    health.probing = false;
}

} // namespace geraniumpulley::core
