#include "../packages/core/tests/engine_simulation.hpp"

#include <geraniumpulley/codec/engine_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

// Measures the time until all engines have new weights, and its traffic, on a virtual clock.
namespace {

using namespace engine_simulation;
namespace codec = geraniumpulley::codec;
namespace runtime = geraniumpulley::runtime;

constexpr Duration settleTime = 15s;
constexpr Duration timeLimit = 60s;
constexpr Duration idleDuration = 24s; // Eight periods of report requests.
constexpr std::size_t pollBytes = 340; // An HTTP/1.1 request and its answer, with headers.
// HTTP/2 frame headers and compressed header fields of a stream.
constexpr std::size_t peerOverheadBytes = 60;

void printRow(const std::string &metric, const std::string &parameter, double value,
              const char *unit, const char *target = "")
{
    fmt::print("engines,{},{},{:.3f},{},{}\n", metric, parameter, value, unit, target);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Deployment
{
    const char *name;
    std::size_t nodes;
    std::size_t engines;
    std::size_t dataCentres;
    std::uint32_t storeLoads;
};

constexpr Deployment rollos{"rollos_10", 10, 10, 3, 4};
constexpr Deployment caroni{"caroni_8", 10, 8, 4, 4};
constexpr Deployment large{"large_5100", 340, 5100, 15, 64};

SimulationSettings makeSettings(const Deployment &deployment, double failureProbability,
                                std::uint64_t seed)
{
    SimulationSettings settings;
    settings.nodes = deployment.nodes;
    settings.engines = deployment.engines;
    settings.dataCentres = deployment.dataCentres;
    settings.service.maxConcurrentWeightLoads = deployment.storeLoads;
    settings.loadFailureProbability = failureProbability;
    settings.reportLag = 1s;
    settings.seed = seed;
    return settings;
}

struct Traffic
{
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

// Traffic of each node, sent and received. An answer counts for its sender and its receiver.
struct TrafficByNode
{
    std::vector<Traffic> nodes;

    explicit TrafficByNode(std::size_t count) : nodes(count) { }

    void add(std::size_t node, std::size_t bytes)
    {
        ++this->nodes[node].messages;
        this->nodes[node].bytes += bytes;
    }

    void count(std::size_t node, const EnginesAction &action)
    {
        if (std::holds_alternative<PollLoad>(action))
            this->add(node, pollBytes);
        if (const auto *answer = std::get_if<SendReports>(&action)) {
            const std::size_t bytes = codec::encodePeer(answer->reports).size() + peerOverheadBytes;
            this->add(node, bytes);
            this->add(number(answer->reply), bytes);
        }
        if (std::holds_alternative<ReadGroupClaim>(action)
            || std::holds_alternative<ReadWeights>(action))
            this->add(node, pollBytes);
    }

    [[nodiscard]] Traffic max() const
    {
        return *std::max_element(
                this->nodes.begin(), this->nodes.end(),
                [](const Traffic &a, const Traffic &b) { return a.bytes < b.bytes; });
    }

    [[nodiscard]] Traffic sum() const
    {
        Traffic total;
        for (const Traffic &nodeTraffic : this->nodes) {
            total.messages += nodeTraffic.messages;
            total.bytes += nodeTraffic.bytes;
        }
        return total;
    }
};

// Prints the mean and the maximum of several seeds, because one seed may draw no failure in a small
// service.
void measureWeightUpdate(const Deployment &deployment, double failureProbability,
                         std::uint64_t seeds)
{
    Duration maxTime{};
    Duration sum{};
    std::size_t updatedEngines = deployment.engines;
    std::size_t storeLoads = 0;
    std::size_t loading = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Simulation simulation(makeSettings(deployment, failureProbability, seed));
        simulation.runFor(settleTime);
        simulation.postWeights(2);
        const Duration time = simulation.runUntil(
                [&] { return simulation.engineCountAt(2) == deployment.engines; }, timeLimit);
        maxTime = std::max(maxTime, time);
        sum += time;
        updatedEngines = std::min(updatedEngines, simulation.engineCountAt(2));
        storeLoads = std::max(storeLoads, simulation.maxStoreLoads);
        loading = std::max(loading, simulation.maxLoadingEngines);
    }
    const std::string parameter = fmt::format("{} failing={}% seeds={}", deployment.name,
                                              failureProbability * 100, seeds);
    printRow("desired_reported_until_all_mean", parameter,
             seconds(sum) / static_cast<double>(seeds), "s", "12");
    printRow("desired_reported_until_all_worst", parameter, seconds(maxTime), "s", "12");
    printRow("desired_reported_least_done", parameter, static_cast<double>(updatedEngines),
             "engines");
    printRow("desired_reported_most_store_loads", parameter, static_cast<double>(storeLoads),
             "loads", fmt::format("{}", deployment.storeLoads).c_str());
    printRow("desired_reported_most_loading", parameter,
             100.0 * static_cast<double>(loading) / static_cast<double>(deployment.engines), "%",
             "40");
}

// The baseline: orders every engine at once, and orders an engine again when its load has failed.
void measurePush(const Deployment &deployment, double failureProbability)
{
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> draw;
    const SimulationSettings settings = makeSettings(deployment, failureProbability, 7);
    const double loadFactor =
            std::max(1.0, static_cast<double>(deployment.engines) / deployment.storeLoads);
    // All loads share the store's bandwidth, so all end at the same time.
    const double loadSeconds = seconds(settings.loadTime) * loadFactor;
    std::size_t failed = 0;
    for (std::size_t i = 0; i < deployment.engines; ++i)
        failed += draw(random) < failureProbability ? 1 : 0;
    const double repeatSeconds =
            seconds(settings.loadTime)
            * (failed == 0 ? 0
                           : std::max(1.0, static_cast<double>(failed) / deployment.storeLoads));
    const std::string parameter =
            fmt::format("{} failing={}%", deployment.name, failureProbability * 100);
    printRow("push_until_all", parameter, loadSeconds + repeatSeconds, "s", "12");
    printRow("push_most_loading", parameter, 100, "%", "40");
    printRow("push_most_store_loads", parameter, static_cast<double>(deployment.engines), "loads");
}

void measureIdleTraffic(const Deployment &deployment)
{
    Simulation simulation(makeSettings(deployment, 0, 7));
    simulation.runFor(settleTime);
    TrafficByNode traffic(deployment.nodes);
    std::size_t reads = 0;
    simulation.onAction = [&](std::size_t node, const EnginesAction &action) {
        traffic.count(node, action);
        reads += std::holds_alternative<ReadGroupClaim>(action)
                                 || std::holds_alternative<ReadWeights>(action)
                         ? 1
                         : 0;
    };
    simulation.runFor(idleDuration);
    const double span = seconds(idleDuration);
    const auto nodes = static_cast<double>(deployment.nodes);
    printRow("rest_bytes_mean", deployment.name,
             static_cast<double>(traffic.sum().bytes) / span / nodes, "B/s/node", "3000");
    printRow("rest_bytes_most", deployment.name, static_cast<double>(traffic.max().bytes) / span,
             "B/s", "3000");
    printRow("rest_messages_mean", deployment.name,
             static_cast<double>(traffic.sum().messages) / span / nodes, "1/s/node");
    printRow("rest_store_reads", deployment.name, static_cast<double>(reads) / span, "1/s", "2000");
    std::size_t ownedEngines = 0;
    std::size_t reportedEngines = 0;
    for (const FakeNode &node : simulation.nodes) {
        ownedEngines = std::max(ownedEngines, node.state.engines.size());
        reportedEngines = std::max(reportedEngines, node.state.peerReports.size());
    }
    printRow("engines_owned_most", deployment.name, static_cast<double>(ownedEngines), "engines");
    printRow("engines_heard_most", deployment.name, static_cast<double>(reportedEngines),
             "engines");
}

// Measures the processor time of a report and of a tick on the node that owns the most engines.
void measureReport(const Deployment &deployment)
{
    Simulation simulation(makeSettings(deployment, 0, 7));
    simulation.runFor(settleTime);
    simulation.postWeights(2);
    simulation.runFor(5s);
    const auto busiest =
            std::max_element(simulation.nodes.begin(), simulation.nodes.end(),
                             [](const FakeNode &a, const FakeNode &b) {
                                 return a.state.engines.size() < b.state.engines.size();
                             });
    EnginesState &state = busiest->state;
    EngineReport report = *state.engines.begin()->second.report;
    constexpr int rounds = 2000;
    const Time begin = runtime::now();
    for (int i = 0; i < rounds; ++i) {
        ++report.sequence;
        step(state, LoadReportReceived{report}, simulation.now);
    }
    printRow("report_processor_time", deployment.name,
             seconds(runtime::now() - begin) * 1e6 / rounds, "us");
    const Time tickBegin = runtime::now();
    for (int i = 0; i < rounds; ++i)
        step(state, EnginesTick{}, simulation.now + 250ms * i);
    printRow("tick_processor_time", deployment.name,
             seconds(runtime::now() - tickBegin) * 1e6 / rounds, "us");
}

} // namespace

int main()
{
    constexpr std::uint64_t smallDeploymentSeeds = 20;
    for (const Deployment &deployment : {rollos, caroni, large}) {
        const std::uint64_t seeds =
                deployment.engines > large.engines / 2 ? 1 : smallDeploymentSeeds;
        for (const double failureProbability : {0.0, 0.05}) {
            measurePush(deployment, failureProbability);
            measureWeightUpdate(deployment, failureProbability, seeds);
        }
        measureIdleTraffic(deployment);
        measureReport(deployment);
    }
    return 0;
}
