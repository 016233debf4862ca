#include "simulation.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace scenario {

void Simulation::scheduleAt(Time time, std::function<void()> event)
{
    const std::uint64_t tieBreaker = this->random();
    this->events.emplace(std::pair(std::max(time, this->now), tieBreaker), std::move(event));
}

void Simulation::scheduleAfter(Duration delay, std::function<void()> event)
{
    this->scheduleAt(this->now + delay, std::move(event));
}

geraniumpulley::core::WallTime Simulation::wallNow() const
{
    constexpr auto start = std::chrono::sys_days{std::chrono::year{2026} / 3 / 2};
    return start + this->now.time_since_epoch();
}

bool Simulation::runNextEvent(Time limit)
{
    if (this->events.empty() || this->events.begin()->first.first > limit) {
        this->now = limit;
        return false;
    }
    auto next = this->events.extract(this->events.begin());
    this->now = next.key().first;
    next.mapped()();
    return true;
}

void Simulation::runUntil(Time limit)
{
    while (this->runNextEvent(limit)) { }
}

// Does not use the distributions of the standard library: their results differ between
// implementations.
Duration Simulation::jitter(Duration minDelay)
{
    const auto range = static_cast<std::uint64_t>(minDelay.count()) + 1;
    return minDelay + Duration(static_cast<Duration::rep>(this->random() % range));
}

void Simulation::record(const std::string &line)
{
    const auto elapsed = this->now - Time{std::chrono::hours(1)};
    this->transcript.push_back(
            fmt::format("{:>9.3f} {}", std::chrono::duration<double>(elapsed).count(), line));
}

void Simulation::recordChange(const std::string &topic, const std::string &line)
{
    std::string &lastLine = this->lastLineByTopic[topic];
    if (lastLine == line)
        return;
    lastLine = line;
    this->record(line);
}

} // namespace scenario
