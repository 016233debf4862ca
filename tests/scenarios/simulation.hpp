#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// A discrete-event simulation with a virtual clock, and the transcript of its run.
namespace scenario {

using geraniumpulley::core::Duration;
using geraniumpulley::core::Time;

struct Simulation
{
    explicit Simulation(std::uint64_t seed) : random(seed) { }

    /// Schedules `event` for a time of the virtual clock. Events of the same time run in an order
    /// that depends on the seed.
    void scheduleAt(Time time, std::function<void()> event);
    void scheduleAfter(Duration delay, std::function<void()> event);

    /// \return the wall-clock time, which is the same in all processes.
    [[nodiscard]] geraniumpulley::core::WallTime wallNow() const;

    /// Runs the next event that is due by `limit`.
    /// \return false if there is none; the clock is then set to `limit`.
    bool runNextEvent(Time limit);
    void runUntil(Time limit);

    /// \return a random delay between `minDelay` and twice `minDelay`.
    Duration jitter(Duration minDelay);

    /// Appends a line with the virtual time to the transcript.
    void record(const std::string &line);
    /// Appends a line to the transcript unless it equals the previous line of the same topic.
    void recordChange(const std::string &topic, const std::string &line);

    Time now{std::chrono::hours(1)};
    std::mt19937_64 random;
    std::multimap<std::pair<Time, std::uint64_t>, std::function<void()>> events;
    std::vector<std::string> transcript;
    std::map<std::string, std::string> lastLineByTopic;
};

} // namespace scenario
