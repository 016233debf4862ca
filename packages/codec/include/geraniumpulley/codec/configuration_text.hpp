#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>

#include <string>
#include <vector>

/// Parsing of the operators' configuration text (JSON).
namespace geraniumpulley::codec {

struct ParsedConfiguration
{
    core::Configuration configuration;
    std::vector<core::ConfigurationProblem> problems; ///< Empty if the text is valid.
};

/// Parses and validates a configuration text. All schema problems are reported at once; the content
/// is validated only when there are none, and then all its problems are reported at once.
ParsedConfiguration parseConfiguration(const std::string &text);

} // namespace geraniumpulley::codec
