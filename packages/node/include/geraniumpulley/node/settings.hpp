#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/time.hpp>

#include <string>
#include <vector>

namespace geraniumpulley::node {

/// The settings of a node process, read from its settings file (JSON).
struct Settings
{
    std::string nodeName;
    std::string dataCentre;
    std::string callersAddress;
    std::string operatorsAddress;
    std::string peersAddress;
    std::string platformUri;
    std::vector<std::string> seedAddresses; ///< The peer addresses of other nodes.
    core::Duration controlPeriod = std::chrono::seconds(1);
    core::Duration drainTimeout = std::chrono::seconds(30);
};

/// The result of parsing a settings file.
struct ParsedSettings
{
    Settings settings;
    std::vector<core::ConfigurationProblem> problems; ///< Empty if the settings are valid.
};

/// Parses the text of a settings file; reports all problems at once, each with its key.
ParsedSettings parseSettings(const std::string &text);

} // namespace geraniumpulley::node
