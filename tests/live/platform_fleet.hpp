#pragma once

#include "child_process.hpp"
#include "fleet.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace live {

/// A deployment of nodes on the users' platform, with stand-ins for the platform's table service
/// and workers.
struct PlatformFleet
{
    PlatformFleet();
    ~PlatformFleet();

    PlatformFleet(const PlatformFleet &) = delete;
    PlatformFleet &operator=(const PlatformFleet &) = delete;

    void startNode(const std::string &name);
    /// Starts a worker and adds its row to the table of servers. \param model empty for a plain
    /// service. \param software the version of its software that its row states.
    void startWorker(const std::string &name, const std::string &service, const std::string &model,
                     const std::string &software = "v1");
    /// Adds the row of a worker of a plain service that a test runs itself.
    bool addWorker(const std::string &name, const std::string &service, const std::string &address);
    ChildProcess &process(const std::string &name) { return *this->processes.at(name); }
    /// Changes how a running worker answers. \param settings JSON for its `/_worker` endpoint.
    void configureWorker(const std::string &name, const std::string &settings);
    /// Writes a row in the way that operators and workers do.
    bool writeRow(const std::string &table, const std::string &key, const std::string &content);
    /// Waits until the readiness endpoint of every node reports that it accepts requests.
    bool waitUntilReady();
    bool waitFor(const std::function<bool()> &condition);

    HttpReply call(const std::string &node, const std::string &method, const std::string &target,
                   const std::string &requestId = {}, const std::string &body = {},
                   std::map<std::string, std::string> headers = {});
    /// \return the ids of the requests that a worker has executed, as a JSON array.
    std::string executedRequestIds(const std::string &worker);

    std::shared_ptr<LogWatch> watch = std::make_shared<LogWatch>();
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::vector<std::string> nodes;
    /// Addresses by endpoint, such as "node-a/callers", or by the name of a stand-in.
    std::map<std::string, std::string> addresses;
    /// Addresses of proxies: "store/NODE" replaces the store's address for one node, and the name
    /// of a worker replaces that worker's address for all nodes.
    std::map<std::string, std::string> proxyAddresses;
    std::string directory;
    /// The memory that the settings of later nodes name; 0 for that of the machine.
    std::size_t memoryMegabytes = 0;

private:
    std::string uriOf(const std::string &name);
    std::string connectAddress(const std::string &name, const std::string &process);
    void start(const std::string &name, const std::vector<std::string> &command,
               const std::string &key);
};

/// \return the body of a transaction that writes one row unconditionally.
std::string makeRowTransaction(const std::string &table, const std::string &key,
                               const std::string &content);

/// \return the routing table of a small deployment, as JSON.
std::string makeRoutingTable(std::uint64_t version);

/// \return the specification of a batch of two groups of three scored items, as JSON.
std::string makeBatch(const std::string &batch);

} // namespace live
