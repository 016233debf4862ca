#include "scenario.hpp"

#include "cluster.hpp"

#include <geraniumpulley/codec/configuration_text.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>

namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr std::uint32_t maxSampleTokens = 64;
constexpr Duration defaultCallTimeout = std::chrono::seconds(2);

struct Runner;
using Handler = void (*)(Runner &, const Command &);
using Observation = std::string (*)(const Runner &, const Command &);

struct Runner
{
    Cluster cluster;
    std::string baseDirectory;
    std::shared_ptr<const core::Configuration> configuration;
    std::vector<std::string> failures;
    std::map<std::string, std::string> idempotencyKeys; ///< By their names in the scenario.
};

// A key begins with its creation time, in seconds, from which the nodes derive its age.
std::string makeKey(const Runner &runner, const std::string &name)
{
    const auto now = runner.cluster.simulation.wallNow().time_since_epoch();
    return fmt::format("{}-{:->12}", std::chrono::duration_cast<std::chrono::seconds>(now).count(),
                       name);
}

std::string answerFaultName(AnswerFault fault)
{
    constexpr std::array names = {"normal", "doubled", "short", "lost"};
    return names.at(static_cast<std::size_t>(fault));
}

AnswerFault parseFault(const Command &command)
{
    for (const AnswerFault fault :
         {AnswerFault::None, AnswerFault::Duplicated, AnswerFault::Truncated, AnswerFault::Lost}) {
        if (answerFaultName(fault) == command.argument("FAULT"))
            return fault;
    }
    throw std::runtime_error(
            fmt::format("line {}: the answers of a target must be normal, doubled, short "
                        "or lost",
                        command.lineNumber));
}

void submit(Runner &runner, const Command &command)
{
    core::ConfigurationDocument document;
    document.submissionId = command.argument("NAME");
    document.author = command.argument("AUTHOR");
    document.text = readFile(runner.baseDirectory + "/" + command.argument("FILE"));
    const codec::ParsedConfiguration parsed = codec::parseConfiguration(document.text);
    if (!parsed.problems.empty())
        throw std::runtime_error(
                fmt::format("line {}: the text is not a valid configuration", command.lineNumber));
    document.configuration = std::make_shared<core::Configuration>(parsed.configuration);
    runner.configuration = document.configuration;
    runner.cluster.submit(command.argument("NAME"), command.argument("NODE"), document,
                          core::ConfigurationVersion{command.number("NUMBER")});
}

void call(Runner &runner, const Command &command)
{
    const std::string &name = command.argument("NAME");
    core::Call call;
    call.service.value = command.argument("SERVICE");
    call.method = command.argument("METHOD");
    call.path = command.argument("PATH");
    call.contentType = "text/plain";
    call.body = name;
    if (command.hasArgument("KEY")) {
        call.body = command.argument("KEY");
        const auto [position, isNew] =
                runner.idempotencyKeys.try_emplace(call.body, makeKey(runner, call.body));
        call.idempotencyKey = position->second;
        call.firstAttempt = isNew;
    }
    const core::Service *service = runner.configuration == nullptr
                                           ? nullptr
                                           : findService(*runner.configuration, call.service);
    runner.cluster.calls[name].repeatable =
            service != nullptr && isRepeatable(*service, call.method, call.path);
    const Duration timeout =
            command.hasArgument("DURATION") ? command.duration("DURATION") : defaultCallTimeout;
    runner.cluster.call(name, command.argument("NODE"), call, timeout);
}

void open(Runner &runner, const Command &command)
{
    core::StepSpec spec;
    spec.id = {{command.argument("TRAINER")}, command.number("NUMBER")};
    for (std::uint64_t group = 0; group < command.number("GROUPS"); ++group)
        spec.prompts.push_back(fmt::format("prompt {}", group));
    spec.groupSize = static_cast<std::uint32_t>(command.number("SIZE"));
    spec.maxTokens = maxSampleTokens;
    spec.trainerVersion = core::WeightVersion{command.number("VERSION")};
    StepRecord &record = runner.cluster.steps[command.argument("NAME")];
    for (const core::Trainer &trainer : runner.configuration->trainers) {
        if (trainer.name == spec.id.trainer)
            record.stalenessBound = trainer.stalenessBound;
    }
    runner.cluster.openStep(command.argument("NAME"), command.argument("NODE"), spec);
}

void follow(Runner &runner, const Command &command)
{
    runner.cluster.steps.at(command.argument("NAME")).nodeName = command.argument("NODE");
}

