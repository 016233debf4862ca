#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstdint>

/// Ejection of targets that fail, with probes back: a target that fails at once has few calls in
/// flight and would otherwise attract all of them.
namespace geraniumpulley::core {

struct HealthSettings
{
    std::uint32_t failuresToEject = 3; ///< In a row.
    Duration firstEjection = std::chrono::seconds(1);
    Duration longestEjection = std::chrono::seconds(30);
};

struct TargetHealth
{
    std::uint32_t failures = 0; ///< In a row.
    std::uint32_t ejections = 0; ///< Since the last success.
    Time ejectedUntil{};
    bool probing = false; ///< One call tries whether it is back.
};

/// \return whether a call may be sent: the target is not ejected, or is due for a probe.
bool isUsable(const TargetHealth &health, Time now);

/// Notes that a call was sent. \return whether the call is a probe.
bool noteSent(TargetHealth &health, Time now);

void noteSuccess(TargetHealth &health);

/// Ejects the target after enough failures in a row, each time for twice as long.
void noteFailure(TargetHealth &health, const HealthSettings &settings, Time now);

/// Notes that a call ended without telling anything about the target.
void noteAbandoned(TargetHealth &health);

} // namespace geraniumpulley::core
