#include "platform_fleet.hpp"

#include <cpprest/asyncrt_utils.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace live {
namespace {

// Long enough for a busy machine; only a failing test waits until the timeout.
constexpr Duration waitTimeout = std::chrono::seconds(40);
constexpr std::uint32_t statusOk = 200;

std::string toBase64(const std::string &text)
{
    return utility::conversions::to_base64(std::vector<unsigned char>(text.begin(), text.end()));
}

} // namespace

PlatformFleet::PlatformFleet()
{
    std::string pattern = std::filesystem::temp_directory_path() / "geraniumpulley-live-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory");
    this->directory = pattern;
    this->start("store", {STANDIN_PROGRAM, "--role", "rows"}, "port");
}

PlatformFleet::~PlatformFleet()
{
    this->processes.clear();
    std::filesystem::remove_all(this->directory);
}

void PlatformFleet::start(const std::string &name, const std::vector<std::string> &command,
                          const std::string &key)
{
    this->processes[name] = std::make_unique<ChildProcess>(this->watch, command);
    const bool started = this->waitFor(
            [&] { return !loggedField(this->process(name).lines(), "started", key).empty(); });
    if (!started)
        throw std::runtime_error(name + " did not start before the timeout");
    if (key == "port")
        this->addresses[name] =
                "127.0.0.1:" + loggedField(this->process(name).lines(), "started", key);
}

std::string PlatformFleet::uriOf(const std::string &name)
{
    return "http://" + this->addresses.at(name);
}

std::string PlatformFleet::connectAddress(const std::string &name, const std::string &process)
{
    const auto proxy = this->proxyAddresses.find(name);
    return proxy == this->proxyAddresses.end() ? this->addresses.at(process) : proxy->second;
}

void PlatformFleet::startNode(const std::string &name)
{
    const std::string path = this->directory + "/" + name + ".json";
    std::string seeds;
    for (const std::string &node : this->nodes)
        seeds += fmt::format("{}\"{}\"", seeds.empty() ? "" : ", ",
                             loggedField(this->process(node).lines(), "started", "peers"));
    std::ofstream(path) << fmt::format(
            R"({{"interface": "platform", "node": "{}", "data_centre": "zone",
 "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0", "store": "{}",
 "seeds": [{}], "stop_limit_ms": 8000, "memory_mb": {}}})",
            name, this->connectAddress("store/" + name, "store"), seeds,
            this->memoryMegabytes > 0 ? std::to_string(this->memoryMegabytes) : "null");
    this->start(name, {DAEMON_PROGRAM, "--settings", path}, "node");
    const std::vector<std::string> lines = this->process(name).lines();
    for (const char *endpoint : {"callers", "readiness"})
        this->addresses[name + "/" + endpoint] = loggedField(lines, "started", endpoint);
    if (std::find(this->nodes.begin(), this->nodes.end(), name) == this->nodes.end())
        this->nodes.push_back(name);
}

void PlatformFleet::startWorker(const std::string &name, const std::string &service,
                                const std::string &model, const std::string &software)
{
    this->start(name, {STANDIN_PROGRAM, "--role", "worker"}, "port");
    fetch(this->uriOf(name) + "/_worker", "POST",
          fmt::format(R"({{"id": "{}", "model": "{}"}})", name, model));
    const std::string models =
            model.empty() ? "" : fmt::format(R"("models":[{{"name":"{}","version":1}}],)", model);
    this->writeRow("servers", name,
                   fmt::format(R"({{"service":"{}","address":"{}","zone":"zone","version":"{}",)"
                               R"("slots":8,"state":"ready",{}"sequence":0,"born":1}})",
                               service, this->connectAddress(name, name), software, models));
}

bool PlatformFleet::addWorker(const std::string &name, const std::string &service,
                              const std::string &address)
{
    return this->writeRow(
            "servers", name,
            fmt::format(R"({{"service":"{}","address":"{}","zone":"zone","version":"v1",)"
                        R"("slots":8,"state":"ready","sequence":0,"born":1}})",
                        service, address));
}

void PlatformFleet::configureWorker(const std::string &name, const std::string &settings)
{
    fetch(this->uriOf(name) + "/_worker", "POST", settings);
}

bool PlatformFleet::writeRow(const std::string &table, const std::string &key,
                             const std::string &content)
{
    const std::string body = makeRowTransaction(table, key, content);
    return fetch(this->uriOf("store") + "/-/rows-tx", "POST", body).status == statusOk;
}

bool PlatformFleet::waitUntilReady()
{
    return this->waitFor([this] {
        for (const std::string &node : this->nodes) {
            if (fetch(this->uriOf(node + "/readiness") + "/-/readyz", "GET").status != statusOk)
                return false;
        }
        return true;
    });
}

bool PlatformFleet::waitFor(const std::function<bool()> &condition)
{
    return waitUntil(*this->watch, waitTimeout, condition);
}

HttpReply PlatformFleet::call(const std::string &node, const std::string &method,
                              const std::string &target, const std::string &requestId,
                              const std::string &body, std::map<std::string, std::string> headers)
{
    headers.emplace("Host", "site.example");
    if (!requestId.empty())
        headers.emplace("X-Attempt-Id", requestId);
    return fetch(this->uriOf(node + "/callers") + target, method, body, headers);
}

std::string PlatformFleet::executedRequestIds(const std::string &worker)
{
    return fetch(this->uriOf(worker) + "/_ledger", "GET").body;
}

std::string makeRowTransaction(const std::string &table, const std::string &key,
                               const std::string &content)
{
    return fmt::format(
            R"({{"expected":[],"writes":[{{"table":"{}","part":"","key":"{}","value":"{}"}}],)"
            R"("remove":[]}})",
            table, key, toBase64(content));
}

std::string makeRoutingTable(std::uint64_t version)
{
    return fmt::format(
            R"({{"version":{},"routes":[
{{"name":"lookup","host":"site.example","path_prefix":"/lookup/","kind":"safe","timeout_ms":2000,
 "target_latency_ms":150,"priority":2,"service":"orders","max_attempts":3}},
{{"name":"book","host":"site.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":2000,
 "target_latency_ms":150,"priority":2,"service":"orders","max_attempts":3}},
{{"name":"chat","host":"site.example","path_prefix":"/chat/","kind":"stream","resumable":true,
 "timeout_ms":20000,"target_latency_ms":400,"priority":1,"service":"engines","max_attempts":3}},
{{"name":"samples","host":"site.example","path_prefix":"/samples/","kind":"rollout",
 "timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"engines","max_attempts":3,
 "due_ms":7500,"max_wait_s":40}}],
"services":[{{"name":"orders","max_conns":96}},
 {{"name":"engines","max_conns":130,"engine":{{"slots":8}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}}}})",
            version);
}

std::string makeBatch(const std::string &batch)
{
    std::string items;
    for (int i = 0; i < 6; ++i) {
        items += fmt::format(
                R"({}{{"id":"{}-{}","path":"/samples/run","headers":{{"X-Model":"m"}},"body":"{}",)"
                R"("tokens":9,"group":"{}","scorer":{{"id":"{}-s{}","host":"site.example",)"
                R"("path":"/lookup/score","body":"eA=="}}}})",
                i == 0 ? "" : ",", batch, i, toBase64("prompt " + std::to_string(i)), i / 3, batch,
                i);
    }
    return fmt::format(R"({{"step":1,"model":"m","min_version":1,"desired":2,"requests":[{}]}})",
                       items);
}

} // namespace live