void setWeights(Runner &runner, const Command &command)
{
    runner.cluster.target(command.argument("TARGET"))
            .weightVersions[runner.cluster.simulation.now] = command.number("NUMBER");
    runner.cluster.simulation.record(fmt::format("{} loads version {}", command.argument("TARGET"),
                                                 command.argument("NUMBER")));
}

void setStore(Runner &runner, StoreFault fault, Duration slowness, const char *description)
{
    runner.cluster.store.fault = fault;
    runner.cluster.store.extraLatency = slowness;
    runner.cluster.simulation.record(fmt::format("store {}", description));
}

void advance(Runner &runner, const Command &command)
{
    runner.cluster.simulation.runUntil(runner.cluster.simulation.now
                                       + command.duration("DURATION"));
}

const std::map<std::string, Handler> &handlers()
{
    static const std::map<std::string, Handler> table = {
            {"node",
             [](Runner &r, const Command &c) {
                 r.cluster.addNode(c.argument("NODE"), c.argument("CENTRE"));
             }},
            {"target",
             [](Runner &r, const Command &c) {
                 r.cluster.addTarget(c.argument("TARGET"), c.argument("SERVICE"),
                                     c.argument("CENTRE"));
             }},
            {"submit", submit},
            {"call", call},
            {"open", open},
            {"follow", follow},
            {"kill", [](Runner &r, const Command &c) { r.cluster.kill(c.argument("PART")); }},
            {"freeze", [](Runner &r, const Command &c) { r.cluster.pause(c.argument("PART")); }},
            {"wake", [](Runner &r, const Command &c) { r.cluster.resume(c.argument("PART")); }},
            {"start", [](Runner &r, const Command &c) { r.cluster.start(c.argument("PART")); }},
            {"stop", [](Runner &r, const Command &c) { r.cluster.stop(c.argument("NODE")); }},
            {"leave",
             [](Runner &r, const Command &c) { r.cluster.markLeaving(c.argument("TARGET")); }},
            {"weights", setWeights},
            {"slow",
             [](Runner &r, const Command &c) {
                 r.cluster.target(c.argument("TARGET")).extraLatency = c.duration("DURATION");
             }},
            {"answers",
             [](Runner &r, const Command &c) {
                 r.cluster.target(c.argument("TARGET")).answerFault = parseFault(c);
             }},
            {"mark",
             [](Runner &r, const Command &c) {
                 TargetProcess &target = r.cluster.target(c.argument("TARGET"));
                 target.markedRequestCount = target.requestCount;
             }},
            {"cut",
             [](Runner &r, const Command &c) {
                 r.cluster.partition(c.argument("PLACE"), c.argument("OTHER"));
             }},
            {"mend",
             [](Runner &r, const Command &c) {
                 r.cluster.heal(c.argument("PLACE"), c.argument("OTHER"));
             }},
            {"store down",
             [](Runner &r, const Command &) { setStore(r, StoreFault::Down, {}, "is down"); }},
            {"store up",
             [](Runner &r, const Command &) { setStore(r, StoreFault::None, {}, "is up"); }},
            {"store slow",
             [](Runner &r, const Command &c) {
                 setStore(r, StoreFault::Slow, c.duration("DURATION"), "is slow");
             }},
            {"store loses answers",
             [](Runner &r, const Command &) {
                 setStore(r, StoreFault::LosesAnswers, {}, "loses answers");
             }},
            {"store loses requests",
             [](Runner &r, const Command &) {
                 setStore(r, StoreFault::LosesRequests, {}, "loses requests");
             }},
            {"vms lag",
             [](Runner &r, const Command &c) { r.cluster.vmListLag = c.duration("DURATION"); }},
            {"advance", advance},
    };
    return table;
}

