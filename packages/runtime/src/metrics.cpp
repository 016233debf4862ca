#include <geraniumpulley/runtime/metrics.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>

#include <array>
#include <map>
#include <mutex>

namespace geraniumpulley::runtime {
namespace {

namespace accumulators = boost::accumulators;

using Distribution = accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::mean,
                                    accumulators::tag::max, accumulators::tag::extended_p_square>>;

constexpr std::array<double, 3> probabilities{0.5, 0.99, 0.999};
constexpr std::array<const char *, 3> quantileNames{"p50", "p99", "p999"};

} // namespace

struct Metrics::Implementation
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, Distribution> durations;
};

Metrics::Metrics() : implementation(std::make_unique<Implementation>()) { }

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(this->implementation->mutex);
    this->implementation->counters[name] += amount;
}

void Metrics::observe(const std::string &name, core::Duration duration)
{
    const std::lock_guard lock(this->implementation->mutex);
    auto &durations = this->implementation->durations;
    auto entry = durations.find(name);
    if (entry == durations.end()) {
        Distribution empty(accumulators::tag::extended_p_square::probabilities = probabilities);
        entry = durations.emplace(name, std::move(empty)).first;
    }
    entry->second(static_cast<double>(duration.count()));
}

std::string Metrics::render() const
{
    const std::lock_guard lock(this->implementation->mutex);
    std::string text;
    for (const auto &[name, value] : this->implementation->counters)
        text += fmt::format("{} {}\n", name, value);
    for (const auto &[name, distribution] : this->implementation->durations) {
        text += fmt::format("{}_count {}\n", name, accumulators::count(distribution));
        text += fmt::format("{}_mean_us {:.0f}\n", name, accumulators::mean(distribution));
        for (std::size_t i = 0; i < probabilities.size(); ++i)
            text += fmt::format(
                    "{}_{}_us {:.0f}\n", name, quantileNames[i],
                    accumulators::extended_p_square(distribution)[static_cast<std::ptrdiff_t>(i)]);
        text += fmt::format("{}_max_us {:.0f}\n", name, accumulators::max(distribution));
    }
    return text;
}

} // namespace geraniumpulley::runtime
