#include <geraniumpulley/core/fleet/table_follower.hpp>

#include <geraniumpulley/core/back_off.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

// Nodes that read at the full pace: with the periods of fleet.cpp they make about 600 reads a
// second, a third of the 2,000 that the smallest store allows.
constexpr std::size_t nodesAtFullPace = 70;

Duration stretched(const TableFollower &follower, Duration period, Duration longest)
{
    const auto longer = std::chrono::duration_cast<Duration>(period * follower.stretch);
    return std::max(period, std::min(longer, longest));
}

bool isWholeDue(const TableFollower &follower, Time now)
{
    const bool isRead = follower.settings.rereadPeriod > Duration{};
    return isRead && (follower.wantsWhole || now >= follower.nextWhole);
}

} // namespace

double stretchFor(std::size_t nodes)
{
    return std::max(1.0, static_cast<double>(nodes) / static_cast<double>(nodesAtFullPace));
}

std::optional<FollowerRead> nextRead(TableFollower &follower, Time now)
{
    if (follower.reading || now < follower.nextRead)
        return std::nullopt;
    follower.reading = true;
    if (isWholeDue(follower, now))
        return ReadWholeTable{};
    return ReadTableChanges{follower.upTo, follower.settings.wait};
}

std::optional<Time> dueAt(const TableFollower &follower)
{
    if (follower.reading)
        return std::nullopt;
    return follower.nextRead;
}

void noteAnswer(TableFollower &follower, bool wasWhole, RowVersion upTo, Time now)
{
    follower.reading = false;
    follower.upTo = std::max(follower.upTo, upTo);
    const FollowSettings &settings = follower.settings;
    follower.nextRead = now + stretched(follower, settings.pause, settings.longestPause);
    follower.failures = 0;
    if (!wasWhole)
        return;
    follower.wantsWhole = false;
    follower.nextWhole = now + stretched(follower, settings.rereadPeriod, settings.longestReread);
}

// A table that is never read whole goes on from the newest version of the store, which the answer
// to a question without history tells; what was missed comes again with the next heartbeats.
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
