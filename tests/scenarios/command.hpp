#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// Parser of the scenario language: one command per line, matched against a table of patterns.
namespace scenario {

/// A parsed line of a scenario.
struct Command
{
    std::size_t lineNumber = 0;
    std::string pattern; ///< The entry of the pattern table that the line matches.
    /// Arguments by placeholder, without omitted options.
    std::map<std::string, std::string> arguments;

    [[nodiscard]] bool hasArgument(const std::string &placeholder) const;
    [[nodiscard]] const std::string &argument(const std::string &placeholder) const;
    [[nodiscard]] std::uint64_t number(const std::string &placeholder) const;
    [[nodiscard]] geraniumpulley::core::Duration duration(const std::string &placeholder) const;
};

struct ParsedScenario
{
    std::vector<Command> commands;
    std::vector<std::string> problems; ///< Messages that begin with "line N:"; empty if valid.
};

/// Parses the text of a scenario and reports every malformed line.
ParsedScenario parseScenario(const std::string &text);

/// \return the patterns of all commands, in the order in which they are tried.
const std::vector<std::string> &commandPatterns();

} // namespace scenario
