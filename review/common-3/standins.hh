// Stand-ins for the platform's store, for workers and for clients, and a starter of the daemon, for
// the scripts of the third review. Everything listens on and connects to 127.0.0.1 only.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using Clock = std::chrono::steady_clock;

inline Clock::time_point &startTime()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - startTime()).count();
}

inline void sleepFor(double duration)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(duration));
}

// What was sent, answered and run, one line each.
inline void record(const char *format, ...)
{
    static std::mutex mutex;
    static FILE *file = std::fopen(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt", "w");
    const std::lock_guard lock(mutex);
    std::fprintf(file, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
}

inline int listenOn(std::uint16_t &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(fd, 4096) != 0)
        std::exit(2);
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

// A port that is free now.
inline std::uint16_t freePort()
{
    static std::set<std::uint16_t> used;
    while (true) {
        std::uint16_t port = 0;
        ::close(listenOn(port));
        if (used.insert(port).second)
            return port;
    }
}

inline int connectTo(std::uint16_t port, double timeout = 1.0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        pollfd poller{fd, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof error;
        if (error == 0 && ::poll(&poller, 1, static_cast<int>(timeout * 1000)) != 1)
            error = ETIMEDOUT;
        if (error == 0)
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

// Reads more bytes; returns false at the end, after an error or after the time limit.
inline bool receiveMore(int fd, std::string &bytes, double timeout)
{
    pollfd poller{fd, POLLIN, 0};
    if (::poll(&poller, 1, static_cast<int>(std::max(timeout, 0.0) * 1000)) != 1)
        return false;
    char buffer[65536];
    const ssize_t size = ::recv(fd, buffer, sizeof buffer, 0);
    if (size <= 0)
        return false;
    bytes.append(buffer, static_cast<std::size_t>(size));
    return true;
}

inline bool equalNames(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

struct Message
{
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers)
            if (equalNames(key, name))
                return value;
        return {};
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t start = first.find(' ') + 1;
        return first.substr(start, first.find(' ', start) - start);
    }
    int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
};

// Reads one message with a length or in chunks. `rest` keeps the bytes behind it.
inline bool readMessage(int fd, std::string &rest, Message &message, double timeout)
{
    const double end = seconds() + timeout;
    message = {};
    std::size_t headEnd = 0;
    while ((headEnd = rest.find("\r\n\r\n")) == std::string::npos)
        if (!receiveMore(fd, rest, end - seconds()))
            return false;
    std::size_t position = rest.find("\r\n");
    message.first = rest.substr(0, position);
    while (position < headEnd) {
        const std::size_t start = position + 2;
        position = rest.find("\r\n", start);
        const std::string line = rest.substr(start, position - start);
        const std::size_t colon = line.find(':');
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.headers.push_back({line.substr(0, colon), line.substr(value)});
    }
    rest.erase(0, headEnd + 4);
    if (equalNames(message.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = rest.find("\r\n")) == std::string::npos)
                if (!receiveMore(fd, rest, end - seconds()))
                    return false;
            const std::size_t size = std::stoul(rest.substr(0, lineEnd), nullptr, 16);
            while (rest.size() < lineEnd + 2 + size + 2)
                if (!receiveMore(fd, rest, end - seconds()))
                    return false;
            message.body += rest.substr(lineEnd + 2, size);
            rest.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else {
        const std::string length = message.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (rest.size() < size)
            if (!receiveMore(fd, rest, end - seconds())) {
                message.body = rest;
                return false;
            }
        message.body = rest.substr(0, size);
        rest.erase(0, size);
    }
    message.complete = true;
    return true;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string encodeResponse(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One request on a channel of its own. The status is 0 without a whole answer.
inline Message call(std::uint16_t port, const std::string &method, const std::string &target,
                    const Headers &headers, const std::string &body, double timeout)
{
    Message answer;
    const int fd = connectTo(port);
    if (fd < 0)
        return answer;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    std::string rest;
    if (!sendAll(fd, text) || !readMessage(fd, rest, answer, timeout))
        answer = {};
    ::close(fd);
    return answer;
}

// Serves each connection on a thread of its own.
struct Server
{
    /// Returns false to close the connection. The handler sends the answer itself.
    using Handler = std::function<bool(int fd, const Message &request)>;

    explicit Server(Handler handler, std::uint16_t wantedPort = 0) : handler(std::move(handler))
    {
        port = wantedPort;
        listener = listenOn(port);
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, fd] {
                    std::string rest;
                    Message request;
                    while (readMessage(fd, rest, request, 3600) && this->handler(fd, request)) {
                    }
                    ::close(fd);
                }).detach();
            }
        }).detach();
    }

    Handler handler;
    std::uint16_t port = 0;
    int listener = -1;
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
    }
    return text;
}

