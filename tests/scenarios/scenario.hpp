#pragma once

#include "command.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Runs the commands of a scenario in a simulated cluster.
namespace scenario {

struct ScenarioResult
{
    std::vector<std::string> failures; ///< Unmet expectations and violated invariants.
    std::vector<std::string> transcript;
};

/// Runs a scenario in a cluster of its own. Equal commands and seeds give identical transcripts.
/// \param baseDirectory the directory that the paths of submitted files are relative to.
ScenarioResult runScenario(const std::vector<Command> &commands, std::uint64_t seed,
                           const std::string &baseDirectory);

/// \return the content of a file. Throws std::runtime_error if the file cannot be read.
std::string readFile(const std::string &path);

} // namespace scenario
