#include "../packages/core/tests/engine_world.hpp"

#include <geraniumpulley/codec/engine_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

// Time until all engines have new weights, and what that costs, on a virtual clock.
namespace {

using namespace engine_world;
namespace codec = geraniumpulley::codec;
namespace runtime = geraniumpulley::runtime;

constexpr Duration settleTime = 15s;
constexpr Duration limit = 60s;
constexpr Duration restTime = 24s; // Eight rounds of asking for reports.
constexpr std::size_t pollBytes = 340; // HTTP/1.1 request and answer of a poll, headers included.
constexpr std::size_t peerBytes = 60; // Frames and compressed headers of an HTTP/2 stream.

void row(const std::string &metric, const std::string &parameter, double value, const char *unit,
         const char *target = "")
{
    fmt::print("engines,{},{},{:.3f},{},{}\n", metric, parameter, value, unit, target);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Size
{
    const char *name;
    std::size_t nodes;
    std::size_t engines;
    std::size_t dataCentres;
    std::uint32_t storeLoads;
};

constexpr Size rollos{"rollos_10", 10, 10, 3, 4};
constexpr Size caroni{"caroni_8", 10, 8, 4, 4};
constexpr Size large{"large_5100", 340, 5100, 15, 64};

WorldSettings makeSettings(const Size &size, double failing, std::uint64_t seed)
{
    WorldSettings settings;
    settings.nodes = size.nodes;
    settings.engines = size.engines;
    settings.dataCentres = size.dataCentres;
    settings.service.weightLoadsAtOnce = size.storeLoads;
    settings.failing = failing;
    settings.reportLag = 1s;
    settings.seed = seed;
    return settings;
}

struct Cost
{
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

// What one node sends and takes; an answer counts for both ends.
struct Costs
{
    std::vector<Cost> nodes;

    explicit Costs(std::size_t count) : nodes(count) { }

    void add(std::size_t node, std::size_t bytes)
    {
        ++this->nodes[node].messages;
        this->nodes[node].bytes += bytes;
    }

    void count(std::size_t node, const EnginesAction &action)
    {
        if (std::holds_alternative<PollLoad>(action))
            this->add(node, pollBytes);
        if (const auto *answer = std::get_if<AnswerReports>(&action)) {
            const std::size_t bytes = codec::encodePeer(answer->reports).size() + peerBytes;
            this->add(node, bytes);
            this->add(number(answer->reply), bytes);
        }
        if (std::holds_alternative<ReadGroupClaim>(action)
            || std::holds_alternative<ReadWeights>(action))
            this->add(node, pollBytes);
    }

    [[nodiscard]] Cost most() const
    {
        return *std::max_element(this->nodes.begin(), this->nodes.end(),
                                 [](const Cost &a, const Cost &b) { return a.bytes < b.bytes; });
    }

    [[nodiscard]] Cost sum() const
    {
        Cost total;
        for (const Cost &cost : this->nodes) {
            total.messages += cost.messages;
            total.bytes += cost.bytes;
        }
        return total;
    }
};

// The slowest and the mean of some seeds; one seed draws no failure in a small service.
void measureWave(const Size &size, double failing, std::uint64_t seeds)
{
    Duration slowest{};
    Duration sum{};
    std::size_t done = size.engines;
    std::size_t storeLoads = 0;
    std::size_t loading = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        World world(makeSettings(size, failing, seed));
        world.runFor(settleTime);
        world.post(2);
        const Duration time =
                world.runUntil([&] { return world.enginesAt(2) == size.engines; }, limit);
        slowest = std::max(slowest, time);
        sum += time;
        done = std::min(done, world.enginesAt(2));
        storeLoads = std::max(storeLoads, world.mostStoreLoads);
        loading = std::max(loading, world.mostLoading);
    }
    const std::string parameter =
            fmt::format("{} failing={}% seeds={}", size.name, failing * 100, seeds);
    row("desired_reported_until_all_mean", parameter, seconds(sum) / static_cast<double>(seeds),
        "s", "12");
    row("desired_reported_until_all_worst", parameter, seconds(slowest), "s", "12");
    row("desired_reported_least_done", parameter, static_cast<double>(done), "engines");
    row("desired_reported_most_store_loads", parameter, static_cast<double>(storeLoads), "loads",
        fmt::format("{}", size.storeLoads).c_str());
    row("desired_reported_most_loading", parameter,
        100.0 * static_cast<double>(loading) / static_cast<double>(size.engines), "%", "40");
}

// The baseline: every engine is told at once, and once more when its answer is a failure.
void measurePush(const Size &size, double failing)
{
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> draw;
    const WorldSettings settings = makeSettings(size, failing, 7);
    const double excess = std::max(1.0, static_cast<double>(size.engines) / size.storeLoads);
    // All loads share the store's rate, so all end together.
    const double load = seconds(settings.loadTime) * excess;
    std::size_t failed = 0;
    for (std::size_t i = 0; i < size.engines; ++i)
        failed += draw(random) < failing ? 1 : 0;
    const double again =
            seconds(settings.loadTime)
            * (failed == 0 ? 0 : std::max(1.0, static_cast<double>(failed) / size.storeLoads));
    const std::string parameter = fmt::format("{} failing={}%", size.name, failing * 100);
    row("push_until_all", parameter, load + again, "s", "12");
    row("push_most_loading", parameter, 100, "%", "40");
    row("push_most_store_loads", parameter, static_cast<double>(size.engines), "loads");
}

void measureRest(const Size &size)
{
    World world(makeSettings(size, 0, 7));
    world.runFor(settleTime);
    Costs costs(size.nodes);
    std::size_t reads = 0;
    world.onAction = [&](std::size_t node, const EnginesAction &action) {
        costs.count(node, action);
        reads += std::holds_alternative<ReadGroupClaim>(action)
                                 || std::holds_alternative<ReadWeights>(action)
                         ? 1
                         : 0;
    };
    world.runFor(restTime);
    const double span = seconds(restTime);
    const auto nodes = static_cast<double>(size.nodes);
    row("rest_bytes_mean", size.name, static_cast<double>(costs.sum().bytes) / span / nodes,
        "B/s/node", "3000");
    row("rest_bytes_most", size.name, static_cast<double>(costs.most().bytes) / span, "B/s",
        "3000");
    row("rest_messages_mean", size.name, static_cast<double>(costs.sum().messages) / span / nodes,
        "1/s/node");
    row("rest_store_reads", size.name, static_cast<double>(reads) / span, "1/s", "2000");
    std::size_t owned = 0;
    std::size_t heard = 0;
    for (const NodeModel &node : world.nodes) {
        owned = std::max(owned, node.state.engines.size());
        heard = std::max(heard, node.state.heard.size());
    }
    row("engines_owned_most", size.name, static_cast<double>(owned), "engines");
    row("engines_heard_most", size.name, static_cast<double>(heard), "engines");
}

// Processor time of one report, on the node that owns the most engines.
void measureReport(const Size &size)
{
    World world(makeSettings(size, 0, 7));
    world.runFor(settleTime);
    world.post(2);
    world.runFor(5s);
    const auto busiest = std::max_element(
            world.nodes.begin(), world.nodes.end(), [](const NodeModel &a, const NodeModel &b) {
                return a.state.engines.size() < b.state.engines.size();
            });
    EnginesState &state = busiest->state;
    EngineReport report = *state.engines.begin()->second.report;
    constexpr int rounds = 2000;
    const Time begin = runtime::now();
    for (int i = 0; i < rounds; ++i) {
        ++report.sequence;
        step(state, LoadHeard{report}, world.now);
    }
    row("report_processor_time", size.name, seconds(runtime::now() - begin) * 1e6 / rounds, "us");
    const Time tickBegin = runtime::now();
    for (int i = 0; i < rounds; ++i)
        step(state, EnginesTick{}, world.now + 250ms * i);
    row("tick_processor_time", size.name, seconds(runtime::now() - tickBegin) * 1e6 / rounds, "us");
}

} // namespace

int main()
{
    constexpr std::uint64_t manySeeds = 20;
    for (const Size &size : {rollos, caroni, large}) {
        const std::uint64_t seeds = size.engines > large.engines / 2 ? 1 : manySeeds;
        for (const double failing : {0.0, 0.05}) {
            measurePush(size, failing);
            measureWave(size, failing, seeds);
        }
        measureRest(size);
        measureReport(size);
    }
    return 0;
}
