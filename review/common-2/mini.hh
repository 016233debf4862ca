#pragma once

// Stand-ins and helpers for the scripts of the second review: a store, an HTTP server and an HTTP
// client on loopback sockets, and processes of the daemon. Plain POSIX and RapidJSON only.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mini {

using Clock = std::chrono::steady_clock;

inline Clock::time_point startedAt = Clock::now();

inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
}

inline void sleepMs(double ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// The record of a run: what was sent, answered and run, with the time since the start.
inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;

inline void record(const char *format, ...)
{
    const std::lock_guard lock(recordMutex);
    if (recordFile == nullptr)
        return;
    std::fprintf(recordFile, "%10.1f ", nowMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

inline bool troubleEnabled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// HTTP

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string find(const Headers &headers, const char *name)
{
    for (const auto &[key, value] : headers)
        if (strcasecmp(key.c_str(), name) == 0)
            return value;
    return {};
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads one HTTP message after another from a socket.
class Reader
{
public:
    explicit Reader(int fd) : fd(fd) { }

    bool readLine(std::string &line)
    {
        line.clear();
        while (true) {
            const std::size_t end = this->buffer.find('\n', this->offset);
            if (end != std::string::npos) {
                line = this->buffer.substr(this->offset, end - this->offset);
                if (!line.empty() && line.back() == '\r')
                    line.pop_back();
                this->offset = end + 1;
                return true;
            }
            if (!this->fill())
                return false;
        }
    }

    bool readBytes(std::size_t count, std::string &bytes)
    {
        while (this->buffer.size() - this->offset < count)
            if (!this->fill())
                return false;
        bytes.append(this->buffer, this->offset, count);
        this->offset += count;
        return true;
    }

    bool readHeaders(Headers &headers)
    {
        std::string line;
        while (this->readLine(line)) {
            if (line.empty())
                return true;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            std::size_t first = colon + 1;
            while (first < line.size() && line[first] == ' ')
                ++first;
            headers.emplace_back(line.substr(0, colon), line.substr(first));
        }
        return false;
    }

    bool readBody(const Headers &headers, std::string &body)
    {
        if (strcasecmp(find(headers, "Transfer-Encoding").c_str(), "chunked") != 0) {
            const std::string length = find(headers, "Content-Length");
            return this->readBytes(length.empty() ? 0 : std::stoull(length), body);
        }
        std::string line;
        while (this->readLine(line)) {
            const std::size_t size = std::stoull(line, nullptr, 16);
            if (!this->readBytes(size, body) || !this->readLine(line))
                return false;
            if (size == 0)
                return true;
        }
        return false;
    }

private:
    bool fill()
    {
        if (this->offset > 1 << 16) {
            this->buffer.erase(0, this->offset);
            this->offset = 0;
        }
        char bytes[65536];
        const ssize_t n = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        this->buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    int fd;
    std::string buffer;
    std::size_t offset = 0;
};

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string header(const char *name) const { return find(this->headers, name); }

    std::string path() const { return this->target.substr(0, this->target.find('?')); }

    std::string query(const std::string &name) const
    {
        std::size_t at = this->target.find('?');
        while (at != std::string::npos && at < this->target.size()) {
            const std::size_t end = this->target.find('&', at + 1);
            const std::string field = this->target.substr(
                    at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
            if (field.starts_with(name + "="))
                return decode(field.substr(name.size() + 1));
            at = end;
        }
        return {};
    }

    static std::string decode(const std::string &text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }
};

inline std::string encodeResponse(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// A connection that a handler may answer on, or reset.
struct Connection
{
    int fd = -1;
    bool keep = true;

    bool answer(int status, const Headers &headers, const std::string &body)
    {
        return this->write(encodeResponse(status, headers, body));
    }
    bool write(const std::string &bytes)
    {
        this->keep = this->keep && sendAll(this->fd, bytes);
        return this->keep;
    }
    void reset()
    {
        const linger option{1, 0};
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        this->keep = false;
    }
    // Whether the peer has closed the connection.
    bool isClosed() const
    {
        char byte = 0;
        const ssize_t n = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
};

// A server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<void(const Request &, Connection &)>;

    explicit Server(Handler handler, int port = 0) : handler(std::move(handler))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = loopback(port);
        if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(this->listener, 512) != 0)
            std::exit(2);
        socklen_t size = sizeof address;
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->portNumber = ntohs(address.sin_port);
        std::thread([this] { this->acceptAll(); }).detach();
    }

    int port() const { return this->portNumber; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->portNumber); }

private:
    void acceptAll()
    {
        while (true) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { this->serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Connection connection{fd};
        while (connection.keep) {
            Request request;
            std::string line;
            if (!reader.readLine(line))
                break;
            const std::size_t first = line.find(' ');
            const std::size_t second = line.find(' ', first + 1);
            if (second == std::string::npos)
                break;
            request.method = line.substr(0, first);
            request.target = line.substr(first + 1, second - first - 1);
            if (!reader.readHeaders(request.headers)
                || !reader.readBody(request.headers, request.body))
                break;
            this->handler(request, connection);
            if (strcasecmp(request.header("Connection").c_str(), "close") == 0)
                connection.keep = false;
        }
        ::close(fd);
    }

    Handler handler;
    int listener = -1;
    int portNumber = 0;
};

struct Response
{
    int status = 0; // 0: no complete answer.
    Headers headers;
    std::string body;
};

// Sends a request on a new connection and waits for the answer.
inline Response call(int port, const std::string &method, const std::string &target,
                     const Headers &headers, const std::string &body, int timeoutMs)
{
    Response response;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const sockaddr_in address = loopback(port);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && sendAll(fd, text) && sendAll(fd, body)) {
        Reader reader(fd);
        std::string line;
        if (reader.readLine(line) && line.size() > 12 && reader.readHeaders(response.headers)
            && reader.readBody(response.headers, response.body))
            response.status = std::atoi(line.c_str() + 9);
    }
    ::close(fd);
    return response;
}

// Base64

inline std::string toBase64(const std::string &bytes)
{
    static const char *const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned block = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            block = block << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? digits[block >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

// The platform's store: versioned rows with conditional transactions, range reads and a feed.
class Store
{
public:
    Store() : server([this](const Request &request, Connection &c) { this->serve(request, c); }) { }

    std::string address() const { return this->server.address(); }

    // Writes a row in the way that operators and workers do.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->rows[{table, "", key}] = {toBase64(value), ++this->version, false};
        this->changed.notify_all();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->rows[{table, "", key}] = {"", ++this->version, true};
        this->changed.notify_all();
    }

    /// Called before a transaction; may answer in its place. \return true if it did.
    std::function<bool(const Request &, Connection &)> intercept;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    using Key = std::tuple<std::string, std::string, std::string>;

    static std::string encode(const Key &key, const Row &row)
    {
        const auto &[table, part, name] = key;
        return "{\"table\":\"" + table + "\",\"part\":\"" + part + "\",\"key\":\"" + name
               + "\",\"ver\":" + std::to_string(row.version)
               + (row.removed ? ",\"tombstone\":true}" : ",\"value\":\"" + row.value + "\"}");
    }

    std::string makeBody(const std::string &list, bool isTruncated = false) const
    {
        return "{\"rows\":[" + list + "],\"truncated\":" + (isTruncated ? "true" : "false")
               + ",\"ver\":" + std::to_string(this->version)
               + ",\"now_ms\":" + std::to_string(static_cast<std::uint64_t>(nowMs()) + 1) + "}";
    }

    void serve(const Request &request, Connection &connection)
    {
        const std::string path = request.path();
        if (this->intercept && this->intercept(request, connection))
            return;
        if (path == "/-/rows-tx") {
            sleepMs(3);
            int status = 200;
            const std::string body = this->transact(request.body, status);
            connection.answer(status, {{"Content-Type", "application/json"}}, body);
        } else if (path == "/-/rows-get") {
            connection.answer(200, {{"Content-Type", "application/json"}}, this->read(request));
        } else if (path == "/-/rows-feed") {
            connection.answer(200, {{"Content-Type", "application/json"}}, this->follow(request));
        } else {
            connection.answer(404, {}, "{}");
        }
    }

    static Key keyOf(const rapidjson::Value &row)
    {
        return {row["table"].GetString(), row["part"].GetString(), row["key"].GetString()};
    }

    std::string transact(const std::string &text, int &status)
    {
        rapidjson::Document call;
        call.Parse(text.data(), text.size());
        const std::lock_guard lock(this->mutex);
        std::string current;
        for (const auto &condition : call["expected"].GetArray()) {
            const auto position = this->rows.find(keyOf(condition));
            const bool exists = position != this->rows.end() && !position->second.removed;
            if ((exists ? position->second.version : 0) != condition["ver"].GetUint64())
                status = 412;
            if (exists)
                current += (current.empty() ? "" : ",") + encode(position->first, position->second);
        }
        if (status == 412)
            return this->makeBody(current);
        ++this->version;
        for (const auto &write : call["writes"].GetArray())
            this->rows[keyOf(write)] = {write["value"].GetString(), this->version, false};
        for (const auto &name : call["remove"].GetArray())
            this->rows[keyOf(name)] = {"", this->version, true};
        this->changed.notify_all();
        return this->makeBody("");
    }

    std::string read(const Request &request)
    {
        const std::string from = request.query("from");
        const std::string to = request.query("to");
        const Key first{request.query("table"), request.query("part"), from};
        const std::string limit = request.query("limit");
        const std::size_t maxRows = limit.empty() ? 500 : std::stoull(limit);
        constexpr std::size_t maxBytes = 1'000'000;
        const std::lock_guard lock(this->mutex);
        std::string list;
        std::size_t count = 0;
        for (auto at = this->rows.lower_bound(first); at != this->rows.end(); ++at) {
            const auto &[table, part, name] = at->first;
            if (table != std::get<0>(first) || part != std::get<1>(first)
                || (!to.empty() && name >= to))
                break;
            if (at->second.removed)
                continue;
            if (count == maxRows || (count > 0 && list.size() + at->second.value.size() > maxBytes))
                return this->makeBody(list, true);
            list += (list.empty() ? "" : ",") + encode(at->first, at->second);
            ++count;
        }
        return this->makeBody(list);
    }

    std::string follow(const Request &request)
    {
        const std::string table = request.query("table");
        const std::uint64_t after = std::stoull(request.query("after"));
        const auto until =
                Clock::now() + std::chrono::milliseconds(std::stoull(request.query("wait_ms")));
        std::unique_lock lock(this->mutex);
        while (true) {
            std::map<std::uint64_t, std::string> found;
            for (auto at = this->rows.lower_bound({table, "", ""});
                 at != this->rows.end() && std::get<0>(at->first) == table; ++at)
                if (at->second.version > after) {
                    std::string &entry = found[at->second.version];
                    entry += (entry.empty() ? "" : ",") + encode(at->first, at->second);
                }
            std::string list;
            for (const auto &[version, entry] : found)
                list += (list.empty() ? "" : ",") + entry;
            if (!list.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout)
                return this->makeBody(list);
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::uint64_t version = 0;
    Server server;
};

// When each item was at a worker.
struct RunLog
{
    struct Span
    {
        double from = 0;
        double to = 0;
    };
    std::mutex mutex;
    std::map<std::string, std::vector<Span>> spans;

    std::size_t begin(const std::string &item)
    {
        const std::lock_guard lock(this->mutex);
        this->spans[item].push_back({nowMs(), 1e12});
        return this->spans[item].size() - 1;
    }
    void end(const std::string &item, std::size_t index)
    {
        const std::lock_guard lock(this->mutex);
        this->spans[item][index].to = nowMs();
    }
    // The longest time between `from` and `to` in which the item was at no worker.
    double longestGap(const std::string &item, double from, double to)
    {
        const std::lock_guard lock(this->mutex);
        double gap = 0;
        double free = from;
        for (const Span &span : this->spans[item]) {
            if (span.to <= free)
                continue;
            gap = std::max(gap, std::min(span.from, to) - free);
            free = std::max(free, span.to);
        }
        return std::max(gap, to - free);
    }
};

inline RunLog &runLog = *new RunLog;

// The models "m0", "m1" and so on, as engines state them.
inline std::string encodeModels(int count)
{
    std::string text;
    for (int i = 0; i < count; ++i)
        text += (i == 0 ? "" : ",") + ("{\"name\":\"m" + std::to_string(i))
                + "\",\"version\":1,\"adapters\":[]}";
    return "\"models\":[" + text + "]";
}

// A model engine that generates texts of a fixed length as event streams.
struct Engine
{
    std::string id;
    int modelCount = 1;
    int events = 0; ///< Events of each text.
    std::size_t eventBytes = 0; ///< Bytes of the data of each event.
    double eventMs = 0; ///< Time for each event.
    std::function<bool(const std::string &)> isStraggler; ///< Whether a text is a long one.
    int stragglerEvents = 0;
    double stragglerEventMs = 0;
    std::atomic<int> running = 0;
    std::atomic<int> begun = 0;
    Server server;

    Engine(std::string id, int modelCount, int events, std::size_t eventBytes, double eventMs)
        : id(std::move(id)), modelCount(modelCount), events(events), eventBytes(eventBytes),
          eventMs(eventMs), server([this](const Request &r, Connection &c) { this->serve(r, c); })
    {
    }

    static std::string dataOf(const std::string &item, int event, std::size_t bytes)
    {
        std::string data = item + "." + std::to_string(event) + ".";
        data.resize(std::max(bytes, data.size()), 'x');
        return data;
    }

    std::string entry(const std::string &service) const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + this->server.address()
               + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                 "\"cold_left_ms\":0,\"stage\":\"mixed\","
               + encodeModels(this->modelCount) + ",\"sequence\":0}";
    }

    void serve(const Request &request, Connection &connection)
    {
        if (request.path() == "/-/report") {
            connection.answer(200, {{"Content-Type", "application/json"}},
                              "{\"stage\":\"mixed\"," + encodeModels(this->modelCount)
                                      + ",\"busy\":false,"
                                        "\"sequence\":0,\"waiting\":0,\"running\":0}");
            return;
        }
        if (request.header("X-Expect-Instance") != this->id) {
            connection.answer(421, {{"X-Instance-Id", this->id}}, "");
            return;
        }
        const std::string item = request.header("X-Attempt-Id");
        if (this->running.fetch_add(1) >= 8) {
            --this->running;
            connection.answer(503, {{"X-Attempt-Id", item}, {"X-Not-Executed", "1"}}, "");
            return;
        }
        ++this->begun;
        const std::size_t span = runLog.begin(item);
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + item + "\r\nX-Server-Stamp: s."
                         + item
                         + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
        const std::string last = request.header("Last-Event-Id");
        const bool isLong = this->isStraggler && this->isStraggler(item);
        const int count = isLong ? this->stragglerEvents : this->events;
        for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= count; ++i) {
            sleepMs(isLong ? this->stragglerEventMs : this->eventMs);
            const std::string event = "id: " + std::to_string(i)
                                      + "\ndata: " + dataOf(item, i, this->eventBytes) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!connection.write(size + event + "\r\n"))
                break;
        }
        connection.write("0\r\n\r\n");
        runLog.end(item, span);
        --this->running;
    }
};

// A plain worker that answers after its work.
struct Plain
{
    std::string id;
    double workMs = 0;
    std::function<bool()> losesAnswer; ///< Whether the answer of a request that ran is lost.
    Server server;

    Plain(std::string id, double workMs)
        : id(std::move(id)), workMs(workMs),
          server([this](const Request &r, Connection &c) { this->serve(r, c); })
    {
    }

    void serve(const Request &request, Connection &connection) const
    {
        const std::string attempt = request.header("X-Attempt-Id");
        if (request.header("X-Expect-Instance") != this->id) {
            connection.answer(421, {{"X-Instance-Id", this->id}}, "");
            return;
        }
        const std::size_t span = runLog.begin(attempt);
        sleepMs(this->workMs);
        runLog.end(attempt, span);
        if (this->losesAnswer && this->losesAnswer()) {
            record("%s has run %s, its answer is lost", this->id.c_str(), attempt.c_str());
            connection.reset();
            return;
        }
        connection.answer(200,
                          {{"X-Attempt-Id", attempt},
                           {"X-Server-Stamp", "s." + attempt},
                           {"X-Ran-At", this->id}},
                          "ok");
    }
};

// Processes of the daemon

// Returns a free port outside the range from which the system takes those of other sockets.
inline int freePort()
{
    static unsigned seed = static_cast<unsigned>(::getpid());
    static std::set<int> used;
    while (true) {
        const int port = 15000 + static_cast<int>(::rand_r(&seed) % 15000);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree =
                ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree && used.insert(port).second)
            return port;
    }
}

struct Node
{
    std::string name;
    int callers = 0;
    int readiness = 0;
    int peers = 0;
    std::string settings;
    std::string log;
    pid_t pid = -1;

    void start()
    {
        this->pid = ::fork();
        if (this->pid != 0) {
            record("start %s pid %d", this->name.c_str(), this->pid);
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("target/packages/node/geraniumpulleyd", "geraniumpulleyd", "--settings",
                this->settings.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const
    {
        record("signal %d to %s", number, this->name.c_str());
        ::kill(this->pid, number);
    }

    void killAndWait()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }

    // \return the resident memory in MB, 0 before the program runs, or -1 if the process has ended.
    double residentMb()
    {
        if (this->pid <= 0 || ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
            this->pid = -1;
            return -1;
        }
        // Between fork and exec the process still has the memory of this one.
        std::string program;
        std::getline(std::ifstream("/proc/" + std::to_string(this->pid) + "/comm"), program);
        if (!program.empty() && !program.starts_with("geraniumpulley"))
            return 0;
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
        long total = -1;
        long resident = -1;
        if (!(file >> total >> resident))
            return -1;
        return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE))
               / (1024 * 1024);
    }

    bool isReady() const
    {
        return call(this->readiness, "GET", "/-/readyz", {{"Host", "ready"}}, "", 500).status
               == 200;
    }

    bool waitUntilReady(double timeoutMs) const
    {
        for (const double end = nowMs() + timeoutMs; nowMs() < end; sleepMs(50))
            if (this->isReady())
                return true;
        return false;
    }
};

// A test: its temporary folder, its store and its nodes.
struct Test
{
    std::string folder;
    Store store;
    std::vector<Node> nodes;

    explicit Test(const std::string &recordPath)
    {
        ::signal(SIGPIPE, SIG_IGN);
        recordFile = std::fopen(recordPath.c_str(), "w");
        char pattern[] = "/tmp/review-2-XXXXXX";
        if (recordFile == nullptr || ::mkdtemp(pattern) == nullptr)
            std::exit(2);
        this->folder = pattern;
        record("trouble %s", troubleEnabled() ? "on" : "off");
    }

    // Ends all processes and the test. \param result 1 if the rule was broken, 0 if it held,
    // else 2.
    [[noreturn]] void finish(int result)
    {
        for (Node &node : this->nodes)
            node.killAndWait();
        record("result %d", result);
        if (std::getenv("KEEP") == nullptr)
            static_cast<void>(std::system(("rm -rf " + this->folder).c_str()));
        else
            std::fprintf(stderr, "%s\n", this->folder.c_str());
        std::fflush(nullptr);
        std::_Exit(result);
    }

    // Settings as the template of the deploy file gives them.
    void addNodes(int count)
    {
        std::string seeds;
        for (int i = 0; i < count; ++i) {
            Node node;
            node.name = "front-z-" + std::to_string(i + 1);
            node.callers = freePort();
            node.readiness = freePort();
            node.peers = freePort();
            node.settings = this->folder + "/" + node.name + ".json";
            node.log = this->folder + "/" + node.name + ".log";
            if (i < 3)
                seeds += (i == 0 ? "\"127.0.0.1:" : ",\"127.0.0.1:") + std::to_string(node.peers)
                         + "\"";
            this->nodes.push_back(node);
        }
        for (const Node &node : this->nodes) {
            const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
            std::ofstream(node.settings)
                    << "{\"interface\":\"platform\",\"node\":\"" << node.name
                    << "\",\"data_centre\":\"z\",\"callers\":" << at(node.callers)
                    << ",\"readiness\":" << at(node.readiness) << ",\"peers\":" << at(node.peers)
                    << ",\"metrics\":" << at(freePort()) << ",\"store\":\"" << this->store.address()
                    << "\",\"seeds\":[" << seeds
                    << "],\"core_share\":0.5,\"core_speed\":1,\"stop_limit_ms\":8000,"
                       "\"lease_time_ms\":3000}";
        }
    }

    void startNodes()
    {
        for (Node &node : this->nodes)
            node.start();
        for (const Node &node : this->nodes)
            if (!node.waitUntilReady(10000)) {
                record("%s is not ready", node.name.c_str());
                this->finish(2);
            }
        record("all nodes are ready");
    }
};

// Keeps the entry of a worker in the store up to date, as a live worker does.
inline void beat(Store &store, const std::string &id, std::function<std::string()> entry)
{
    store.put("servers", id, entry());
    std::thread([&store, id, entry] {
        while (true) {
            sleepMs(1200);
            const std::string value = entry();
            if (!value.empty())
                store.put("servers", id, value);
        }
    }).detach();
}

inline std::string plainEntry(const std::string &service, const std::string &address,
                              const std::string &zone = "z")
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
           + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
             "\"sequence\":0}";
}

} // namespace mini
