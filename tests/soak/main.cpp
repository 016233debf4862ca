#include "injector.hpp"

#include <geraniumpulley/runtime/clock.hpp>

#include <cpprest/json.h>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <pplx/threadpool.h>

#include <iostream>

namespace {

using namespace geraniumpulley;
using std::chrono::milliseconds;
using std::chrono::seconds;

// From the users' requirements: nodes serve calls again within recovery_s, and a batch is due after
// due_ms.
constexpr seconds recoveryTimeout(12);
constexpr milliseconds batchDueTime(7500);
constexpr int cpprestThreadCount = 4;

const std::vector<std::string> nodes{"node-a", "node-b", "node-c"};
const std::vector<std::string> plainWorkers{"orders-1", "orders-2"};
const std::vector<std::string> engines{"engine-1", "engine-2", "engine-3"};

// The processes, proxies and observations of one seed.
struct Run
{
    soak::Proxies proxies;
    live::PlatformFleet fleet;
    soak::ClientHistory history;
    soak::FaultSubjects subjects;
    std::vector<std::string> nodeAddresses;

    std::string openLink(const std::string &name)
    {
        this->subjects.links.push_back(name);
        return this->proxies.open(name);
    }

    void startWorker(const std::string &name, const std::string &service, const std::string &model)
    {
        this->fleet.proxyAddresses[name] = this->openLink(name);
        this->fleet.startWorker(name, service, model);
        this->proxies.setServer(name, this->fleet.addresses.at(name));
        this->subjects.workers.push_back(name);
    }

    void startNode(const std::string &name)
    {
        this->fleet.proxyAddresses["store/" + name] = this->openLink("store/" + name);
        this->proxies.setServer("store/" + name, this->fleet.addresses.at("store"));
        this->fleet.startNode(name);
        this->nodeAddresses.push_back(this->openLink("door/" + name));
        this->proxies.setServer("door/" + name, this->fleet.addresses.at(name + "/callers"));
        this->subjects.nodes.push_back(name);
    }

    bool start()
    {
        if (!this->fleet.writeRow("op", "config", live::makeRoutingTable(3)))
            return false;
        for (const std::string &name : plainWorkers)
            this->startWorker(name, "orders", "");
        for (const std::string &name : engines)
            this->startWorker(name, "engines", "m");
        for (const std::string &name : nodes)
            this->startNode(name);
        return this->fleet.waitUntilReady();
    }

    // Checks that every node serves a call by the deadline for recovery.
    void checkRecovery(core::Time deadline)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const std::string id = fmt::format("after-{}", i);
            const auto servesCall = [&] {
                return this->fleet.call(nodes[i], "POST", "/lookup/" + id, id, "x").status == 200;
            };
            if (!live::waitUntil(*this->fleet.watch, deadline - runtime::now(), servesCall))
                this->history.recordViolation(nodes[i]
                                              + " does not serve calls within the recovery time");
        }
    }

    soak::RunCounts countRuns()
    {
        soak::RunCounts runs;
        for (const std::string &worker : plainWorkers) {
            const web::json::value ids =
                    web::json::value::parse(this->fleet.executedRequestIds(worker));
            for (const web::json::value &id : ids.as_array())
                ++runs[id.as_string()];
        }
        return runs;
    }
};

void printCounts(const soak::ClientHistory &history)
{
    std::string line = "event=load";
    for (const auto &[name, count] : history.counts())
        line += fmt::format(" {}={}", name, count);
    std::cout << line << std::endl;
}

/// Prints the last log lines of each node of a failed run.
void printLogs(live::PlatformFleet &fleet, std::size_t count)
{
    for (const std::string &node : nodes) {
        const std::vector<std::string> lines = fleet.process(node).lines();
        for (std::size_t i = lines.size() > count ? lines.size() - count : 0; i < lines.size(); ++i)
            std::cout << node << " " << lines[i] << "\n";
    }
}

/// \return whether the run had no violation.
bool runSeed(std::uint64_t seed, core::Duration length, std::size_t logLines)
{
    Run run;
    if (!run.start()) {
        std::cout << "event=not_started seed=" << seed << std::endl;
        return false;
    }
    soak::LoadSettings settings;
    settings.nodeAddresses = run.nodeAddresses;
    settings.seed = seed;
    {
        soak::Load load(std::move(settings), run.history);
        soak::Injector injector(run.fleet, run.proxies, load, run.history);
        injector.run(soak::makeSchedule(seed, length, run.subjects));
        const core::Time faultsEndedAt = runtime::now();
        run.checkRecovery(faultsEndedAt + recoveryTimeout);
        load.finish(faultsEndedAt + recoveryTimeout + batchDueTime);
    }
    for (const std::string &violation : soak::checkCalls(run.history.calls(), run.countRuns()))
        run.history.recordViolation(violation);
    printCounts(run.history);
    const std::vector<std::string> violations = run.history.violations();
    for (const std::string &violation : violations)
        std::cout << "event=violation seed=" << seed << " what=\"" << violation << "\""
                  << std::endl;
    if (!violations.empty())
        printLogs(run.fleet, logLines);
    std::cout << "event=seed_done seed=" << seed << " violations=" << violations.size()
              << std::endl;
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    // Must precede any other use of cpprest, which would start 40 threads by default.
    crossplat::threadpool::initialize_with_threads(cpprestThreadCount);
    cxxopts::Options options("soak", "Runs nodes under random faults and checks what clients see.");
    options.add_options()("seed", "First seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
            "count", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "seconds", "Seconds of faults for each seed",
            cxxopts::value<std::uint32_t>()->default_value("10"))(
            "log-lines", "Log lines of each node to print after a violation",
            cxxopts::value<std::size_t>()->default_value("200"))("help", "Prints this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const auto first = parsed["seed"].as<std::uint64_t>();
        const seconds length(parsed["seconds"].as<std::uint32_t>());
        std::uint64_t failed = 0;
        for (std::uint64_t i = 0; i < parsed["count"].as<std::uint64_t>(); ++i)
            failed += runSeed(first + i, length, parsed["log-lines"].as<std::size_t>()) ? 0 : 1;
        std::cout << "event=soak_done failed=" << failed << std::endl;
        return failed == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << "\n";
        return 2;
    }
}
