#pragma once

#include <geraniumpulley/core/time.hpp>

#include <optional>

/// Estimate of the store's steady clock from the times in its answers.
namespace geraniumpulley::core {

/// The largest offsets that answers have shown lately. An answer that is handled late shows an
/// offset that is too small, by any time that it waited.
struct StoreClock
{
    std::optional<Duration> largest; ///< In the current period.
    std::optional<Duration> formerLargest; ///< In the period before.
    Time periodEndsAt{};
};

/// Records the time in an answer of the store.
void recordStoreTime(StoreClock &clock, Duration storeTime, Time now);

/// \return the store's clock minus this process's clock, or nothing before the first answer.
std::optional<Duration> offsetOf(const StoreClock &clock);

} // namespace geraniumpulley::core
