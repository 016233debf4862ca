#include <geraniumpulley/node/daemon.hpp>
#include <geraniumpulley/node/settings.hpp>
#include <geraniumpulley/runtime/signals.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

namespace {

using namespace geraniumpulley;

constexpr int exitUsage = 2;
constexpr int exitInterrupted = 1;

int run(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "event=settings_unreadable path={}\n", path);
        return exitUsage;
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const node::ParsedSettings parsed = node::parseSettings(text);
    for (const core::ConfigurationProblem &problem : parsed.problems)
        fmt::print(stderr, "event=settings_invalid key={} problem={:?} allowed={:?}\n",
                   problem.place, problem.problem, problem.allowed);
    if (!parsed.problems.empty())
        return exitUsage;
    const auto daemon = node::Daemon::create(parsed.settings);
    if (!daemon) {
        fmt::print(stderr, "event=start_failed error={:?}\n", daemon.error().message());
        return 1;
    }
    runtime::waitForStopSignal();
    runtime::exitAtNextStopSignal(exitInterrupted);
    daemon.value()->drain();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    runtime::blockStopSignals();
    cxxopts::Options options("geraniumpulleyd", "Entry process of the rollout service.");
    options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>(),
                          "FILE")("h,help", "show this text")("version", "show the version");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            fmt::print("{}", options.help());
            return 0;
        }
        if (arguments.count("version") > 0) {
            fmt::print("geraniumpulleyd {}\n", GERANIUMPULLEY_VERSION);
            return 0;
        }
        if (arguments.count("settings") == 0) {
            fmt::print(stderr, "event=usage problem=\"--settings FILE is missing\"\n");
            return exitUsage;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "event=usage problem={:?}\n", error.what());
        return exitUsage;
    }
}
