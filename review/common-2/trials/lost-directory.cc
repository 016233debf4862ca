// A node that passes streams on is frozen for a few seconds. Behind the freeze its call duty has a
// backlog, and a new desired state that arrives meanwhile does not reach that duty.

#include "../mini.hh"

using namespace mini;

namespace {

constexpr int nodeCount = 2;
constexpr int workerCount = 8;
constexpr int streamCount = 900;
constexpr int eventsPerStream = 20000;
constexpr double eventMs = 20;
constexpr int rounds = 12;
constexpr double freezeMs = 4000;
constexpr double configBoundMs = 2000; // `config_ms`.
constexpr double contactMs = 3000; // `contact_ms`.

std::string config(int version, const std::string &ordersService)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"r-1","host":"site.example","path_prefix":"/chat/",)"
             R"("kind":"stream","resumable":true,"timeout_ms":60000,"target_latency_ms":1500,)"
             R"("priority":1,"service":"lm","max_attempts":3},{"name":"r-2",)"
             R"("host":"site.example","path_prefix":"/orders/","kind":"unsafe","timeout_ms":2000,)"
             R"("target_latency_ms":150,"priority":2,"service":")"
           + ordersService
           + R"(","max_attempts":1}],"services":[{"name":"lm","health_path":"/healthz",)"
             R"("max_conns":130,"protocol":"h1","tls":false},{"name":"app-a","health_path":"/healthz",)"
             R"("max_conns":96,"protocol":"h1","tls":false},{"name":"app-b",)"
             R"("health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":33554432,)"
             R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// Reads a stream until it ends. \return the number of events.
int readStream(const Node &node, const std::string &id)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{6, 0}; // Four times the objective.
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const sockaddr_in address = loopback(node.callers);
    int events = 0;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && sendAll(fd, "POST /chat/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id
                               + "\r\nX-Deadline-Ms: 60000\r\nX-Model: m0\r\n"
                                 "X-Token-Counts: 40,4000\r\nContent-Length: 4\r\n\r\nbody")) {
        char bytes[65536];
        bool isNewline = false;
        for (ssize_t n = 0; (n = ::recv(fd, bytes, sizeof bytes, 0)) > 0;) {
            for (ssize_t i = 0; i < n; ++i) {
                events += isNewline && bytes[i] == '\n' ? 1 : 0;
                isNewline = bytes[i] == '\n';
            }
            if (std::string_view(bytes, static_cast<std::size_t>(n)).ends_with("0\r\n\r\n"))
                break;
        }
    }
    ::close(fd);
    return events;
}

} // namespace

int main(int, char **arguments)
{
    Test test(arguments[1]);
    test.addNodes(nodeCount);
    int version = 7;
    test.store.put("op", "config", config(version, "app-a"));
    const auto serveStream = [](const std::string &id, const Request &request,
                                Connection &connection) {
        const std::string attempt = request.header("X-Attempt-Id");
        if (request.header("X-Expect-Instance") != id) {
            connection.answer(421, {{"X-Instance-Id", id}}, "");
            return;
        }
        connection.write(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s." + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= eventsPerStream && connection.keep; ++i) {
            sleepMs(eventMs);
            const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            connection.write(size + event + "\r\n");
        }
        connection.write("0\r\n\r\n");
    };
    for (int i = 0; i < workerCount; ++i) {
        const std::string id = "c-" + std::to_string(i + 1);
        auto *server = new Server(
                [id, serveStream](const Request &r, Connection &c) { serveStream(id, r, c); });
        beat(test.store, id, [server] { return plainEntry("lm", server->address()); });
    }
    for (const char *service : {"app-a", "app-b"})
        for (int i = 0; i < 2; ++i) {
            auto *plain = new Plain(std::string(service) + "-" + std::to_string(i + 1), 5);
            beat(test.store, plain->id,
                 [plain, service] { return plainEntry(service, plain->server.address()); });
        }
    test.startNodes();
    sleepMs(2500);

    const Node &node = test.nodes[0];
    std::atomic<bool> isOver = false;
    std::vector<std::thread> clients;
    for (int s = 0; s < streamCount; ++s)
        clients.emplace_back([&, s] {
            for (int i = 0; !isOver; ++i) {
                const int events =
                        readStream(node, "st-" + std::to_string(s) + "-" + std::to_string(i));
                if (!isOver)
                    record("stream st-%d-%d ended after %d events", s, i, events);
                sleepMs(100);
            }
        });
    sleepMs(2000);

    int stale = 0;
    int sent = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string service = round % 2 == 0 ? "app-b" : "app-a";
        if (troubleEnabled())
            node.signal(SIGSTOP);
        sleepMs(freezeMs);
        if (troubleEnabled())
            node.signal(SIGCONT);
        sleepMs(250);
        test.store.put("op", "config", config(++version, service));
        const double ackedAt = nowMs();
        record("desired state %d moves /orders/ to %s", version, service.c_str());
        sleepMs(std::max(configBoundMs, contactMs) + 1000);
        for (int i = 0; i < 4; ++i) {
            const std::string id = "order-" + std::to_string(round) + "-" + std::to_string(i);
            const Response response = call(node.callers, "POST", "/orders/1",
                                           {{"Host", "site.example"},
                                            {"X-Attempt-Id", id},
                                            {"X-Deadline-Ms", "2000"},
                                            {"Connection", "close"}},
                                           "order", 3000);
            const std::string ranAt = find(response.headers, "X-Ran-At");
            ++sent;
            const bool isStale = !ranAt.empty() && !ranAt.starts_with(service);
            stale += isStale ? 1 : 0;
            record("%s, %.1f s after the ack of version %d: %d, run by %s%s", id.c_str(),
                   (nowMs() - ackedAt) / 1000, version, response.status, ranAt.c_str(),
                   isStale ? ", which only an older version allows" : "");
        }
    }
    record("%d of %d orders run by the old service", stale, sent);
    isOver = true;
    test.finish(stale > 0 ? 1 : 0);
}
