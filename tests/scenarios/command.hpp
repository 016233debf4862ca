#pragma once

#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// The scenario language: one command a line, checked against a table of patterns.
namespace scenario {

/// One checked line of a scenario.
struct Command
{
    std::size_t line = 0;
    std::string pattern; ///< The entry of the table that it matched.
    std::map<std::string, std::string> words; ///< By placeholder; optional ones may be missing.

    [[nodiscard]] bool has(const std::string &placeholder) const;
    [[nodiscard]] const std::string &word(const std::string &placeholder) const;
    [[nodiscard]] std::uint64_t number(const std::string &placeholder) const;
    [[nodiscard]] geraniumpulley::core::Duration duration(const std::string &placeholder) const;
};

struct ParsedScenario
{
    std::vector<Command> commands;
    std::vector<std::string> problems; ///< Each begins with "line N:"; empty when it can be run.
};

/// Parses a scenario text; reports all wrong lines at once.
ParsedScenario parseScenario(const std::string &text);

/// \return all patterns of the language, in the order of the table.
const std::vector<std::string> &patterns();

} // namespace scenario
