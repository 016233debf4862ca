#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins and tools for the cases of this review: the platform's store, workers, clients, and
/// the project's daemon as separate processes. Everything runs on 127.0.0.1 and the real clock.
namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Case-insensitive header map; the last header of a name counts.
struct HeaderLess
{
    bool operator()(const std::string &a, const std::string &b) const;
};
using Headers = std::map<std::string, std::string, HeaderLess>;

std::string toBase64(const std::string &bytes);
std::string fromBase64(const std::string &text);
std::string quote(const std::string &text); ///< As a JSON string.

/// Writes lines with the time since the start to `record.txt`.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);
    std::int64_t elapsedMs() const;

private:
    std::mutex mutex;
    std::ofstream file;
    Time startedAt = Clock::now();
};

/// A TCP socket with a read buffer.
class Connection
{
public:
    explicit Connection(int descriptor) : descriptor(descriptor) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &address, Milliseconds timeout);
    bool send(const std::string &bytes) const;
    std::optional<std::string> readLine();
    std::optional<std::string> readBytes(std::size_t count);
    std::string readRest();
    void setReadTimeout(Milliseconds timeout) const;
    bool isClosedByPeer() const;
    void abort(); ///< Closes with a reset.

private:
    bool fill();

    int descriptor = -1;
    std::string buffer;
};

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string path() const;
    std::string parameter(const std::string &name) const;
};

/// \return the answer as bytes.
std::string makeResponse(int status, const std::string &body, const Headers &headers = {});

/// Serves requests on a free port with a thread for each connection.
class Server
{
public:
    /// Writes the answer. \return whether the connection stays open.
    using Handler = std::function<bool(const Request &, Connection &)>;

    explicit Server(Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

private:
    void serve(std::unique_ptr<Connection> connection);

    Handler handler;
    int listener = -1;
    int port = 0;
    std::atomic<bool> stopping = false;
    std::thread acceptor;
};

/// How the store answers.
enum class StoreMode { Sound, Busy };

/// The platform's metadata store. It refuses calls over the limits of the pages: 1 MB, 100 entries
/// and 64 KiB a row.
class Store
{
public:
    explicit Store(Record &record);

    std::string address() const { return this->server->address(); }
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    void setMode(StoreMode mode) { this->mode = mode; }
    void setLatency(Milliseconds latency) { this->latencyMs = latency.count(); }
    /// \return the values of the rows of a table and part, by key.
    std::map<std::string, std::string> rows(const std::string &table, const std::string &part);
    /// Called for each call over the limits, with its size and number of entries.
    std::atomic<int> oversized = 0;

private:
    struct Row
    {
        std::string value; // In base64.
        std::uint64_t version = 0;
        bool removed = false;
    };
    using Key = std::tuple<std::string, std::string, std::string>;

    bool handle(const Request &request, Connection &connection);
    std::string transact(const Request &request);
    std::string readRange(const Request &request);
    std::string readChanges(const Request &request);
    std::string encode(const std::vector<std::pair<Key, Row>> &found, bool truncated) const;

    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> table;
    std::uint64_t version = 0;
    Time startedAt = Clock::now();
    std::atomic<StoreMode> mode = StoreMode::Sound;
    std::atomic<std::int64_t> latencyMs = 4;
    std::unique_ptr<Server> server;
};

/// How a model worker runs an item.
struct RunPlan
{
    std::uint64_t events = 10;
    std::size_t eventBytes = 200;
    Milliseconds firstAfter{20};
    Milliseconds pause{20};
    int status = 200;
};

/// A worker: a model engine or a plain service. It registers itself in the store and writes there
/// each 1.2 s.
class Worker
{
public:
    Worker(Store &store, Record &record, std::string id, std::string service, std::string model);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Decides how an item runs; used by engines.
    std::function<RunPlan(const Request &)> plan = [](const Request &) { return RunPlan{}; };
    /// How long a plain request takes.
    std::function<Milliseconds(const Request &)> work = [](const Request &) {
        return Milliseconds(25);
    };
    /// Called when a request begins to run, before it is answered.
    std::function<void(const Request &)> onRun = [](const Request &) {};

    std::string address() const { return this->server->address(); }
    std::string id() const { return this->name; }
    int running() const { return this->active; }
    std::set<std::string> finishedIds();
    std::set<std::string> startedIds();

private:
    bool handle(const Request &request, Connection &connection);
    bool runItem(const Request &request, Connection &connection, Headers headers);
    bool runPlain(const Request &request, Connection &connection, Headers headers);
    std::string entry() const;

    Store &store;
    Record &record;
    std::string name;
    std::string service;
    std::string model;
    std::int64_t bornAt = 0;
    std::atomic<int> version = 1;
    std::atomic<int> sequence = 0;
    std::atomic<std::uint64_t> highestFence = 0;
    std::atomic<int> active = 0;
    std::mutex mutex;
    std::set<std::string> finished;
    std::set<std::string> started;
    std::atomic<bool> stopping = false;
    std::unique_ptr<Server> server;
    std::thread heartbeat;
};

/// \return the text of an event: fixed by the item, the number and the length.
std::string eventText(const std::string &item, std::uint64_t number, std::size_t bytes);

struct Response
{
    int status = 0; ///< 0 if the channel ended without a complete answer.
    Headers headers;
    std::string body;
    bool wasSent = false;
    bool keepsChannel = false;
};

/// Sends a request on a channel that is open already.
Response exchange(Connection &connection, const std::string &method, const std::string &target,
                  const Headers &headers, const std::string &body, Milliseconds timeout);
/// Sends a request on a new channel.
Response call(const std::string &address, const std::string &method, const std::string &target,
              const Headers &headers, const std::string &body, Milliseconds timeout);

/// One process of the daemon. Its settings are the deploy file's template, filled in as the
/// platform does.
class Node
{
public:
    Node(Record &record, std::string directory, std::string name, const std::string &store,
         const std::vector<std::string> &seeds, const std::string &graceSeconds = "8");
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void signal(int number);
    /// \return whether the process has ended.
    bool hasEnded();
    bool waitForEnd(Milliseconds timeout);
    bool isReady() const;

    std::string name() const { return this->nodeName; }
    std::string callers() const { return this->callersAddress; }
    std::string peers() const { return this->peersAddress; }
    std::string log() const { return this->logPath; }

private:
    Record &record;
    std::string nodeName;
    std::string callersAddress;
    std::string readinessAddress;
    std::string peersAddress;
    std::string settingsPath;
    std::string logPath;
    pid_t process = -1;
};

/// \return an address on a free port.
std::string freeAddress();
/// \return a new temporary folder; removed by `removeFolder`.
std::string makeFolder();
void removeFolder(const std::string &path);
/// Polls a condition until it holds or the time is up.
bool waitFor(Milliseconds timeout, const std::function<bool()> &condition);
/// Whether the case runs with its disruption (`TROUBLE` is not 0).
bool hasTrouble();

/// One item of a batch submission.
struct Item
{
    std::string id;
    std::string group;
    std::string body = "prompt";
    int tokens = 1000;
    std::string scorerId = {};
};
/// \return the body of a batch submission.
std::string makeBatch(const std::string &model, const std::vector<Item> &items, int minVersion = 0);

/// \return the desired state of a small deployment: a safe and an unsafe route to the service
/// `app`, a stream route and a rollout route to the engines `lm`.
std::string makeConfig(int version, double maxWaitSeconds, bool isSingleVersion = false);

inline constexpr const char *host = "site.example";

} // namespace review