inline std::string percentDecode(const std::string &text)
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

inline std::string parameter(const std::string &target, const std::string &name)
{
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        const std::size_t next = target.find('&', start + 1);
        const std::string field = target.substr(start + 1, next - start - 1);
        if (field.rfind(name + "=", 0) == 0)
            return percentDecode(field.substr(name.size() + 1));
        start = next;
    }
    return {};
}

// The platform's store: rows, conditional transactions, range reads and the feed with its wait.
struct Store
{
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::string value; // In base64.
        std::uint64_t version = 0;
        bool removed = false;
    };

    Headers answerHeaders; ///< Added to each answer.
    double readTime = 0; ///< Time that a call takes.
    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::uint64_t version = 0;
    std::unique_ptr<Server> server;

    Store()
    {
        server = std::make_unique<Server>(
                [this](int fd, const Message &request) { return this->serve(fd, request); });
    }

    // A write of the operator or of a worker; returns when the store has accepted it.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex);
        rows[{table, "", key}] = {base64(value), ++version, false};
        changed.notify_all();
    }

    using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

    static void writeRow(Writer &writer, const Key &key, const Row &row)
    {
        writer.StartObject();
        writer.Key("table"), writer.String(std::get<0>(key).c_str());
        writer.Key("part"), writer.String(std::get<1>(key).c_str());
        writer.Key("key"), writer.String(std::get<2>(key).c_str());
        writer.Key("ver"), writer.Uint64(row.version);
        if (row.removed)
            writer.Key("tombstone"), writer.Bool(true);
        else
            writer.Key("value"), writer.String(row.value.c_str());
        writer.EndObject();
    }

    std::string encode(const std::vector<std::pair<Key, Row>> &found, bool truncated)
    {
        rapidjson::StringBuffer buffer;
        Writer writer(buffer);
        writer.StartObject();
        writer.Key("rows");
        writer.StartArray();
        for (const auto &[key, row] : found)
            writeRow(writer, key, row);
        writer.EndArray();
        writer.Key("ver"), writer.Uint64(version);
        writer.Key("now_ms"), writer.Double(100000 + seconds() * 1000);
        writer.Key("truncated"), writer.Bool(truncated);
        writer.EndObject();
        return buffer.GetString();
    }

    std::string transact(const std::string &body, int &status)
    {
        rapidjson::Document call;
        call.Parse(body.c_str());
        if (call.HasParseError()) {
            status = 400;
            return "{}";
        }
        const auto keyOf = [](const rapidjson::Value &row) {
            return Key{row["table"].GetString(), row["part"].GetString(), row["key"].GetString()};
        };
        const std::lock_guard lock(mutex);
        std::vector<std::pair<Key, Row>> found;
        bool holds = true;
        for (const auto &condition : call["expected"].GetArray()) {
            const auto position = rows.find(keyOf(condition));
            const bool exists = position != rows.end() && !position->second.removed;
            holds = holds
                    && (exists ? position->second.version : 0) == condition["ver"].GetUint64();
            if (exists)
                found.emplace_back(position->first, position->second);
        }
        if (!holds) {
            status = 412;
            return encode(found, false);
        }
        ++version;
        for (const auto &write : call["writes"].GetArray())
            rows[keyOf(write)] = {write["value"].GetString(), version, false};
        for (const auto &row : call["remove"].GetArray())
            rows[keyOf(row)] = {"", version, true};
        changed.notify_all();
        status = 200;
        return encode({}, false);
    }

    std::string read(const std::string &target)
    {
        const std::string table = parameter(target, "table"), part = parameter(target, "part"),
                          from = parameter(target, "from"), to = parameter(target, "to"),
                          limitText = parameter(target, "limit");
        const std::size_t limit =
                std::min<std::size_t>(500, limitText.empty() ? 500 : std::stoul(limitText));
        const std::lock_guard lock(mutex);
        std::vector<std::pair<Key, Row>> found;
        bool truncated = false;
        std::size_t bytes = 0;
        for (auto position = rows.lower_bound({table, part, from});
             position != rows.end() && std::get<0>(position->first) == table
             && std::get<1>(position->first) == part;
             ++position) {
            if (!to.empty() && std::get<2>(position->first) >= to)
                break;
            if (position->second.removed)
                continue;
            bytes += position->second.value.size();
            if (found.size() >= limit || (bytes > 900000 && !found.empty())) {
                truncated = true;
                break;
            }
            found.emplace_back(position->first, position->second);
        }
        return encode(found, truncated);
    }

    std::string follow(const std::string &target)
    {
        const std::string table = parameter(target, "table");
        const std::uint64_t after = std::stoull(parameter(target, "after"));
        const auto wait = std::chrono::milliseconds(std::stoul(parameter(target, "wait_ms")));
        std::unique_lock lock(mutex);
        std::vector<std::pair<Key, Row>> found;
        const auto end = Clock::now() + wait;
        while (true) {
            for (auto position = rows.lower_bound({table, "", ""});
                 position != rows.end() && std::get<0>(position->first) == table; ++position)
                if (position->second.version > after)
                    found.emplace_back(position->first, position->second);
            if (!found.empty() || changed.wait_until(lock, end) == std::cv_status::timeout)
                break;
        }
        return encode(found, false);
    }

    bool serve(int fd, const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        int status = 200;
        std::string body = "{}";
        if (readTime > 0)
            sleepFor(readTime);
        if (path == "/-/rows-tx")
            body = transact(request.body, status);
        else if (path == "/-/rows-get")
            body = read(target);
        else if (path == "/-/rows-feed")
            body = follow(target);
        else
            status = 404;
        Headers headers = answerHeaders;
        headers.push_back({"Content-Type", "application/json"});
        return sendAll(fd, encodeResponse(status, headers, body));
    }
};

