#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>

#include <string>
#include <vector>

/// The operators' one text: JSON to typed configuration.
namespace geraniumpulley::codec {

struct ParsedConfiguration
{
    core::Configuration configuration;
    std::vector<core::ConfigurationProblem> problems; ///< Empty when the text may be submitted.
};

/// Parses and checks a text; reports all problems of shape, or else all of content, at once.
ParsedConfiguration parseConfiguration(const std::string &text);

} // namespace geraniumpulley::codec
