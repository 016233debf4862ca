#include "harness.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <tuple>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr std::size_t maxCallBytes = 1024 * 1024;
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxRowBytes = 65536;
constexpr std::size_t maxRowsPerRead = 500;

using Json = rapidjson::Document;

std::string serialize(const rapidjson::Value &value)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return buffer.GetString();
}

std::string unescape(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

sockaddr_in toSocketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

int listenOnFreePort(int &port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = toSocketAddress("127.0.0.1:0");
    socklen_t length = sizeof(address);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), length) != 0
        || listen(descriptor, 1024) != 0)
        throw std::runtime_error("cannot listen");
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return descriptor;
}

// Reads the body that the headers announce; no value if the channel ends before its end.
std::optional<std::string> readBody(Connection &connection, const Headers &headers)
{
    const auto encoding = headers.find("Transfer-Encoding");
    if (encoding != headers.end() && encoding->second == "chunked") {
        std::string body;
        while (true) {
            const auto line = connection.readLine();
            if (!line)
                return std::nullopt;
            const std::size_t size = std::stoul(*line, nullptr, 16);
            const auto chunk = connection.readBytes(size);
            if (!chunk || !connection.readLine())
                return std::nullopt;
            if (size == 0)
                return body;
            body += *chunk;
        }
    }
    const auto length = headers.find("Content-Length");
    if (length == headers.end())
        return std::string();
    return connection.readBytes(std::stoul(length->second));
}

bool readHeaders(Connection &connection, Headers &headers)
{
    while (true) {
        const auto line = connection.readLine();
        if (!line)
            return false;
        if (line->empty())
            return true;
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos)
            return false;
        std::size_t start = colon + 1;
        while (start < line->size() && (*line)[start] == ' ')
            ++start;
        headers[line->substr(0, colon)] = line->substr(start);
    }
}

std::string valueOf(const Headers &headers, const std::string &name)
{
    const auto position = headers.find(name);
    return position == headers.end() ? std::string() : position->second;
}

} // namespace

bool HeaderLess::operator()(const std::string &a, const std::string &b) const
{
    return strcasecmp(a.c_str(), b.c_str()) < 0;
}

std::string toBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U
                    | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    static const auto table = [] {
        std::array<int, 256> values{};
        values.fill(-1);
        const std::string digits =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        for (std::size_t i = 0; i < digits.size(); ++i)
            values[static_cast<unsigned char>(digits[i])] = static_cast<int>(i);
        return values;
    }();
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char character : text) {
        const int value = table[static_cast<unsigned char>(character)];
        if (value < 0)
            continue;
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

std::string quote(const std::string &text)
{
    rapidjson::Value value;
    value.SetString(text.c_str(), static_cast<rapidjson::SizeType>(text.size()));
    return serialize(value);
}

Record::Record(const std::string &path) : file(path) { }

std::int64_t Record::elapsedMs() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - this->startedAt).count();
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    this->file << this->elapsedMs() << " " << line << std::endl;
}

Connection::~Connection()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
}

std::unique_ptr<Connection> Connection::open(const std::string &address, Milliseconds timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    const sockaddr_in target = toSocketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        pollfd entry{descriptor, POLLOUT, 0};
        int error = errno;
        socklen_t length = sizeof(error);
        if (error != EINPROGRESS || poll(&entry, 1, static_cast<int>(timeout.count())) != 1
            || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
            return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return connection;
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
                ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill()
{
    std::array<char, 65536> bytes{};
    const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    while (true) {
        const std::size_t end = this->buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 2);
            return line;
        }
        if (!this->fill())
            return std::nullopt;
    }
}

std::optional<std::string> Connection::readBytes(std::size_t count)
{
    while (this->buffer.size() < count) {
        if (!this->fill())
            return std::nullopt;
    }
    std::string bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return bytes;
}

std::string Connection::readRest()
{
    while (this->fill()) { }
    return std::exchange(this->buffer, {});
}

