#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumpulley::entry {

/// What an entry process on the platform learns from its settings file (JSON).
struct Settings
{
    std::string node;
    std::string dataCentre;
    std::string callersAddress; ///< For clients and trainers.
    std::string readinessAddress; ///< Asked by the platform's balancer.
    std::string peersAddress; ///< For the other nodes.
    std::string metricsAddress; ///< Empty for none.
    std::string storeAddress;
    std::vector<std::string> seeds; ///< Peer addresses of other nodes; may be stale.
    core::Duration stopLimit = std::chrono::seconds(8); ///< From the stop signal to the kill.
    /// Processor time that the process may use, in thousandths of a core; 0 when it is not known.
    std::uint32_t capacity = 0;
    core::Duration leaseTime = std::chrono::seconds(3); ///< Of the lease on weight orders.

    bool operator==(const Settings &) const = default;
};

struct ParsedSettings
{
    Settings settings;
    std::vector<core::ConfigurationProblem> problems; ///< Empty when the settings are usable.
};

/// \return whether a settings text is for the platform's interface rather than the product's own.
bool isForPlatform(const std::string &text);

/// Parses a settings text; reports all problems at once, each with its key.
ParsedSettings parseSettings(const std::string &text);

} // namespace geraniumpulley::entry
