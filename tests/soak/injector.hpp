#pragma once

#include "client_history.hpp"
#include "load.hpp"
#include "proxies.hpp"
#include "schedule.hpp"

#include "../live/platform_fleet.hpp"

#include <geraniumpulley/net/http_client.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

/// Injects the faults of a schedule into the processes of a run and reverts them.
namespace soak {

/// Applies and reverts faults on the thread that calls `run()`.
class Injector
{
public:
    Injector(live::PlatformFleet &fleet, Proxies &proxies, Load &load, ClientHistory &history);

    /// Runs a schedule to its end. All faults are reverted when it returns.
    void run(const std::vector<Fault> &faults);

private:
    using Time = geraniumpulley::core::Time;

    void apply(const Fault &fault);
    void revert(const Fault &fault);
    void restart(const std::string &node, Time deadline);
    void recordExit(const std::string &node, int status);
    void changeRouting();
    void publishWeights();
    void refuseRequests(const std::string &worker);
    void writeRow(const std::string &key, const std::string &content);

    live::PlatformFleet &fleet;
    Proxies &proxies;
    Load &load;
    ClientHistory &history;
    std::multimap<Time, std::function<void()>> scheduledActions;
    std::set<std::string> killedNodes; ///< Nodes sent SIGKILL and not yet restarted.
    std::set<std::string> stoppingNodes; ///< Nodes sent SIGTERM and not yet restarted.
    std::unique_ptr<geraniumpulley::net::HttpClient> operatorCaller;
    std::string storeAddress;
    std::atomic<bool> writeInFlight = false; ///< Whether a row write is unanswered.
    std::uint64_t routingVersion = 3;
    std::uint64_t weightVersion = 1;
};

} // namespace soak
