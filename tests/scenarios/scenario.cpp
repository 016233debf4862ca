#include "scenario.hpp"

#include "world.hpp"

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

constexpr std::uint32_t maxTokens = 64;
constexpr Duration defaultCallTimeout = std::chrono::seconds(2);

struct Runner;
using Handler = void (*)(Runner &, const Command &);
using Observation = std::string (*)(const Runner &, const Command &);

struct Runner
{
    World world;
    std::string root;
    std::shared_ptr<const core::Configuration> configuration;
    std::vector<std::string> failures;
    std::map<std::string, std::string> keys; ///< Whole keys by their names in the scenario.
};

// A client's key tells its age.
std::string makeKey(const Runner &runner, const std::string &name)
{
    const auto age = runner.world.simulation.wallNow().time_since_epoch();
    return fmt::format("{}-{:->12}", std::chrono::duration_cast<std::chrono::seconds>(age).count(),
                       name);
}

std::string orderedName(AnswerFault fault)
{
    constexpr std::array names = {"normal", "doubled", "short", "lost"};
    return names.at(static_cast<std::size_t>(fault));
}

AnswerFault parseFault(const Command &command)
{
    for (const AnswerFault fault :
         {AnswerFault::Normal, AnswerFault::Doubled, AnswerFault::Short, AnswerFault::Lost}) {
        if (orderedName(fault) == command.word("FAULT"))
            return fault;
    }
    throw std::runtime_error(fmt::format("line {}: the answers of a target are normal, doubled, "
                                         "short or lost",
                                         command.line));
}

void submit(Runner &runner, const Command &command)
{
    core::ConfigurationDocument document;
    document.submissionId = command.word("NAME");
    document.author = command.word("AUTHOR");
    document.text = readFile(runner.root + "/" + command.word("FILE"));
    const codec::ParsedConfiguration parsed = codec::parseConfiguration(document.text);
    if (!parsed.problems.empty())
        throw std::runtime_error(
                fmt::format("line {}: the text is not a configuration", command.line));
    document.configuration = std::make_shared<core::Configuration>(parsed.configuration);
    runner.configuration = document.configuration;
    runner.world.submit(command.word("NAME"), command.word("NODE"), document,
                        core::ConfigurationVersion{command.number("NUMBER")});
}

void call(Runner &runner, const Command &command)
{
    const std::string &name = command.word("NAME");
    core::Call call;
    call.service.value = command.word("SERVICE");
    call.method = command.word("METHOD");
    call.path = command.word("PATH");
    call.contentType = "text/plain";
    call.body = name;
    if (command.has("KEY")) {
        call.body = command.word("KEY");
        const auto [position, isNew] =
                runner.keys.try_emplace(call.body, makeKey(runner, call.body));
        call.idempotencyKey = position->second;
        call.firstAttempt = isNew;
    }
    const core::Service *service = runner.configuration == nullptr
                                           ? nullptr
                                           : findService(*runner.configuration, call.service);
    runner.world.calls[name].repeatable =
            service != nullptr && isRepeatable(*service, call.method, call.path);
    const Duration timeout =
            command.has("DURATION") ? command.duration("DURATION") : defaultCallTimeout;
    runner.world.call(name, command.word("NODE"), call, timeout);
}

void open(Runner &runner, const Command &command)
{
    core::StepOrder order;
    order.id = {{command.word("TRAINER")}, command.number("NUMBER")};
    for (std::uint64_t group = 0; group < command.number("GROUPS"); ++group)
        order.prompts.push_back(fmt::format("prompt {}", group));
    order.groupSize = static_cast<std::uint32_t>(command.number("SIZE"));
    order.maxTokens = maxTokens;
    order.trainerVersion = core::WeightVersion{command.number("VERSION")};
    StepRecord &record = runner.world.steps[command.word("NAME")];
    for (const core::Trainer &trainer : runner.configuration->trainers) {
        if (trainer.name == order.id.trainer)
            record.stalenessBound = trainer.stalenessBound;
    }
    runner.world.openStep(command.word("NAME"), command.word("NODE"), order);
}

