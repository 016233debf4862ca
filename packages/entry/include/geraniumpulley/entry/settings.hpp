#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/runtime/machine.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpulley::entry {

/// Settings of a `Daemon` on the platform, from its JSON settings file.
struct Settings
{
    std::string nodeName;
    std::string dataCentre;
    std::string callersAddress; ///< Listening address for clients and trainers.
    std::string readinessAddress; ///< Listening address for the load balancer's checks.
    std::string peersAddress; ///< Listening address for the other nodes.
    std::string metricsAddress; ///< Listening address for metrics; empty for none.
    std::string storeAddress;
    std::vector<std::string> seedAddresses; ///< Peer addresses of some nodes; may be stale.
    /// Time between the stop signal and the forced kill.
    core::Duration stopTimeout = std::chrono::seconds(8);
    /// Processor time available to the process, in thousandths of a core; 0 if unknown.
    std::uint32_t capacityMillicores = 0;
    /// Memory of the machine that the process may use.
    std::size_t memoryBytes = runtime::machineMemory();
    /// Address of the provider's API for usage reports and target orders; empty for none.
    std::string providerAddress;
    core::Duration usageWindow = std::chrono::seconds(5); ///< Length of a window of usage.
    /// Time from the end of a window until its usage has to be reported.
    core::Duration usageDueAfter = std::chrono::seconds(10);
    core::Duration leaseDuration = std::chrono::seconds(3); ///< Duration of the weight order lease.

    bool operator==(const Settings &) const = default;
};

/// Result of parsing a settings text.
struct ParsedSettings
{
    Settings settings;
    std::vector<core::ConfigurationProblem> problems; ///< Empty if the settings are valid.
};

/// \return whether a settings text is for the platform's interface, not for the product's own.
bool isForPlatform(const std::string &text);

/// Parses a settings text and reports all problems, each with its key.
ParsedSettings parseSettings(const std::string &text);

} // namespace geraniumpulley::entry