// A node of the project as a process of its own.
struct Node
{
    std::string name;
    std::uint16_t front = 0, ready = 0, control = 0, metrics = 0;
    std::string settings;
    pid_t pid = -1;
    /// Whether the process stays on one core, like those of the platform (DEPLOY.md, "How these
    /// days are played").
    bool oneCore = false;

    static void stayOnOneCore()
    {
        cpu_set_t allowed;
        if (::sched_getaffinity(0, sizeof allowed, &allowed) != 0)
            return;
        int last = -1;
        for (int cpu = 0; cpu < CPU_SETSIZE; ++cpu)
            last = CPU_ISSET(cpu, &allowed) ? cpu : last;
        CPU_ZERO(&allowed);
        CPU_SET(last, &allowed);
        ::sched_setaffinity(0, sizeof allowed, &allowed);
    }

    void start()
    {
        const char *program = std::getenv("DAEMON");
        const std::string log = settings + ".log";
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the script, however that ends.
            if (oneCore)
                stayOnOneCore();
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(program, program, "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        record("start of %s", name.c_str());
    }

    void signal(int number)
    {
        record("signal %d to %s", number, name.c_str());
        ::kill(pid, number);
    }

    bool isReady() const
    {
        return call(ready, "GET", "/-/readyz", {{"Host", "x"}}, "", 1).status() == 200;
    }

    // Whether the process has ended by itself.
    bool hasEnded()
    {
        if (pid < 0)
            return true;
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) != pid)
            return false;
        record("%s has ended with status %d", name.c_str(), status);
        pid = -1;
        return true;
    }

    void stop()
    {
        if (pid < 0)
            return;
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        pid = -1;
    }
};

// Writes settings like those that the template of the deploy file gives on a small deployment.
inline Node makeNode(const std::string &name, std::uint16_t store,
                     const std::vector<std::uint16_t> &seeds = {}, std::uint16_t control = 0,
                     const std::string &extra = "")
{
    Node node;
    node.name = name;
    node.front = freePort();
    node.ready = freePort();
    node.control = control != 0 ? control : freePort();
    node.metrics = freePort();
    node.settings = std::string(std::getenv("WORK")) + "/" + name + ".json";
    const auto at = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::string seedList;
    for (const std::uint16_t seed : seeds)
        seedList += (seedList.empty() ? "" : ",") + at(seed);
    std::ofstream(node.settings)
            << "{\"interface\": \"platform\", \"node\": \"" << name
            << "\", \"data_centre\": \"zone-a\", \"callers\": " << at(node.front)
            << ", \"readiness\": " << at(node.ready) << ", \"peers\": " << at(node.control)
            << ", \"metrics\": " << at(node.metrics) << ", \"store\": " << at(store)
            << ", \"seeds\": [" << seedList
            << "], \"core_share\": 0.5, \"core_speed\": 1, \"stop_limit_ms\": 8000, "
               "\"lease_time_ms\": 3000"
            << extra << "}\n";
    return node;
}

inline bool waitUntil(double timeout, const std::function<bool()> &condition)
{
    const double end = seconds() + timeout;
    while (seconds() < end) {
        if (condition())
            return true;
        sleepFor(0.05);
    }
    return condition();
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}
