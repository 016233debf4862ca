#include <geraniumpulley/entry/daemon.hpp>
#include <geraniumpulley/entry/settings.hpp>
#include <geraniumpulley/node/daemon.hpp>
#include <geraniumpulley/node/settings.hpp>
#include <geraniumpulley/runtime/machine.hpp>
#include <geraniumpulley/runtime/signals.hpp>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace {

using namespace geraniumpulley;

constexpr int exitUsage = 2;
constexpr int exitInterrupted = 1;

// The settings file is polled, because it may be replaced without a SIGHUP to this process.
constexpr core::Duration settingsPollPeriod = std::chrono::seconds(2);

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    return std::string{std::istreambuf_iterator<char>(file), {}};
}

bool reportProblems(const std::vector<core::ConfigurationProblem> &problems)
{
    for (const core::ConfigurationProblem &problem : problems)
        fmt::print(stderr, "event=settings_invalid key={} problem={:?} allowed={:?}\n",
                   problem.place, problem.problem, problem.allowed);
    return !problems.empty();
}

int reportStartFailure(const std::error_code &error)
{
    fmt::print(stderr, "event=start_failed error={:?}\n", error.message());
    return 1;
}

// Serves until a stop signal arrives; reloads the settings when the file changes or on SIGHUP.
void serve(entry::Daemon &daemon, const std::string &path, std::string text)
{
    while (true) {
        const runtime::ProcessSignal signal = runtime::waitForSignal(settingsPollPeriod);
        if (signal == runtime::ProcessSignal::Stop)
            return;
        const std::optional<std::string> current = readFile(path);
        const bool hasChanged = current && *current != text;
        if (!current || (!hasChanged && signal == runtime::ProcessSignal::None))
            continue;
        const entry::ParsedSettings parsed = entry::parseSettings(*current);
        if (!reportProblems(parsed.problems))
            daemon.reload(parsed.settings);
        text = *current;
    }
}

int runEntry(const std::string &path, const std::string &text)
{
    const entry::ParsedSettings parsed = entry::parseSettings(text);
    if (reportProblems(parsed.problems))
        return exitUsage;
    const auto daemon = entry::Daemon::create(parsed.settings);
    if (!daemon)
        return reportStartFailure(daemon.error());
    serve(*daemon.value(), path, text);
    // A second stop signal is ignored: clients still wait for their answers, and the platform kills
    // a process that takes too long to stop.
    daemon.value()->drain();
    return 0;
}

int runNode(const std::string &text)
{
    const node::ParsedSettings parsed = node::parseSettings(text);
    if (reportProblems(parsed.problems))
        return exitUsage;
    const auto daemon = node::Daemon::create(parsed.settings);
    if (!daemon)
        return reportStartFailure(daemon.error());
    runtime::waitForStopSignal();
    runtime::exitOnNextStopSignal(exitInterrupted);
    daemon.value()->drain();
    return 0;
}

int run(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        fmt::print(stderr, "event=settings_unreadable path={}\n", path);
        return exitUsage;
    }
    return entry::isForPlatform(*text) ? runEntry(path, *text) : runNode(*text);
}

} // namespace

int main(int argc, char **argv)
{
    runtime::limitAllocatorLoss();
    runtime::blockStopSignals();
    runtime::blockReloadSignal();
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
