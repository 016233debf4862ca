#pragma once

#include "command.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Runs the commands of a scenario in a world of their own.
namespace scenario {

struct Run
{
    std::vector<std::string> failures; ///< Expectations with their lines, and broken promises.
    std::vector<std::string> transcript;
};

/// Runs a scenario. The same commands and seed give the same run, to the byte.
/// \param root the directory that the names of submitted files start from.
Run runScenario(const std::vector<Command> &commands, std::uint64_t seed, const std::string &root);

/// \return the text of a file; throws when it cannot be read, which fails the test.
std::string readFile(const std::string &path);

} // namespace scenario
