#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstdint>

/// How long a stream may bring no event before it is given up, for streams of clients and texts of
/// batches alike.
namespace geraniumpulley::core {

/// \param base the limit where nothing is known; above any pause that a sound target makes.
/// \param usualPause the time that the target usually takes for an event; 0 if unknown.
/// \param silentAttempts attempts for the same stream that were given up for their silence. Each
/// doubles the limit, so that a stream that is slow everywhere, as one that waits for a slot, is
/// not given up for ever, while one that has stalled still ends.
constexpr Duration silenceLimit(Duration base, Duration usualPause, std::uint32_t silentAttempts)
{
    constexpr int toleratedPauses = 8;
    constexpr std::uint32_t maxDoublings = 6;
    const Duration limit =
            base < usualPause * toleratedPauses ? usualPause * toleratedPauses : base;
    return limit * (1U << (silentAttempts < maxDoublings ? silentAttempts : maxDoublings));
}

} // namespace geraniumpulley::core
