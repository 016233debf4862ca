#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// A virtual clock with a seeded order of events, and the transcript of a run.
namespace scenario {

using geraniumpulley::core::Duration;
using geraniumpulley::core::Time;

struct Simulation
{
    explicit Simulation(std::uint64_t seed) : random(seed) { }

    /// Runs `event` at a moment of the virtual clock. Events of the same moment run in an order
    /// that the seed decides.
    void at(Time time, std::function<void()> event);
    void after(Duration delay, std::function<void()> event);

    /// \return the wall clock, which all processes share.
    [[nodiscard]] geraniumpulley::core::WallTime wallNow() const;

    /// Runs the next event. \return false when the next one is later than `limit`; the clock then
    /// stands at `limit`.
    bool runNext(Time limit);
    void runUntil(Time limit);

    /// \return a delay from `shortest` to twice that, drawn from the seed.
    Duration jitter(Duration shortest);

    /// Writes a line with the virtual time.
    void record(const std::string &line);
    /// As `record`, but leaves out a line equal to the last one under the same topic.
    void recordChange(const std::string &topic, const std::string &line);

    Time now{std::chrono::hours(1)};
    std::mt19937_64 random;
    std::multimap<std::pair<Time, std::uint64_t>, std::function<void()>> events;
    std::vector<std::string> transcript;
    std::map<std::string, std::string> lastOfTopic;
};

} // namespace scenario
