// Streams of many clients, a freeze of the node, and clients whose key was taken away.
#include "../common-3/standins.hh"

#include <algorithm>

namespace {

constexpr int streams = 72; // Nine workers with eight slots.
constexpr int rounds = 6;
constexpr int keyless = 40;
constexpr double freezeTime = 4;
constexpr double eventGap = 0.025;
constexpr int events = 180;

std::string attemptId()
{
    static std::atomic<int> next{0};
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0x5a000000 + next++);
    return text;
}

std::atomic<int> runningStreams{0};
std::atomic<bool> ending{false};

bool serveWorker(int fd, const Message &request)
{
    const Headers echo{{"X-Attempt-Id", request.header("X-Attempt-Id")},
                       {"X-Server-Stamp", "stamp-" + request.header("X-Attempt-Id")}};
    if (request.target().rfind("/page/", 0) == 0)
        return sendAll(fd, encodeResponse(200, echo, "page"));
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : echo)
        head += name + ": " + value + "\r\n";
    if (!sendAll(fd, head + "\r\n"))
        return false;
    ++runningStreams;
    bool open = true;
    const double begin = seconds();
    for (int i = 1; i <= events && open && !ending; ++i) {
        const double due = begin + i * eventGap;
        if (due > seconds())
            sleepFor(due - seconds());
        const std::string event = "id: " + std::to_string(i) + "\ndata: " + std::string(200, 'x') + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        open = sendAll(fd, size + event + "\r\n");
    }
    --runningStreams;
    return open && sendAll(fd, "0\r\n\r\n");
}

// Opens streams, whose clients read them as they arrive. Empty if they do not all run in time.
std::vector<int> beginStreams(const Node &node, int count)
{
    std::vector<int> channels;
    for (int i = 0; i < count; ++i) {
        const int fd = connectTo(node.front);
        if (fd < 0
            || !sendAll(fd, "POST /text/a HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + attemptId()
                                    + "\r\nAuthorization: Bearer key-alder\r\nX-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n"))
            return {};
        channels.push_back(fd);
    }
    if (!waitUntil(10, [&] { return runningStreams >= count; }))
        return {};
    record("%d streams run", count);
    std::thread([channels] {
        std::vector<pollfd> pollers;
        for (const int fd : channels)
            pollers.push_back({fd, POLLIN, 0});
        std::vector<char> buffer(1 << 20);
        std::size_t open = channels.size();
        while (open > 0 && !ending) {
            if (::poll(pollers.data(), pollers.size(), 50) <= 0)
                continue;
            for (pollfd &poller : pollers) {
                if (poller.revents == 0)
                    continue;
                const ssize_t size = ::recv(poller.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
                if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
                    poller.fd = -1;
                    --open;
                }
            }
        }
        for (const int fd : channels)
            ::close(fd);
    }).detach();
    return channels;
}

// Ends the channels; their reader closes them.
void endStreams(const std::vector<int> &channels)
{
    for (const int fd : channels)
        ::shutdown(fd, SHUT_RDWR);
    waitUntil(3, [] { return runningStreams == 0; });
}

const char *config = R"({"version":%d,"routes":[
 {"name":"pages","host":"site.example","path_prefix":"/page/","kind":"safe","timeout_ms":2000,
  "target_latency_ms":150,"priority":0,"service":"app","max_attempts":3},
 {"name":"texts","host":"site.example","path_prefix":"/text/","kind":"stream","timeout_ms":20000,
  "target_latency_ms":400,"priority":1,"service":"app","max_attempts":1}],
 "services":[{"name":"app","max_conns":130,"health_path":"/healthz"}],
 "tenants":[{"name":"alder","api_keys":["key-alder"]}%s],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}})";

std::string configuration(int version, bool withBirch)
{
    char text[4096];
    std::snprintf(text, sizeof text, config, version,
                  withBirch ? R"(,{"name":"birch","api_keys":["key-birch"]})" : "");
    return text;
}

} // namespace