void follow(Runner &runner, const Command &command)
{
    runner.world.steps.at(command.word("NAME")).node = command.word("NODE");
}

void setWeights(Runner &runner, const Command &command)
{
    runner.world.target(command.word("TARGET")).weights[runner.world.simulation.now] =
            command.number("NUMBER");
    runner.world.simulation.record(
            fmt::format("{} loads version {}", command.word("TARGET"), command.word("NUMBER")));
}

void setStore(Runner &runner, StoreFault fault, Duration slowness, const char *description)
{
    runner.world.store.fault = fault;
    runner.world.store.slowness = slowness;
    runner.world.simulation.record(fmt::format("store {}", description));
}

void advance(Runner &runner, const Command &command)
{
    runner.world.simulation.runUntil(runner.world.simulation.now + command.duration("DURATION"));
}

const std::map<std::string, Handler> &handlers()
{
    static const std::map<std::string, Handler> table = {
            {"node", [](Runner &r,
                        const Command &c) { r.world.addNode(c.word("NODE"), c.word("CENTRE")); }},
            {"target",
             [](Runner &r, const Command &c) {
                 r.world.addTarget(c.word("TARGET"), c.word("SERVICE"), c.word("CENTRE"));
             }},
            {"submit", submit},
            {"call", call},
            {"open", open},
            {"follow", follow},
            {"kill", [](Runner &r, const Command &c) { r.world.kill(c.word("PART")); }},
            {"freeze", [](Runner &r, const Command &c) { r.world.freeze(c.word("PART")); }},
            {"wake", [](Runner &r, const Command &c) { r.world.wake(c.word("PART")); }},
            {"start", [](Runner &r, const Command &c) { r.world.start(c.word("PART")); }},
            {"stop", [](Runner &r, const Command &c) { r.world.stop(c.word("NODE")); }},
            {"leave", [](Runner &r, const Command &c) { r.world.leave(c.word("TARGET")); }},
            {"weights", setWeights},
            {"slow",
             [](Runner &r, const Command &c) {
                 r.world.target(c.word("TARGET")).slowness = c.duration("DURATION");
             }},
            {"answers",
             [](Runner &r, const Command &c) {
                 r.world.target(c.word("TARGET")).fault = parseFault(c);
             }},
            {"mark",
             [](Runner &r, const Command &c) {
                 TargetProcess &target = r.world.target(c.word("TARGET"));
                 target.workAtMark = target.workTaken;
             }},
            {"cut",
             [](Runner &r, const Command &c) { r.world.cut(c.word("PLACE"), c.word("OTHER")); }},
            {"mend",
             [](Runner &r, const Command &c) { r.world.mend(c.word("PLACE"), c.word("OTHER")); }},
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
             [](Runner &r, const Command &c) { r.world.vmListLag = c.duration("DURATION"); }},
            {"advance", advance},
    };
    return table;
}

