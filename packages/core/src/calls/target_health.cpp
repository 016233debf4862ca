#include <geraniumpulley/core/calls/target_health.hpp>

#include <geraniumpulley/core/back_off.hpp>

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

bool noteSent(TargetHealth &health, Time now)
{
    if (!isEjected(health) || now < health.ejectedUntil)
        return false;
    health.probing = true;
    return true;
}

void noteSuccess(TargetHealth &health)
{
    health = {};
}

void noteFailure(TargetHealth &health, const HealthSettings &settings, Time now)
{
    const bool isProbe = health.probing;
    health.probing = false;
    ++health.failures;
    // Calls that were in flight when the target was ejected do not eject it again.
    const bool shouldEject =
            isEjected(health) ? isProbe : health.failures >= settings.failuresToEject;
    if (!shouldEject)
        return;
    health.ejectedUntil =
            now + backOff(settings.firstEjection, settings.longestEjection, health.ejections);
    ++health.ejections;
}

void noteAbandoned(TargetHealth &health)
{
    health.probing = false;
}

} // namespace geraniumpulley::core