void Connection::setReadTimeout(Milliseconds timeout) const
{
    timeval value{};
    value.tv_sec = timeout.count() / 1000;
    value.tv_usec = timeout.count() % 1000 * 1000;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t count = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::abort()
{
    const linger reset{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(std::exchange(this->descriptor, -1));
}

std::string Request::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

std::string Request::parameter(const std::string &name) const
{
    std::size_t start = this->target.find('?');
    while (start != std::string::npos) {
        const std::size_t end = this->target.find('&', start + 1);
        const std::string field =
                this->target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (field.starts_with(name + "="))
            return unescape(field.substr(name.size() + 1));
        start = end;
    }
    return {};
}

std::string makeResponse(int status, const std::string &body, const Headers &headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(Handler handler) : handler(std::move(handler))
{
    this->listener = listenOnFreePort(this->port);
    this->acceptor = std::thread([this] {
        while (!this->stopping) {
            const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int enabled = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            std::thread([this, descriptor] {
                this->serve(std::make_unique<Connection>(descriptor));
            }).detach();
        }
    });
}

Server::~Server()
{
    this->stopping = true;
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
}

void Server::serve(std::unique_ptr<Connection> connection)
{
    while (!this->stopping) {
        const auto line = connection->readLine();
        if (!line)
            return;
        Request request;
        const std::size_t first = line->find(' ');
        const std::size_t second = line->rfind(' ');
        request.method = line->substr(0, first);
        request.target = line->substr(first + 1, second - first - 1);
        if (!readHeaders(*connection, request.headers))
            return;
        auto body = readBody(*connection, request.headers);
        if (!body)
            return;
        request.body = std::move(*body);
        if (!this->handler(request, *connection)
            || valueOf(request.headers, "Connection") == "close")
            return;
    }
}

Store::Store(Record &record) : record(record)
{
    this->server = std::make_unique<Server>([this](const Request &request, Connection &connection) {
        return this->handle(request, connection);
    });
}

void Store::put(const std::string &name, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->table[{name, "", key}] = {toBase64(value), ++this->version, false};
    this->changed.notify_all();
}

void Store::remove(const std::string &name, const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->table[{name, "", key}] = {"", ++this->version, true};
    this->changed.notify_all();
}

std::map<std::string, std::string> Store::rows(const std::string &name, const std::string &part)
{
    const std::lock_guard lock(this->mutex);
    std::map<std::string, std::string> found;
    for (const auto &[key, row] : this->table) {
        if (std::get<0>(key) == name && std::get<1>(key) == part && !row.removed)
            found[std::get<2>(key)] = fromBase64(row.value);
    }
    return found;
}

bool Store::handle(const Request &request, Connection &connection)
{
    std::this_thread::sleep_for(Milliseconds(this->latencyMs));
    if (this->mode == StoreMode::Busy)
        return connection.send(makeResponse(503, "{}"));
    std::string answer;
    if (request.path() == "/-/rows-tx")
        answer = this->transact(request);
    else if (request.path() == "/-/rows-get")
        answer = this->readRange(request);
    else if (request.path() == "/-/rows-feed")
        answer = this->readChanges(request);
    else
        answer = makeResponse(404, "{}");
    return connection.send(answer);
}

std::string Store::encode(const std::vector<std::pair<Key, Row>> &found, bool truncated) const
{
    std::string text = "{\"rows\":[";
    for (const auto &[key, row] : found) {
        if (text.back() == '}')
            text += ',';
        text += "{\"table\":" + quote(std::get<0>(key)) + ",\"part\":" + quote(std::get<1>(key))
                + ",\"key\":" + quote(std::get<2>(key)) + ",\"ver\":" + std::to_string(row.version);
        text += row.removed ? ",\"tombstone\":true}" : ",\"value\":\"" + row.value + "\"}";
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->startedAt);
    return text + "],\"truncated\":" + (truncated ? "true" : "false")
           + ",\"ver\":" + std::to_string(this->version)
           + ",\"now_ms\":" + std::to_string(age.count() + 1000) + "}";
}

std::string Store::transact(const Request &request)
{
    Json call;
    call.Parse(request.body.c_str(), request.body.size());
    if (call.HasParseError())
        return makeResponse(400, "{}");
    const auto keyOf = [](const rapidjson::Value &row) {
        return Key{row["table"].GetString(), row["part"].GetString(), row["key"].GetString()};
    };
    const std::size_t entries =
            call["expected"].Size() + call["writes"].Size() + call["remove"].Size();
    if (request.body.size() > maxCallBytes || entries > maxEntries) {
        ++this->oversized;
        this->record.write("store refuses a call of " + std::to_string(request.body.size())
                           + " bytes with " + std::to_string(entries) + " entries");
        return makeResponse(413, "{}");
    }
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<Key, Row>> current;
    bool holds = true;
    for (const auto &row : call["expected"].GetArray()) {
        const auto position = this->table.find(keyOf(row));
        const bool exists = position != this->table.end() && !position->second.removed;
        holds = holds && (exists ? position->second.version : 0) == row["ver"].GetUint64();
        if (exists)
            current.emplace_back(position->first, position->second);
    }
    if (!holds)
        return makeResponse(412, this->encode(current, false));
    for (const auto &row : call["writes"].GetArray()) {
        if (fromBase64(row["value"].GetString()).size() > maxRowBytes)
            return makeResponse(400, "{}");
    }
    ++this->version;
    for (const auto &row : call["writes"].GetArray())
        this->table[keyOf(row)] = {row["value"].GetString(), this->version, false};
    for (const auto &row : call["remove"].GetArray())
        this->table[keyOf(row)] = {"", this->version, true};
    this->changed.notify_all();
    return makeResponse(200, this->encode({}, false));
}

std::string Store::readRange(const Request &request)
{
    const std::string name = request.parameter("table");
    const std::string part = request.parameter("part");
    const std::string from = request.parameter("from");
    const std::string to = request.parameter("to");
    const std::string limit = request.parameter("limit");
    const std::size_t most =
            limit.empty() ? maxRowsPerRead : std::min(maxRowsPerRead, std::stoul(limit));
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<Key, Row>> found;
    std::size_t bytes = 0;
    bool truncated = false;
    for (auto position = this->table.lower_bound({name, part, from}); position != this->table.end();
         ++position) {
        const auto &[rowTable, rowPart, rowKey] = position->first;
        if (rowTable != name || rowPart != part || (!to.empty() && rowKey >= to))
            break;
        if (position->second.removed)
            continue;
        bytes += position->second.value.size();
        if (found.size() >= most || (bytes > maxCallBytes && !found.empty())) {
            truncated = true;
            break;
        }
        found.emplace_back(position->first, position->second);
    }
    return makeResponse(200, this->encode(found, truncated));
}

std::string Store::readChanges(const Request &request)
{
    const std::string name = request.parameter("table");
    const std::uint64_t after = std::stoull(request.parameter("after"));
    const Time until = Clock::now() + Milliseconds(std::stoull(request.parameter("wait_ms")));
    std::unique_lock lock(this->mutex);
    while (true) {
        std::vector<std::pair<Key, Row>> found;
        for (auto position = this->table.lower_bound({name, "", ""});
             position != this->table.end() && std::get<0>(position->first) == name; ++position) {
            if (position->second.version > after)
                found.emplace_back(position->first, position->second);
        }
        std::sort(found.begin(), found.end(),
                  [](const auto &a, const auto &b) { return a.second.version < b.second.version; });
        if (!found.empty() || Clock::now() >= until)
            return makeResponse(200, this->encode(found, false));
        this->changed.wait_until(lock, until);
    }
}

Worker::Worker(Store &store, Record &record, std::string id, std::string service, std::string model)
    : store(store), record(record), name(std::move(id)), service(std::move(service)),
      model(std::move(model))
{
    this->bornAt = std::chrono::duration_cast<Milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
    this->server = std::make_unique<Server>([this](const Request &request, Connection &connection) {
        return this->handle(request, connection);
    });
    this->store.put("servers", this->name, this->entry());
    this->heartbeat = std::thread([this] {
        int count = 0;
        while (!this->stopping) {
            std::this_thread::sleep_for(Milliseconds(100));
            if (++count % 12 == 0 && !this->stopping)
                this->store.put("servers", this->name, this->entry());
        }
    });
}

Worker::~Worker()
{
    this->stopping = true;
    this->heartbeat.join();
}

std::string Worker::entry() const
{
    std::string text =
            "{\"service\":" + quote(this->service) + ",\"address\":" + quote(this->address())
            + ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
              "\"cold_left_ms\":0,\"born\":"
            + std::to_string(this->bornAt) + ",\"sequence\":" + std::to_string(this->sequence);
    if (!this->model.empty())
        text += ",\"stage\":\"mixed\",\"models\":[{\"name\":" + quote(this->model)
                + ",\"version\":" + std::to_string(this->version) + ",\"adapters\":[]}]";
    return text + "}";
}

std::set<std::string> Worker::finishedIds()
{
    const std::lock_guard lock(this->mutex);
    return this->finished;
}

std::set<std::string> Worker::startedIds()
{
    const std::lock_guard lock(this->mutex);
    return this->started;
}

bool Worker::handle(const Request &request, Connection &connection)
{
    const std::string expected = valueOf(request.headers, "X-Expect-Instance");
    if (!expected.empty() && expected != this->name)
        return connection.send(makeResponse(421, "", {{"X-Instance-Id", this->name}}));
    if (request.path() == "/healthz")
        return connection.send(makeResponse(200, "", {{"X-Instance-Id", this->name}}));
    if (request.path() == "/-/report") {
        const std::string body =
                "{\"stage\":\"mixed\",\"models\":[{\"name\":" + quote(this->model)
                + ",\"version\":" + std::to_string(this->version)
                + ",\"adapters\":[]}],\"busy\":false,\"sequence\":" + std::to_string(this->sequence)
                + ",\"waiting\":0,\"running\":" + std::to_string(this->active)
                + ",\"kv_used\":0,\"kv_total\":100000,\"handles\":0}";
        return connection.send(makeResponse(200, body));
    }
    if (request.path() == "/-/order") {
        Json order;
        order.Parse(request.body.c_str());
        if (order["fence"].GetUint64() < this->highestFence)
            return connection.send(makeResponse(412, "{}"));
        this->highestFence = order["fence"].GetUint64();
        if (order["expected"].GetInt() != this->sequence)
            return connection.send(makeResponse(409, "{}"));
        ++this->sequence;
        this->version = order["version"].GetInt();
        this->store.put("servers", this->name, this->entry());
        return connection.send(makeResponse(202, "{}"));
    }
    Headers headers{{"X-Attempt-Id", valueOf(request.headers, "X-Attempt-Id")}};
    if (this->active >= 8) {
        headers["X-Not-Executed"] = "1";
        return connection.send(makeResponse(503, "", headers));
    }
    ++this->active;
    headers["X-Server-Stamp"] = "stamp-" + headers["X-Attempt-Id"];
    this->record.write("worker " + this->name + " runs " + headers["X-Attempt-Id"] + " after "
                       + valueOf(request.headers, "Last-Event-Id") + " limit "
                       + valueOf(request.headers, "X-Deadline-Ms"));
    {
        const std::lock_guard lock(this->mutex);
        this->started.insert(headers["X-Attempt-Id"]);
    }
    this->onRun(request);
    const bool keeps = this->model.empty() ? this->runPlain(request, connection, headers)
                                           : this->runItem(request, connection, headers);
    --this->active;
    return keeps;
}

bool Worker::runPlain(const Request &request, Connection &connection, Headers headers)
{
    const Time until = Clock::now() + this->work(request);
    while (Clock::now() < until) {
        std::this_thread::sleep_for(Milliseconds(2));
        if (connection.isClosedByPeer())
            return false;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->finished.insert(headers["X-Attempt-Id"]);
    }
    headers["X-Instance-Load"] = std::to_string(this->active - 1) + ",0,6";
    return connection.send(makeResponse(200, "answer to " + headers["X-Attempt-Id"], headers));
}

bool Worker::runItem(const Request &request, Connection &connection, Headers headers)
{
    const RunPlan run = this->plan(request);
    const std::string item = headers["X-Attempt-Id"];
    if (run.status != 200) {
        std::this_thread::sleep_for(run.firstAfter);
        return connection.send(makeResponse(run.status, "{}", headers));
    }
    const std::string limit = valueOf(request.headers, "X-Deadline-Ms");
    const Time stopAt = Clock::now() + Milliseconds(limit.empty() ? 60000 : std::stoll(limit));
    headers["X-Weight-Versions"] = std::to_string(this->version);
    headers["Content-Type"] = "text/event-stream";
    headers["Transfer-Encoding"] = "chunked";
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto &[name, value] : headers)
        head += name + ": " + value + "\r\n";
    if (!connection.send(head + "\r\n"))
        return false;
    const std::string last = valueOf(request.headers, "Last-Event-Id");
    const std::uint64_t first = last.empty() ? 1 : std::stoull(last) + 1;
    std::this_thread::sleep_for(run.firstAfter);
    for (std::uint64_t number = first; number <= run.events; ++number) {
        if (connection.isClosedByPeer())
            return false;
        if (Clock::now() >= stopAt) {
            connection.abort();
            return false;
        }
        const std::string event = "id: " + std::to_string(number)
                                  + "\ndata: " + eventText(item, number, run.eventBytes) + "\n\n";
        std::array<char, 16> size{};
        snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        if (!connection.send(size.data() + event + "\r\n"))
            return false;
        std::this_thread::sleep_for(run.pause);
    }
    if (!connection.send("0\r\n\r\n"))
        return false;
    const std::lock_guard lock(this->mutex);
    this->finished.insert(item);
    return true;
}

std::string eventText(const std::string &item, std::uint64_t number, std::size_t bytes)
{
    std::string text = item + ":" + std::to_string(number) + ":";
    while (text.size() < bytes)
        text += static_cast<char>('a' + (text.size() * 7 + number) % 26);
    return text;
}

Response exchange(Connection &connection, const std::string &method, const std::string &target,
                  const Headers &headers, const std::string &body, Milliseconds timeout)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    Response response;
    connection.setReadTimeout(timeout);
    response.wasSent = connection.send(text + "\r\n" + body);
    const auto line = response.wasSent ? connection.readLine() : std::nullopt;
    if (!line || line->size() < 12 || !readHeaders(connection, response.headers))
        return response;
    auto received = readBody(connection, response.headers);
    if (!received)
        return response;
    response.status = std::stoi(line->substr(9, 3));
    response.body = std::move(*received);
    response.keepsChannel =
            strcasecmp(valueOf(response.headers, "Connection").c_str(), "close") != 0;
    return response;
}

Response call(const std::string &address, const std::string &method, const std::string &target,
              const Headers &headers, const std::string &body, Milliseconds timeout)
{
    const auto connection = Connection::open(address, Milliseconds(1000));
    if (!connection)
        return {};
    Headers all = headers;
    all.emplace("Host", host);
    return exchange(*connection, method, target, all, body, timeout);
}

Node::Node(Record &record, std::string directory, std::string name, const std::string &store,
           const std::vector<std::string> &seeds, const std::string &graceSeconds)
    : record(record), nodeName(std::move(name)), callersAddress(freeAddress()),
      readinessAddress(freeAddress()), peersAddress(freeAddress()),
      settingsPath(directory + "/" + nodeName + ".json"),
      logPath(directory + "/" + nodeName + ".log")
{
    std::string seedList;
    for (const std::string &seed : seeds)
        seedList += (seedList.empty() ? "" : ",") + quote(seed);
    const std::string metrics = freeAddress();
    const std::map<std::string, std::string> fields{
            {"node|json", quote(this->nodeName)},
            {"zone|json", quote("zone-a")},
            {"listen.front|json", quote(this->callersAddress)},
            {"listen.ready|json", quote(this->readinessAddress)},
            {"listen.control|json", quote(this->peersAddress)},
            {"ip", "127.0.0.1"},
            {"internal_ports.0", metrics.substr(metrics.find(':') + 1)},
            {"provider.address|json", quote(store)},
            {"seeds|json", "[" + seedList + "]"},
            {"limits.cpu_share", "0.5"},
            {"limits.cores", "1"},
            {"bounds.grace_s", graceSeconds},
            {"bounds.lease_ms", "3000"}};
    std::ifstream file("deploy/settings.json.in");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    for (std::size_t start = text.find("{{"); start != std::string::npos; start = text.find("{{")) {
        const std::size_t end = text.find("}}", start);
        text.replace(start, end + 2 - start, fields.at(text.substr(start + 2, end - start - 2)));
    }
    std::ofstream(this->settingsPath) << text;
}

Node::~Node()
{
    if (this->process > 0 && !this->hasEnded()) {
        kill(this->process, SIGCONT);
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
    }
}

void Node::start()
{
    const char *program = std::getenv("DAEMON");
    const std::string path = program == nullptr ? "target/packages/node/geraniumpulleyd" : program;
    this->record.write("start node " + this->nodeName);
    this->process = fork();
    if (this->process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("GERANIUMPULLEY_BOOT", this->settingsPath.c_str(), 1);
        execl(path.c_str(), path.c_str(), "--settings", this->settingsPath.c_str(), nullptr);
        _exit(127);
    }
}

void Node::signal(int number)
{
    this->record.write("signal " + std::to_string(number) + " to node " + this->nodeName);
    if (this->process > 0)
        kill(this->process, number);
}

bool Node::hasEnded()
{
    if (this->process <= 0)
        return true;
    int status = 0;
    if (waitpid(this->process, &status, WNOHANG) != this->process)
        return false;
    this->record.write("node " + this->nodeName + " ended with status " + std::to_string(status));
    this->process = -1;
    return true;
}

bool Node::waitForEnd(Milliseconds timeout)
{
    return waitFor(timeout, [this] { return this->hasEnded(); });
}

bool Node::isReady() const
{
    return call(this->readinessAddress, "GET", "/-/readyz", {}, "", Milliseconds(500)).status
           == 200;
}

std::string freeAddress()
{
    int port = 0;
    close(listenOnFreePort(port));
    return "127.0.0.1:" + std::to_string(port);
}

std::string makeFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    return pattern;
}

