#pragma once

#include "child_process.hpp"
#include "fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace live {

/// Nodes on the users' platform, with stand-ins for its table service and workers.
struct PlatformFleet
{
    PlatformFleet();
    ~PlatformFleet();

    PlatformFleet(const PlatformFleet &) = delete;
    PlatformFleet &operator=(const PlatformFleet &) = delete;

    void startNode(const std::string &name);
    /// Starts a worker and registers it. \param model empty for a plain service.
    void startWorker(const std::string &name, const std::string &service, const std::string &model);
    ChildProcess &process(const std::string &name) { return *this->processes.at(name); }
    /// Writes a row as the operators or a worker do.
    bool writeRow(const std::string &table, const std::string &key, const std::string &content);
    /// Waits until all nodes take requests.
    bool waitUntilReady();
    bool waitFor(const std::function<bool()> &condition);

    HttpReply call(const std::string &node, const std::string &method, const std::string &target,
                   const std::string &requestId = {}, const std::string &body = {});
    /// \return the ids of the requests that a worker ran, as JSON.
    std::string ledger(const std::string &worker);

    std::shared_ptr<LogWatch> watch = std::make_shared<LogWatch>();
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::vector<std::string> nodes;
    std::map<std::string, std::string> addresses; ///< Of doors, such as "node-a/callers".
    /// Where a node reaches the store, and all nodes a worker, when a proxy stands in between.
    std::map<std::string, std::string> ways;
    std::string directory;

private:
    std::string uriOf(const std::string &name);
    std::string wayTo(const std::string &name, const std::string &process);
    void start(const std::string &name, const std::vector<std::string> &command,
               const std::string &key);
};

/// The body of a transaction that writes one row, whatever it held before.
std::string rowTransaction(const std::string &table, const std::string &key,
                           const std::string &content);

/// The routing table of a small deployment.
std::string routingText(std::uint64_t version);

/// A batch of two groups of three items with scores.
std::string batchText(const std::string &batch);

} // namespace live
