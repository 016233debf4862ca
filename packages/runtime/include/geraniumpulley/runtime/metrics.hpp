#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace geraniumpulley::runtime {

/// The counters and duration distributions of one process. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds `amount` to the named counter. Complexity: logarithmic in the number of names.
    void count(const std::string &name, std::uint64_t amount = 1);

    /// Adds a duration to the named distribution.
    void observe(const std::string &name, core::Duration duration);

    /// \return one line `name value` for each metric: the counters, followed by the count, mean,
    /// quantiles and maximum of each distribution, with durations in microseconds.
    [[nodiscard]] std::string render() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::runtime