int main()
{
    ::signal(SIGPIPE, SIG_IGN);
    startTime();
    Store store;
    std::vector<std::unique_ptr<Server>> workers;
    for (int i = 0; i < 9; ++i)
        workers.push_back(std::make_unique<Server>(serveWorker));
    store.put("op", "config", configuration(3, true));
    for (std::size_t i = 0; i < workers.size(); ++i)
        store.put("servers", "i-" + std::to_string(i),
                  "{\"service\":\"app\",\"address\":\"127.0.0.1:" + std::to_string(workers[i]->port)
                          + "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":8,\"state\":\"ready\","
                            "\"sequence\":0,\"born\":1790000000000}");
    Node node = makeNode("entry-1", store.server->port);
    node.oneCore = true;
    node.start();
    if (!waitUntil(10, [&] { return node.isReady(); }))
        return 2;

    // The key of the account birch is taken away; its clients go on for a while.
    store.put("op", "config", configuration(7, false));
    record("version 7 acknowledged: key-birch is taken away");
    std::mutex mutex;
    std::map<int, int> keylessAnswers;
    std::vector<std::thread> clients;
    for (int i = 0; i < keyless; ++i)
        clients.emplace_back([&] {
            while (!ending) {
                const Message answer = call(node.front, "POST", "/page/b",
                                            {{"Host", "site.example"},
                                             {"Authorization", "Bearer key-birch"},
                                             {"X-Attempt-Id", attemptId()},
                                             {"X-Deadline-Ms", "2000"}},
                                            "x", 2.0);
                {
                    const std::lock_guard lock(mutex);
                    ++keylessAnswers[answer.status()];
                }
                sleepFor(0.05);
            }
        });
    sleepFor(2.5);

    std::atomic<int> sent{0};
    std::atomic<int> overdue{0}; // Without an answer at timeout_ms.
    std::atomic<int> unanswered{0}; // Without an answer 0.5 s after it.
    for (int round = 0; round < rounds && unanswered == 0; ++round) {
        const std::vector<int> channels = beginStreams(node, streams);
        if (channels.empty())
            return 2;
        sleepFor(0.2);
        if (hasTrouble()) {
            node.signal(SIGSTOP);
            sleepFor(freezeTime);
            node.signal(SIGCONT);
        }
        sleepFor(3.2); // In touch again.
        std::vector<std::thread> others;
        for (int i = 0; i < 12; ++i)
            others.emplace_back([&] {
                const std::string id = attemptId();
                const double begin = seconds();
                const Message answer = call(node.front, "POST", "/page/a",
                                            {{"Host", "site.example"},
                                             {"Authorization", "Bearer key-alder"},
                                             {"X-Attempt-Id", id},
                                             {"X-Deadline-Ms", "4000"}},
                                            "x", 4.0);
                const double duration = seconds() - begin;
                record("request %s: status %d after %.0f ms", id.c_str(), answer.status(),
                       duration * 1000);
                ++sent;
                overdue += answer.status() == 0 || duration > 2.0 ? 1 : 0;
                unanswered += answer.status() == 0 || duration > 2.5 ? 1 : 0;
            });
        for (std::thread &other : others)
            other.join();
        endStreams(channels);
    }
    record("%d requests, %d without an answer at timeout_ms (2,000 ms), %d without an answer 0.5 s later",
           sent.load(), overdue.load(), unanswered.load());
    {
        const std::lock_guard lock(mutex);
        for (const auto &[status, count] : keylessAnswers)
            record("requests with the key that was taken away: status %d: %d", status, count);
    }
    record("the node says that it is ready: %d", node.isReady() ? 1 : 0);
    const bool ended = node.hasEnded();
    ending = true;
    node.stop();
    std::_Exit(unanswered * 2 > overdue || ended ? 1 : 0);
}
