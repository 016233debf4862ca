#include "scenario.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace {

constexpr std::uint64_t seed = 1;

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

} // namespace

// Compares the transcript of each session with its golden file. If GOLDEN_OUTPUT names a directory,
// the transcripts are also written there, for scripts/golden.sh.
TEST_CASE("golden sessions match their recorded transcripts")
{
    const char *output = std::getenv("GOLDEN_OUTPUT");
    for (const auto &entry : std::filesystem::directory_iterator(GOLDEN_DIRECTORY)) {
        if (entry.path().extension() != ".scenario")
            continue;
        const std::string name = entry.path().stem();
        CAPTURE(name);
        const auto parsed = scenario::parseScenario(scenario::readFile(entry.path()));
        REQUIRE(parsed.problems.empty());
        const auto run = scenario::runScenario(parsed.commands, seed, SOURCE_DIRECTORY);
        for (const std::string &failure : run.failures)
            FAIL_CHECK(failure);
        const std::string session = joinLines(run.transcript);
        if (output != nullptr)
            std::ofstream(std::filesystem::path(output) / (name + ".txt")) << session;
        std::filesystem::path golden = entry.path();
        golden.replace_extension(".txt");
        const bool isEqual =
                std::filesystem::exists(golden) && scenario::readFile(golden) == session;
        CHECK_MESSAGE(isEqual,
                      "the transcript does not equal its golden file; see scripts/golden.sh diff");
    }
}
