#include "../packages/core/tests/control_network.hpp"

#include <geraniumpulley/codec/peer_messages.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

// Drives the control decisions of many nodes on a virtual clock; bytes are those of the codec.
namespace {

using namespace geraniumpulley;
using namespace std::chrono_literals;
using fake::Network;

constexpr core::Duration settling = 25s;
constexpr core::Duration idling = 8s;
constexpr core::Duration pause = 14s; // Between two changes, as at 6,100 a day.
constexpr int changes = 2;
constexpr std::size_t textBytes = 40'000;
// Frame headers of HTTP/2, and path and length as indexed fields, for a request and its reply.
constexpr std::size_t overheadBytes = 60;

enum class Way { Polling, Gossip, Both };

const char *nameOf(Way way)
{
    switch (way) {
    case Way::Polling:
        return "polling";
    case Way::Gossip:
        return "gossip";
    case Way::Both:
        return "both";
    }
    return "";
}

std::string makeText(int change)
{
    std::string text(textBytes, 'x');
    text.replace(textBytes / 2, 8, fmt::format("{:08}", change));
    return text;
}

std::size_t sizeOf(const core::ControlAction &action)
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

void report(const char *metric, Way way, int nodes, double value, const char *unit,
            const char *target)
{
    fmt::print("control,{},{} {} nodes,{:.3f},{},{}\n", metric, nameOf(way), nodes, value, unit,
               target);
}

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Meter
{
    std::uint64_t bytes = 0;
    fake::Counters before;
};

void reportRates(const Network &network, const Meter &meter, Way way, const char *phase, int nodes,
                 core::Duration length)
{
    const double nodeSeconds = seconds(length) * nodes;
    const auto &counters = network.counters;
    const auto rate = [&](const char *name, double value, const char *unit, const char *target) {
        report(fmt::format("{} {}", phase, name).c_str(), way, nodes, value, unit, target);
    };
    rate("sent by a node", static_cast<double>(meter.bytes) / nodeSeconds, "B/s", "3000");
    rate("messages of a node",
         static_cast<double>(counters.messages - meter.before.messages) / nodeSeconds, "1/s", "");
    rate("store reads", static_cast<double>(counters.reads - meter.before.reads) / seconds(length),
         "1/s", "2000");
    rate("store writes",
         static_cast<double>(counters.writes - meter.before.writes) / seconds(length), "1/s",
         "300");
}

void startAll(Network &network, int nodes)
{
    for (int i = 0; i < nodes; ++i)
        network.start(i);
}

// Delays of every node for every change.
std::vector<double> measureChanges(Network &network)
{
    std::vector<double> delays;
    for (int change = 0; change < changes; ++change) {
        const core::Time submitted = network.now;
        network.submit(change, network.stored.size(), fmt::format("s{}", change), makeText(change));
        network.run(pause);
        for (const auto &[address, member] : network.members) {
            const bool has =
                    core::number(core::versionInForce(member.state)) == network.stored.size();
            delays.push_back(has ? seconds(member.lastChange - submitted) : seconds(pause));
        }
    }
    std::sort(delays.begin(), delays.end());
    return delays;
}

// Counts the fakes' time as well as the decisions', but no encoding.
void measureProcessorTime(Network &network, Way way, int nodes)
{
    const std::uint64_t before = network.counters.events;
    const auto started = std::chrono::steady_clock::now();
    network.run(idling);
    const auto taken =
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started);
    report("time for an event of decisions and fakes", way, nodes,
           taken.count() / static_cast<double>(network.counters.events - before), "us", "");
    report("share of a core for a node", way, nodes,
           100.0 * taken.count() / 1e6 / (seconds(idling) * nodes), "%", "3.2");
}

void measure(Way way, int nodes)
{
    Network network(42);
    startAll(network, nodes);
    network.run(settling);
    network.gossips = way != Way::Polling;
    network.polls = way != Way::Gossip;
    if (way == Way::Both)
        measureProcessorTime(network, way, nodes);
    Meter meter;
    network.onSend = [&](const core::ControlAction &action) {
        meter.bytes += sizeOf(action) + overheadBytes;
    };
    meter.before = network.counters;
    network.run(idling);
    reportRates(network, meter, way, "at rest", nodes, idling);
    // The first text travels whole; later ones as patches.
    network.submit(0, 0, "first", makeText(changes));
    network.run(pause / 2);
    meter = Meter{0, network.counters};
    const std::vector<double> delays = measureChanges(network);
    reportRates(network, meter, way, "with changes", nodes, changes * pause);
    report("time in force median", way, nodes, delays[delays.size() / 2], "s", "4");
    report("time in force worst", way, nodes, delays.back(), "s", "4");
}

} // namespace

int main()
{
    for (const int nodes : {10, 40, 100, 340}) {
        for (const Way way : {Way::Polling, Way::Gossip, Way::Both})
            measure(way, nodes);
    }
    return 0;
}
