// A planned stop of the node that owns a batch whose running texts are long.
#include "harness.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace review;

namespace {

constexpr int nodeCount = 3;
constexpr int engineCount = 4;
constexpr int appCount = 3;
constexpr int itemCount = 24;
constexpr int channelCount = 60;
constexpr Milliseconds appWork{150};
const char *const batchId = "7c41e09b52d6a3f8";

struct Probe
{
    std::string id;
    bool wasConnected = false;
    Response response;
};

bool logContains(const Node &node, const std::string &text)
{
    std::ifstream file(node.log());
    std::stringstream content;
    content << file.rdbuf();
    return content.str().find(text) != std::string::npos;
}

int run(Record &record, const std::string &folder, Store &store,
        std::vector<std::unique_ptr<Worker>> &workers)
{
    store.put("op", "config", makeConfig(7, 40));
    for (int i = 0; i < engineCount; ++i) {
        workers.push_back(
                std::make_unique<Worker>(store, record, "i-lm" + std::to_string(i), "lm", "m"));
        // The largest lengths of the site file: 182 events of 1,200 bytes, some ms apart.
        workers.back()->plan = [](const Request &) {
            return RunPlan{180, 1200, Milliseconds(20), Milliseconds(60), 200};
        };
    }
    for (int i = 0; i < appCount; ++i) {
        workers.push_back(
                std::make_unique<Worker>(store, record, "i-app" + std::to_string(i), "app", ""));
        workers.back()->work = [](const Request &request) {
            const bool isFirst = request.headers.at("X-Attempt-Id").starts_with("first-");
            return isFirst ? Milliseconds(25) : appWork;
        };
    }
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::string> seeds;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Node>(record, folder, "front-" + std::to_string(i),
                                               store.address(), seeds));
        seeds.push_back(nodes.back()->peers());
        nodes.back()->start();
    }
    for (const auto &node : nodes) {
        if (!waitFor(Milliseconds(20000), [&] { return node->isReady(); }))
            return 2;
    }
    std::this_thread::sleep_for(Milliseconds(3000));

    std::vector<Item> items;
    for (int i = 0; i < itemCount; ++i)
        items.push_back({"e5b2907c14da6f" + std::to_string(10 + i), "g" + std::to_string(i / 8)});
    const Response submitted =
            call(nodes[0]->callers(), "POST", "/samples/1", {{"X-Attempt-Id", batchId}},
                 makeBatch("m", items), Milliseconds(6000));
    record.write("batch submitted: " + std::to_string(submitted.status));
    if (submitted.status != 202)
        return 2;
    Node *owner = nullptr;
    waitFor(Milliseconds(5000), [&] {
        for (const auto &node : nodes) {
            if (logContains(*node, std::string("event=batch_opened batch=") + batchId))
                owner = node.get();
        }
        return owner != nullptr;
    });
    if (owner == nullptr)
        return 2;
    record.write("owner is " + owner->name());

    // Clients with kept channels: one request now, the next one seconds later, well before four
    // fifths of idle_timeout_ms.
    std::vector<std::unique_ptr<Connection>> channels;
    for (int i = 0; i < channelCount; ++i) {
        auto channel = Connection::open(owner->callers(), Milliseconds(1000));
        if (!channel)
            continue;
        const Response first = exchange(*channel, "POST", "/lookup/1",
                                        {{"Host", host},
                                         {"X-Attempt-Id", "first-" + std::to_string(i)},
                                         {"X-Deadline-Ms", "2000"}},
                                        "x", Milliseconds(2500));
        if (first.status == 200 && first.keepsChannel)
            channels.push_back(std::move(channel));
    }
    record.write("kept channels: " + std::to_string(channels.size()));

    std::this_thread::sleep_for(Milliseconds(1000));
    const Time stoppedAt = Clock::now();
    if (hasTrouble())
        owner->signal(SIGTERM);
    // The requests are sent 6.3 s to 8.1 s after the signal, 30 ms apart.
    std::vector<Probe> probes(channels.size());
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < channels.size(); ++i) {
        senders.emplace_back([&, i] {
            std::this_thread::sleep_until(stoppedAt + Milliseconds(6300 + 30 * i));
            Probe &probe = probes[i];
            probe.id = "second-" + std::to_string(i);
            probe.wasConnected = !channels[i]->isClosedByPeer();
            if (!probe.wasConnected)
                return;
            record.write("client sends " + probe.id);
            probe.response = exchange(
                    *channels[i], "POST", "/lookup/1",
                    {{"Host", host}, {"X-Attempt-Id", probe.id}, {"X-Deadline-Ms", "2000"}}, "x",
                    Milliseconds(2500));
            record.write("client got " + std::to_string(probe.response.status) + " for "
                         + probe.id);
        });
    }
    for (std::thread &sender : senders)
        sender.join();
    if (hasTrouble() && !owner->waitForEnd(Milliseconds(3000)))
        record.write("the stopped node still runs");

    std::set<std::string> started;
    for (const auto &worker : workers) {
        for (const std::string &id : worker->startedIds())
            started.insert(id);
    }
    int cut = 0;
    for (const Probe &probe : probes) {
        if (probe.wasConnected && probe.response.status == 0 && started.count(probe.id) != 0) {
            record.write("LOST: " + probe.id
                         + " was passed on to a worker, and its channel ended without an answer");
            ++cut;
        }
    }
    record.write("store calls over the limits: " + std::to_string(store.oversized));
    record.write("requests cut: " + std::to_string(cut));
    return cut > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string folder = makeFolder();
    // Not destroyed, because their threads may still wait for clients.
    Store store(record);
    std::vector<std::unique_ptr<Worker>> workers;
    const int result = run(record, folder, store, workers);
    record.write("exit " + std::to_string(result));
    removeFolder(folder);
    std::fflush(nullptr);
    std::_Exit(result);
}
