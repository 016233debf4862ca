#pragma once

#include <geraniumpulley/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace geraniumpulley::core {

/// \param failures the number of earlier consecutive failures.
/// \return the delay before the next attempt: `initialDelay`, doubled with each earlier failure,
/// and at most `maxDelay`.
inline Duration backoffDelay(Duration initialDelay, Duration maxDelay, std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 10;
    return std::min(initialDelay * (1U << std::min(failures, maxDoublings)), maxDelay);
}

} // namespace geraniumpulley::core
