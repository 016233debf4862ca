#include <geraniumpulley/core/fleet/table_follower.hpp>

#include <geraniumpulley/core/back_off.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

// Up to this number of nodes the delays between reads are not extended. With the settings in
// fleet.cpp they make about 600 reads a second, a third of the 2,000 that the smallest store
// allows.
constexpr std::size_t maxNodesAtBasePeriods = 70;

Duration extended(const TableFollower &follower, Duration period, Duration maxPeriod)
{
    const auto extendedPeriod = std::chrono::duration_cast<Duration>(period * follower.stretch);
    return std::max(period, std::min(extendedPeriod, maxPeriod));
}

bool isFullReadDue(const TableFollower &follower, Time now)
{
    const bool hasFullReads = follower.settings.rereadPeriod > Duration{};
    return hasFullReads && (follower.wantsWhole || now >= follower.nextWhole);
}

} // namespace

double stretchFor(std::size_t nodes)
{
    return std::max(1.0, static_cast<double>(nodes) / static_cast<double>(maxNodesAtBasePeriods));
}

std::optional<FollowerRead> nextRead(TableFollower &follower, Time now)
{
    if (follower.reading || now < follower.nextRead)
        return std::nullopt;
    follower.reading = true;
    if (isFullReadDue(follower, now))
        return ReadWholeTable{};
    return ReadTableChanges{follower.upTo, follower.settings.wait};
}

std::optional<Time> dueAt(const TableFollower &follower)
{
    if (follower.reading)
        return std::nullopt;
    return follower.nextRead;
}

void noteAnswer(TableFollower &follower, bool wasFull, RowVersion upTo, Time now)
{
    follower.reading = false;
    follower.upTo = std::max(follower.upTo, upTo);
    const FollowSettings &settings = follower.settings;
    follower.nextRead = now + extended(follower, settings.pause, settings.longestPause);
    follower.failures = 0;
    if (!wasFull)
        return;
    follower.wantsWhole = false;
    follower.nextWhole = now + extended(follower, settings.rereadPeriod, settings.longestReread);
}

// A table that is never read in full continues from the newest version of the store, which the read
// after version 0 returns. The next heartbeats bring back what was missed.
void noteFailure(TableFollower &follower, bool historyGone, Time now)
{
    follower.reading = false;
    const FollowSettings &settings = follower.settings;
    follower.nextRead =
            now + backOff(settings.retryDelay, settings.longestRetryDelay, follower.failures++);
    follower.wantsWhole = true;
    if (historyGone && follower.settings.rereadPeriod == Duration{})
        follower.upTo = RowVersion{};
}

} // namespace geraniumpulley::core
