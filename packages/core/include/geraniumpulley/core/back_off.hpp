#pragma once

#include <geraniumpulley/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace geraniumpulley::core {

/// \return how long to wait after so many earlier failures in a row: `first`, doubled with each, at
/// most `longest`.
inline Duration backOff(Duration first, Duration longest, std::uint32_t failures)
{
    constexpr std::uint32_t mostDoublings = 10;
    return std::min(first * (1U << std::min(failures, mostDoublings)), longest);
}

} // namespace geraniumpulley::core
