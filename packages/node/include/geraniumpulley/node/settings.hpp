#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/time.hpp>

#include <string>
#include <vector>

namespace geraniumpulley::node {

/// What a process learns from its settings file (JSON).
struct Settings
{
    std::string node;
    std::string dataCentre;
    std::string callersAddress;
    std::string operatorsAddress;
    std::string peersAddress;
    std::string platformUri;
    std::vector<std::string> seeds; ///< Peer addresses of other nodes.
    core::Duration controlPeriod = std::chrono::seconds(1);
    core::Duration drainLimit = std::chrono::seconds(30);
};

struct ParsedSettings
{
    Settings settings;
    std::vector<core::ConfigurationProblem> problems; ///< Empty when the settings are usable.
};

/// Parses a settings text; reports all problems at once, each with its key.
ParsedSettings parseSettings(const std::string &text);

} // namespace geraniumpulley::node