const std::map<std::string, Observation> &observations()
{
    static const std::map<std::string, Observation> table = {
            {"version",
             [](const Runner &r, const Command &c) {
                 const auto &control = r.cluster.nodes.at(c.argument("NODE"))->control;
                 return std::to_string(core::number(core::versionInForce(control)));
             }},
            {"ready",
             [](const Runner &r, const Command &c) {
                 const auto &dispatch = r.cluster.nodes.at(c.argument("NODE"))->dispatch;
                 return std::string(dispatch.configuration == nullptr ? "no" : "yes");
             }},
            {"nodes",
             [](const Runner &r, const Command &c) {
                 const auto &view = r.cluster.nodes.at(c.argument("NODE"))->dispatch.view;
                 return std::to_string(view == nullptr ? 1 : view->nodes.size());
             }},
            {"targets",
             [](const Runner &r, const Command &c) {
                 const auto &view = r.cluster.nodes.at(c.argument("NODE"))->dispatch.view;
                 return std::to_string(view == nullptr ? 0 : view->targets.size());
             }},
            {"stopped",
             [](const Runner &r, const Command &c) {
                 const NodeProcess &node = *r.cluster.nodes.at(c.argument("NODE"));
                 return std::string(node.alive ? "no" : "yes");
             }},
            {"verdict",
             [](const Runner &r, const Command &c) {
                 return r.cluster.submissions.at(c.argument("NAME")).verdict;
             }},
            {"outcome",
             [](const Runner &r, const Command &c) {
                 return r.cluster.calls.at(c.argument("NAME")).outcome;
             }},
            {"reason",
             [](const Runner &r, const Command &c) {
                 return r.cluster.calls.at(c.argument("NAME")).reason;
             }},
            {"step", [](const Runner &r,
                        const Command &c) { return r.cluster.steps.at(c.argument("NAME")).state; }},
            {"runs",
             [](const Runner &r, const Command &c) {
                 return std::to_string(
                         r.cluster.runCount(r.cluster.calls.at(c.argument("NAME")).identity));
             }},
            {"work",
             [](const Runner &r, const Command &c) {
                 const TargetProcess &target = *r.cluster.targets.at(c.argument("TARGET"));
                 return std::to_string(target.requestCount - target.markedRequestCount);
             }},
            {"audit",
             [](const Runner &r, const Command &) {
                 const auto &rows = r.cluster.store.rows;
                 return std::to_string(std::count_if(rows.begin(), rows.end(), [](const auto &row) {
                     return row.first.starts_with(codec::auditRowPrefix);
                 }));
             }},
    };
    return table;
}

// An expected value is a list of alternatives ("ran|unknown"), each a text or a range ("0-1").
bool matchesExpected(const std::string &expected, const std::string &observed)
{
    std::size_t start = 0;
    while (start <= expected.size()) {
        const std::size_t end = std::min(expected.find('|', start), expected.size());
        const std::string alternative = expected.substr(start, end - start);
        const std::size_t dash = alternative.find('-');
        if (alternative == observed)
            return true;
        if (dash != std::string::npos
            && std::isdigit(static_cast<unsigned char>(alternative[0])) != 0
            && std::stoull(observed) >= std::stoull(alternative)
            && std::stoull(observed) <= std::stoull(alternative.substr(dash + 1)))
            return true;
        start = end + 1;
    }
    return false;
}

void expect(Runner &runner, const Command &command)
{
    const std::string observationName =
            command.pattern.substr(7, command.pattern.find(' ', 7) - 7); // After "expect ".
    const Observation observation = observations().at(observationName);
    Simulation &simulation = runner.cluster.simulation;
    const Time limit =
            simulation.now
            + (command.hasArgument("DURATION") ? command.duration("DURATION") : Duration::zero());
    while (!matchesExpected(command.argument("VALUE"), observation(runner, command))
           && simulation.runNextEvent(limit)) { }
    const std::string observed = observation(runner, command);
    if (!matchesExpected(command.argument("VALUE"), observed))
        runner.failures.push_back(fmt::format("line {}: {} is {}, expected {}", command.lineNumber,
                                              observationName, observed,
                                              command.argument("VALUE")));
}

// Searches backwards, since a longer key sorts after its own prefixes and has to match first.
void run(Runner &runner, const Command &command)
{
    if (command.pattern.starts_with("expect "))
        return expect(runner, command);
    for (auto entry = handlers().rbegin(); entry != handlers().rend(); ++entry) {
        if (command.pattern.starts_with(entry->first))
            return entry->second(runner, command);
    }
    throw std::logic_error("no handler for command " + command.pattern);
}

} // namespace

ScenarioResult runScenario(const std::vector<Command> &commands, std::uint64_t seed,
                           const std::string &baseDirectory)
{
    Runner runner{Cluster(seed), baseDirectory, nullptr, {}, {}};
    for (const Command &command : commands) {
        try {
            run(runner, command);
        } catch (const std::out_of_range &) {
            runner.failures.push_back(
                    fmt::format("line {}: an argument names something that does not exist",
                                command.lineNumber));
        }
    }
    for (const auto &[key, row] : runner.cluster.store.rows) {
        if (key.starts_with(codec::auditRowPrefix))
            runner.cluster.simulation.record(key + " " + row.value);
    }
    checkInvariants(runner.cluster);
    for (const std::string &violation : runner.cluster.violations)
        runner.failures.push_back("invariant violated: " + violation);
    return {runner.failures, runner.cluster.simulation.transcript};
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace scenario
