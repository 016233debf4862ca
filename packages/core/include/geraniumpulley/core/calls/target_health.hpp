#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstdint>

/// Outlier ejection: a failing target gets no calls for a while and is then probed. Without it, a
/// target that fails immediately has few calls in flight and would attract all new ones.
namespace geraniumpulley::core {

struct HealthSettings
{
    std::uint32_t ejectionThreshold = 3; ///< Consecutive failures that eject a target.
    Duration minEjectionTime = std::chrono::seconds(1);
    Duration maxEjectionTime = std::chrono::seconds(30);
};

/// What a node has observed of one target.
struct TargetHealth
{
    std::uint32_t consecutiveFailures = 0; ///< Failed calls since the last success.
    std::uint32_t ejections = 0; ///< Ejections since the last success.
    Time ejectedUntil{};
    bool probing = false; ///< Whether a probe call is in flight.
};

/// \return whether a call may be sent: the target is not ejected, or a probe is due.
bool isUsable(const TargetHealth &health, Time now);

/// Records that a call was sent. \return whether the call is a probe.
bool recordSent(TargetHealth &health, Time now);

/// Records a successful call, which ends an ejection.
void recordSuccess(TargetHealth &health);

/// Records a failed call. Ejects the target after enough consecutive failures; each further
/// ejection lasts twice as long, up to the maximum.
void recordFailure(TargetHealth &health, const HealthSettings &settings, Time now);

/// Records that a call ended without showing whether the target works.
void recordInconclusive(TargetHealth &health);

} // namespace geraniumpulley::core
