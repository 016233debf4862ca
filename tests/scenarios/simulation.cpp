#include "simulation.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace scenario {

void Simulation::at(Time time, std::function<void()> event)
{
    const std::uint64_t order = this->random();
    this->events.emplace(std::pair(std::max(time, this->now), order), std::move(event));
}

void Simulation::after(Duration delay, std::function<void()> event)
{
    this->at(this->now + delay, std::move(event));
}

geraniumpulley::core::WallTime Simulation::wallNow() const
{
    constexpr auto start = std::chrono::sys_days{std::chrono::year{2026} / 3 / 2};
    return start + this->now.time_since_epoch();
}

bool Simulation::runNext(Time limit)
{
    if (this->events.empty() || this->events.begin()->first.first > limit) {
        this->now = limit;
        return false;
    }
    auto first = this->events.extract(this->events.begin());
    this->now = first.key().first;
    first.mapped()();
    return true;
}

void Simulation::runUntil(Time limit)
{
    while (this->runNext(limit)) { }
}

// The distributions of the standard library differ between implementations; this one does not.
Duration Simulation::jitter(Duration shortest)
{
    const auto range = static_cast<std::uint64_t>(shortest.count()) + 1;
    return shortest + Duration(static_cast<Duration::rep>(this->random() % range));
}

void Simulation::record(const std::string &line)
{
    const auto elapsed = this->now - Time{std::chrono::hours(1)};
    this->transcript.push_back(
            fmt::format("{:>9.3f} {}", std::chrono::duration<double>(elapsed).count(), line));
}

void Simulation::recordChange(const std::string &topic, const std::string &line)
{
    std::string &last = this->lastOfTopic[topic];
    if (last == line)
        return;
    last = line;
    this->record(line);
}

} // namespace scenario
