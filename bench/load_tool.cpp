// Sends calls at a fixed rate and prints quantiles of their latency.
//
// The load is open-loop: sending does not wait for answers, so that queueing delay at a slow server
// is measured too.
#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/runtime/clock.hpp>
#include <geraniumpulley/runtime/metrics.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace {

using namespace geraniumpulley;

constexpr core::Duration callTimeout = std::chrono::seconds(5);

struct Plan
{
    std::string address;
    std::string path;
    std::uint64_t rate = 0; // Calls a second.
    std::uint64_t calls = 0;
};

struct Outcome
{
    std::mutex mutex;
    std::condition_variable finished;
    std::vector<core::Duration> latencies;
    std::uint64_t failedCalls = 0;
};

void sendOne(net::HttpClient &caller, const Plan &plan, std::uint64_t index, Outcome &outcome)
{
    const core::Time startedAt = runtime::now();
    net::HttpRequest request;
    request.address = plan.address;
    request.method = "GET";
    request.target = plan.path;
    request.requestId = fmt::format("load-{}", index);
    request.deadline = startedAt + callTimeout;
    request.done = [&outcome, startedAt](net::HttpResult &&result) {
        constexpr std::uint32_t statusOk = 200;
        const std::lock_guard lock(outcome.mutex);
        if (result.failure != net::SendFailure::None || result.status != statusOk)
            ++outcome.failedCalls;
        outcome.latencies.push_back(runtime::now() - startedAt);
        outcome.finished.notify_one();
    };
    caller.send(std::move(request));
}

void waitUntil(core::Time sendAt)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_until(lock, sendAt, [sendAt] { return runtime::now() >= sendAt; });
}

core::Duration quantile(const std::vector<core::Duration> &sorted, double fraction)
{
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

int run(const Plan &plan)
{
    auto caller = net::HttpClient::create({});
    if (!caller)
        return 1;
    Outcome outcome;
    const core::Duration sendPeriod = core::Duration(std::chrono::seconds(1)) / plan.rate;
    const core::Time startedAt = runtime::now();
    for (std::uint64_t i = 0; i < plan.calls; ++i) {
        waitUntil(startedAt + sendPeriod * i);
        sendOne(*caller.value(), plan, i, outcome);
    }
    std::unique_lock lock(outcome.mutex);
    outcome.finished.wait(lock, [&] { return outcome.latencies.size() == plan.calls; });
    std::sort(outcome.latencies.begin(), outcome.latencies.end());
    fmt::print("p50_us={} p99_us={} max_us={} failed={}\n",
               quantile(outcome.latencies, 0.5).count(), quantile(outcome.latencies, 0.99).count(),
               outcome.latencies.back().count(), outcome.failedCalls);
    return outcome.failedCalls == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("load_tool", "Sends GET calls at a fixed rate.");
    options.add_options()("address", "ip:port", cxxopts::value<std::string>())(
            "path", "path and query", cxxopts::value<std::string>()->default_value("/"))(
            "rate", "calls a second", cxxopts::value<std::uint64_t>()->default_value("100"))(
            "calls", "number of calls", cxxopts::value<std::uint64_t>()->default_value("300"));
    try {
        const auto arguments = options.parse(argc, argv);
        const Plan plan{arguments["address"].as<std::string>(), arguments["path"].as<std::string>(),
                        std::max<std::uint64_t>(1, arguments["rate"].as<std::uint64_t>()),
                        std::max<std::uint64_t>(1, arguments["calls"].as<std::uint64_t>())};
        return run(plan);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "event=usage problem={:?}\n", error.what());
        return 2;
    }
}
