#include <geraniumpulley/core/fleet/table_follower.hpp>

#include <geraniumpulley/core/backoff.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

// Up to this number of nodes the delays between reads are not extended. With the settings in
// fleet.cpp they make about 600 reads a second, less than a third of the 2,000 that the smallest
// store allows.
constexpr std::size_t maxNodesAtBasePeriods = 70;

Duration extended(const TableFollower &follower, Duration period, Duration maxPeriod)
{
    const auto extendedPeriod =
            std::chrono::duration_cast<Duration>(period * follower.periodFactor);
    return std::max(period, std::min(extendedPeriod, maxPeriod));
}

bool isFullReadDue(const TableFollower &follower, Time now)
{
    const bool hasFullReads = follower.settings.fullReadPeriod > Duration{};
    return hasFullReads && (follower.fullReadPending || now >= follower.nextFullReadAt);
}

} // namespace

double periodFactorFor(std::size_t nodes)
{
    return std::max(1.0, static_cast<double>(nodes) / static_cast<double>(maxNodesAtBasePeriods));
}

std::optional<FollowerRead> nextRead(TableFollower &follower, Time now)
{
    if (follower.readInFlight || now < follower.nextReadAt)
        return std::nullopt;
    follower.readInFlight = true;
    follower.readStartedAt = now;
    if (isFullReadDue(follower, now))
        return ReadFullTable{};
    return ReadTableChanges{follower.upTo, follower.settings.pollTimeout};
}

std::optional<Time> dueAt(const TableFollower &follower)
{
    if (follower.readInFlight)
        return std::nullopt;
    return follower.nextReadAt;
}

Duration recordReadCompleted(TableFollower &follower, bool wasFull, RowVersion upTo, Time now)
{
    const Duration failedFor =
            follower.failingSince ? now - *std::exchange(follower.failingSince, {}) : Duration{};
    follower.readInFlight = false;
    follower.upTo = std::max(follower.upTo, upTo);
    const FollowerSettings &settings = follower.settings;
    follower.nextReadAt = now + extended(follower, settings.readDelay, settings.maxReadDelay);
    follower.failures = 0;
    if (!wasFull)
        return failedFor;
    follower.fullReadPending = false;
    follower.nextFullReadAt =
            now + extended(follower, settings.fullReadPeriod, settings.maxFullReadPeriod);
    return failedFor;
}

// A table that is never read in full continues from the newest version of the store, which the read
// after version 0 returns. The next heartbeats bring back what was missed.
void recordFailure(TableFollower &follower, bool historyGone, Time now)
{
    follower.readInFlight = false;
    // The store answers that it has dropped its history, so it serves.
    if (!historyGone && !follower.failingSince)
        follower.failingSince = follower.readStartedAt;
    const FollowerSettings &settings = follower.settings;
    follower.nextReadAt =
            now + backoffDelay(settings.retryDelay, settings.maxRetryDelay, follower.failures++);
    follower.fullReadPending = true;
    if (historyGone && follower.settings.fullReadPeriod == Duration{})
        follower.upTo = RowVersion{};
}

} // namespace geraniumpulley::core