void removeFolder(const std::string &path)
{
    std::filesystem::remove_all(path);
}

bool waitFor(Milliseconds timeout, const std::function<bool()> &condition)
{
    const Time until = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= until)
            return false;
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return true;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string makeBatch(const std::string &model, const std::vector<Item> &items, int minVersion)
{
    std::string text = "{\"step\":1,\"model\":" + quote(model) + ",\"min_version\":"
                       + std::to_string(minVersion) + ",\"desired\":1,\"requests\":[";
    for (const Item &item : items) {
        if (text.back() == '}')
            text += ',';
        text += "{\"id\":" + quote(item.id) + ",\"path\":\"/samples/run\",\"headers\":{\"X-Model\":"
                + quote(model) + ",\"X-Token-Counts\":\"16," + std::to_string(item.tokens)
                + "\"},\"body\":\"" + toBase64(item.body) + "\",\"tokens\":"
                + std::to_string(item.tokens + 16) + ",\"group\":" + quote(item.group);
        if (!item.scorerId.empty())
            text += ",\"scorer\":{\"id\":" + quote(item.scorerId) + ",\"host\":" + quote(host)
                    + ",\"path\":\"/lookup/score\",\"body\":\"eA==\"}";
        text += "}";
    }
    return text + "]}";
}

std::string makeConfig(int version, double maxWaitSeconds, bool isSingleVersion)
{
    return "{\"version\":" + std::to_string(version)
           + ",\"routes\":["
             "{\"name\":\"lookup\",\"host\":\"site.example\",\"path_prefix\":\"/lookup/\","
             "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":150,\"priority\":2,"
             "\"service\":\"app\",\"max_attempts\":4},"
             "{\"name\":\"book\",\"host\":\"site.example\",\"path_prefix\":\"/book/\","
             "\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":150,\"priority\":2,"
             "\"service\":\"app\",\"max_attempts\":2},"
             "{\"name\":\"chat\",\"host\":\"site.example\",\"path_prefix\":\"/chat/\","
             "\"kind\":\"stream\",\"timeout_ms\":20000,\"target_latency_ms\":400,\"priority\":1,"
             "\"service\":\"lm\",\"max_attempts\":2},"
             "{\"name\":\"samples\",\"host\":\"site.example\",\"path_prefix\":\"/samples/\","
             "\"kind\":\"rollout\",\"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":1,"
             "\"service\":\"lm\",\"max_attempts\":3,\"due_ms\":7500,\"max_wait_s\":"
           + std::to_string(maxWaitSeconds) + (isSingleVersion ? ",\"single_version\":true" : "")
           + "}],\"services\":["
             "{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":96},"
             "{\"name\":\"lm\",\"health_path\":\"/healthz\",\"max_conns\":130,"
             "\"engine\":{\"slots\":8,\"kv_capacity_tokens\":107043,\"models\":[{\"name\":\"m\"}]}}"
             "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

} // namespace review
