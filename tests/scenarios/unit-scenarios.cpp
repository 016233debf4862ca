#include "scenario.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>

namespace {

constexpr std::uint64_t seedCount = 50;

std::vector<std::filesystem::path> scenarioFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(SCENARIO_DIRECTORY)) {
        if (entry.path().extension() == ".scenario")
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

// One part for each file, so that `--subcase=NAME` runs one of them.
TEST_CASE("scenarios hold for every seed")
{
    for (const auto &file : scenarioFiles()) {
        SUBCASE(file.stem().c_str())
        {
            const auto parsed = scenario::parseScenario(scenario::readFile(file));
            for (const std::string &problem : parsed.problems)
                FAIL_CHECK(problem);
            for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
                const auto run = scenario::runScenario(parsed.commands, seed, SOURCE_DIRECTORY);
                for (const std::string &failure : run.failures)
                    FAIL_CHECK(
                            fmt::format("{} seed {}: {}", file.filename().string(), seed, failure));
            }
        }
    }
}

TEST_CASE("the same seed gives the same run, to the byte, and another seed another run")
{
    for (const auto &file : scenarioFiles()) {
        const auto parsed = scenario::parseScenario(scenario::readFile(file));
        const auto first = scenario::runScenario(parsed.commands, 7, SOURCE_DIRECTORY);
        const auto again = scenario::runScenario(parsed.commands, 7, SOURCE_DIRECTORY);
        const auto other = scenario::runScenario(parsed.commands, 8, SOURCE_DIRECTORY);
        CHECK(first.transcript == again.transcript);
        CHECK(first.transcript != other.transcript);
    }
}
