#include "../packages/core/tests/control_network.hpp"

#include <geraniumpulley/codec/peer_messages.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

// Measures the control decisions of many nodes on a virtual clock. Message sizes are those of the
// codec.
namespace {

using namespace geraniumpulley;
using namespace std::chrono_literals;
using fake::Network;

constexpr core::Duration settleTime = 25s;
constexpr core::Duration idleTime = 8s;
constexpr core::Duration changePeriod = 14s; // 6,100 configuration changes a day.
constexpr int changeCount = 2;
constexpr std::size_t configurationBytes = 40'000;
// HTTP/2 frame headers of a request and its reply, with path and length as indexed header fields.
constexpr std::size_t overheadBytes = 60;

// How nodes learn of a new configuration version.
enum class Dissemination { Polling, Gossip, Both };

const char *disseminationName(Dissemination dissemination)
{
    switch (dissemination) {
    case Dissemination::Polling:
        return "polling";
    case Dissemination::Gossip:
        return "gossip";
    case Dissemination::Both:
        return "both";
    }
    return "";
}

std::string makeConfiguration(int change)
{
    std::string text(configurationBytes, 'x');
    text.replace(configurationBytes / 2, 8, fmt::format("{:08}", change));
    return text;
}

std::size_t encodedBytes(const core::ControlAction &action)
{
    const core::Node self{{"node-100"}, "10.0.0.100:7003", "sala-bilbao", 1};
    if (const auto *send = std::get_if<core::SendAnnouncement>(&action))
        return codec::encodePeer(send->announcement).size();
    if (const auto *document = std::get_if<core::SendDocument>(&action))
        return codec::encodePeer(document->document).size();
    if (const auto *request = std::get_if<core::RequestDocument>(&action))
        return codec::encodePeer(*request, self).size();
    if (const auto *patch = std::get_if<core::SendPatch>(&action))
        return codec::encodePeer(patch->patch, self).size();
    return 0;
}

void printRow(const char *metric, Dissemination dissemination, int nodes, double value,
              const char *unit, const char *targetValue)
{
    fmt::print("control,{},{} {} nodes,{:.3f},{},{}\n", metric, disseminationName(dissemination),
               nodes, value, unit, targetValue);
}

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct TrafficMeter
{
    std::uint64_t sentBytes = 0;
    fake::Counters countersBefore;
};

void printRates(const Network &network, const TrafficMeter &meter, Dissemination dissemination,
                const char *phase, int nodes, core::Duration length)
{
    const double nodeSeconds = seconds(length) * nodes;
    const auto &counters = network.counters;
    const auto printRate = [&](const char *name, double value, const char *unit,
                               const char *targetValue) {
        printRow(fmt::format("{} {}", phase, name).c_str(), dissemination, nodes, value, unit,
                 targetValue);
    };
    printRate("sent by a node", static_cast<double>(meter.sentBytes) / nodeSeconds, "B/s", "3000");
    printRate("messages of a node",
              static_cast<double>(counters.messages - meter.countersBefore.messages) / nodeSeconds,
              "1/s", "");
    printRate("store reads",
              static_cast<double>(counters.reads - meter.countersBefore.reads) / seconds(length),
              "1/s", "2000");
    printRate("store writes",
              static_cast<double>(counters.writes - meter.countersBefore.writes) / seconds(length),
              "1/s", "300");
}

void startAll(Network &network, int nodes)
{
    for (int i = 0; i < nodes; ++i)
        network.start(i);
}

// Returns the sorted delays after which each node has applied each change. A change that a node has
// not applied within `changePeriod` counts as that period.
std::vector<double> measureChanges(Network &network)
{
    std::vector<double> delays;
    for (int change = 0; change < changeCount; ++change) {
        const core::Time submitted = network.now;
        network.submit(change, network.storedDocuments.size(), fmt::format("s{}", change),
                       makeConfiguration(change));
        network.run(changePeriod);
        for (const auto &[address, member] : network.members) {
            const bool isCurrent = core::number(core::versionInForce(member.state))
                                   == network.storedDocuments.size();
            delays.push_back(isCurrent ? seconds(member.lastAppliedAt - submitted)
                                       : seconds(changePeriod));
        }
    }
    std::sort(delays.begin(), delays.end());
    return delays;
}

// Includes the processor time of the simulation itself, but not that of encoding.
void measureProcessorTime(Network &network, Dissemination dissemination, int nodes)
{
    const std::uint64_t before = network.counters.events;
    const auto startedAt = std::chrono::steady_clock::now();
    network.run(idleTime);
    const auto elapsed =
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt);
    printRow("time for an event of decisions and fakes", dissemination, nodes,
             elapsed.count() / static_cast<double>(network.counters.events - before), "us", "");
    printRow("share of a core for a node", dissemination, nodes,
             100.0 * elapsed.count() / 1e6 / (seconds(idleTime) * nodes), "%", "3.2");
}

void measure(Dissemination dissemination, int nodes)
{
    Network network(42);
    startAll(network, nodes);
    network.run(settleTime);
    network.isGossipEnabled = dissemination != Dissemination::Polling;
    network.isPollingEnabled = dissemination != Dissemination::Gossip;
    if (dissemination == Dissemination::Both)
        measureProcessorTime(network, dissemination, nodes);
    TrafficMeter meter;
    network.onSend = [&](const core::ControlAction &action) {
        meter.sentBytes += encodedBytes(action) + overheadBytes;
    };
    meter.countersBefore = network.counters;
    network.run(idleTime);
    printRates(network, meter, dissemination, "at rest", nodes, idleTime);
    // The first configuration is sent in full, later ones are sent as patches.
    network.submit(0, 0, "first", makeConfiguration(changeCount));
    network.run(changePeriod / 2);
    meter = TrafficMeter{0, network.counters};
    const std::vector<double> delays = measureChanges(network);
    printRates(network, meter, dissemination, "with changes", nodes, changeCount * changePeriod);
    printRow("time in force median", dissemination, nodes, delays[delays.size() / 2], "s", "4");
    printRow("time in force worst", dissemination, nodes, delays.back(), "s", "4");
}

} // namespace

int main()
{
    for (const int nodes : {10, 40, 100, 340}) {
        for (const Dissemination dissemination :
             {Dissemination::Polling, Dissemination::Gossip, Dissemination::Both})
            measure(dissemination, nodes);
    }
    return 0;
}