const std::map<std::string, Observation> &observations()
{
    static const std::map<std::string, Observation> table = {
            {"version",
             [](const Runner &r, const Command &c) {
                 const auto &control = r.world.nodes.at(c.word("NODE"))->control;
                 return std::to_string(core::number(core::versionInForce(control)));
             }},
            {"ready",
             [](const Runner &r, const Command &c) {
                 const auto &dispatch = r.world.nodes.at(c.word("NODE"))->dispatch;
                 return std::string(dispatch.configuration == nullptr ? "no" : "yes");
             }},
            {"nodes",
             [](const Runner &r, const Command &c) {
                 const auto &view = r.world.nodes.at(c.word("NODE"))->dispatch.view;
                 return std::to_string(view == nullptr ? 1 : view->nodes.size());
             }},
            {"targets",
             [](const Runner &r, const Command &c) {
                 const auto &view = r.world.nodes.at(c.word("NODE"))->dispatch.view;
                 return std::to_string(view == nullptr ? 0 : view->targets.size());
             }},
            {"stopped",
             [](const Runner &r, const Command &c) {
                 const NodeProcess &node = *r.world.nodes.at(c.word("NODE"));
                 return std::string(node.alive ? "no" : "yes");
             }},
            {"verdict",
             [](const Runner &r, const Command &c) {
                 return r.world.submissions.at(c.word("NAME")).verdict;
             }},
            {"outcome", [](const Runner &r,
                           const Command &c) { return r.world.calls.at(c.word("NAME")).outcome; }},
            {"reason", [](const Runner &r,
                          const Command &c) { return r.world.calls.at(c.word("NAME")).reason; }},
            {"step", [](const Runner &r,
                        const Command &c) { return r.world.steps.at(c.word("NAME")).state; }},
            {"runs",
             [](const Runner &r, const Command &c) {
                 return std::to_string(r.world.runsOf(r.world.calls.at(c.word("NAME")).identity));
             }},
            {"work",
             [](const Runner &r, const Command &c) {
                 const TargetProcess &target = *r.world.targets.at(c.word("TARGET"));
                 return std::to_string(target.workTaken - target.workAtMark);
             }},
            {"audit",
             [](const Runner &r, const Command &) {
                 const auto &rows = r.world.store.rows;
                 return std::to_string(std::count_if(rows.begin(), rows.end(), [](const auto &row) {
                     return row.first.starts_with(codec::auditRowPrefix);
                 }));
             }},
    };
    return table;
}

// "ran|unknown" allows either; "0-1" a range of numbers.
bool allows(const std::string &expected, const std::string &seen)
{
    std::size_t start = 0;
    while (start <= expected.size()) {
        const std::size_t end = std::min(expected.find('|', start), expected.size());
        const std::string one = expected.substr(start, end - start);
        const std::size_t dash = one.find('-');
        if (one == seen)
            return true;
        if (dash != std::string::npos && std::isdigit(static_cast<unsigned char>(one[0])) != 0
            && std::stoull(seen) >= std::stoull(one)
            && std::stoull(seen) <= std::stoull(one.substr(dash + 1)))
            return true;
        start = end + 1;
    }
    return false;
}

void expect(Runner &runner, const Command &command)
{
    const std::string question =
            command.pattern.substr(7, command.pattern.find(' ', 7) - 7); // After "expect ".
    const Observation observe = observations().at(question);
    Simulation &simulation = runner.world.simulation;
    const Time limit =
            simulation.now
            + (command.has("DURATION") ? command.duration("DURATION") : Duration::zero());
    while (!allows(command.word("VALUE"), observe(runner, command)) && simulation.runNext(limit)) {
    }
    const std::string seen = observe(runner, command);
    if (!allows(command.word("VALUE"), seen))
        runner.failures.push_back(fmt::format("line {}: {} is {}, expected {}", command.line,
                                              question, seen, command.word("VALUE")));
}

// The longest entry that the pattern starts with, so that "store slow" goes before "store".
void run(Runner &runner, const Command &command)
{
    if (command.pattern.starts_with("expect "))
        return expect(runner, command);
    for (auto entry = handlers().rbegin(); entry != handlers().rend(); ++entry) {
        if (command.pattern.starts_with(entry->first))
            return entry->second(runner, command);
    }
    throw std::logic_error("no handler for " + command.pattern);
}

} // namespace

Run runScenario(const std::vector<Command> &commands, std::uint64_t seed, const std::string &root)
{
    Runner runner{World(seed), root, nullptr, {}, {}};
    for (const Command &command : commands) {
        try {
            run(runner, command);
        } catch (const std::out_of_range &) {
            runner.failures.push_back(
                    fmt::format("line {}: names a part that does not exist", command.line));
        }
    }
    for (const auto &[key, row] : runner.world.store.rows) {
        if (key.starts_with(codec::auditRowPrefix))
            runner.world.simulation.record(key + " " + row.value);
    }
    checkPromises(runner.world);
    for (const std::string &violation : runner.world.violations)
        runner.failures.push_back("promise: " + violation);
    return {runner.failures, runner.world.simulation.transcript};
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace scenario
