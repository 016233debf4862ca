// A planned stop: streams that clients send just later than 3 s after the SIGTERM.
#include "harness.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr int nodeCount = 3;
constexpr int engineCount = 4;
constexpr int channelCount = 12;

struct Stream
{
    std::string id;
    bool wasConnected = false;
    std::int64_t sentAfterMs = 0; ///< After the SIGTERM.
    Response response;
};

int run(Record &record, const std::string &folder, Store &store,
        std::vector<std::unique_ptr<Worker>> &workers)
{
    store.put("op", "config", makeConfig(7, 40));
    for (int i = 0; i < engineCount; ++i) {
        workers.push_back(
                std::make_unique<Worker>(store, record, "i-lm" + std::to_string(i), "lm", "m"));
        // The first stream of a channel is short, the second takes 6 s.
        workers.back()->plan = [](const Request &request) {
            const bool isFirst = request.headers.at("X-Attempt-Id").starts_with("first-");
            return RunPlan{isFirst ? 2U : 100U, 200, Milliseconds(20), Milliseconds(60), 200};
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
    std::this_thread::sleep_for(Milliseconds(3500));

    Node &stopped = *nodes[0];
    const auto send = [&](Connection &channel, const std::string &id) {
        return exchange(channel, "POST", "/chat/1",
                        {{"Host", host}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "12000"}}, "x",
                        Milliseconds(12500));
    };
    std::vector<std::unique_ptr<Connection>> channels;
    for (int i = 0; i < channelCount; ++i) {
        auto channel = Connection::open(stopped.callers(), Milliseconds(1000));
        if (!channel)
            return 2;
        const Response first = send(*channel, "first-" + std::to_string(i));
        if (first.status != 200 || !first.keepsChannel)
            return 2;
        channels.push_back(std::move(channel));
    }
    record.write("kept channels: " + std::to_string(channels.size()));

    const Time stoppedAt = Clock::now();
    if (hasTrouble())
        stopped.signal(SIGTERM);
    std::vector<Stream> streams(channels.size());
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < channels.size(); ++i) {
        clients.emplace_back([&, i] {
            std::this_thread::sleep_until(stoppedAt + Milliseconds(3030 + 12 * i));
            Stream &stream = streams[i];
            stream.id = "second-" + std::to_string(i);
            stream.wasConnected = !channels[i]->isClosedByPeer();
            stream.sentAfterMs =
                    std::chrono::duration_cast<Milliseconds>(Clock::now() - stoppedAt).count();
            record.write("client sends " + stream.id + " " + std::to_string(stream.sentAfterMs)
                         + " ms after the SIGTERM");
            if (!stream.wasConnected)
                return;
            stream.response = send(*channels[i], stream.id);
            record.write("client got " + std::to_string(stream.response.status) + " for "
                         + stream.id + ", " + std::to_string(stream.response.body.size())
                         + " bytes");
        });
    }
    for (std::thread &client : clients)
        client.join();
    if (hasTrouble() && !stopped.waitForEnd(Milliseconds(3000)))
        record.write("the stopped node still runs");

    std::set<std::string> started;
    for (const auto &worker : workers) {
        for (const std::string &id : worker->startedIds())
            started.insert(id);
    }
    int cut = 0;
    for (const Stream &stream : streams) {
        if (stream.response.status == 0 && started.count(stream.id) != 0) {
            record.write("LOST: " + stream.id + ", sent " + std::to_string(stream.sentAfterMs)
                         + " ms after the SIGTERM, was passed on and its channel ended without a "
                           "complete answer");
            ++cut;
        }
    }
    record.write("streams cut: " + std::to_string(cut));
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
