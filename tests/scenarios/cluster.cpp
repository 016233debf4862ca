#include "cluster.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace scenario {
namespace {

constexpr Duration minLocalLatency = std::chrono::microseconds(200);
constexpr Duration minCrossDataCentreLatency = std::chrono::microseconds(1500);
constexpr Duration minClientLatency = std::chrono::milliseconds(3);
constexpr Duration minQueueDelay = std::chrono::microseconds(20);
constexpr Duration controlPeriod = std::chrono::seconds(1);
constexpr Duration dispatchPeriod = std::chrono::milliseconds(10);
constexpr Duration reportPeriod = std::chrono::seconds(1);
constexpr int timerJitterDivisor = 20;
constexpr Duration rolloutPeriod = std::chrono::milliseconds(500);

} // namespace

Cluster::Cluster(std::uint64_t seed) : simulation(seed), store{this->simulation}
{
    this->client.name = "client";
    this->vmListHistory[Time::min()] = {};
}

void Cluster::addNode(const std::string &name, const std::string &dataCentre)
{
    auto node = std::make_unique<NodeProcess>();
    node->name = name;
    node->dataCentre = dataCentre;
    node->incarnation = 0;
    for (const auto &[other, process] : this->nodes)
        node->seeds.push_back(other);
    this->nodes[name] = std::move(node);
    this->start(name);
}

void Cluster::addTarget(const std::string &name, const std::string &service,
                        const std::string &dataCentre)
{
    auto process = std::make_unique<TargetProcess>();
    process->name = name;
    process->dataCentre = dataCentre;
    process->target = core::Target{{name}, {service}, name, dataCentre, false};
    std::vector<core::Target> targetList = this->vmListHistory.rbegin()->second;
    targetList.push_back(process->target);
    this->vmListHistory[this->simulation.now] = targetList;
    this->targets[name] = std::move(process);
}

void Cluster::start(const std::string &name)
{
    Process &process = this->process(name);
    ++process.incarnation;
    process.alive = true;
    process.paused = false;
    process.deferredEvents.clear();
    this->simulation.record(fmt::format("{} starts", name));
    const auto position = this->nodes.find(name);
    if (position == this->nodes.end())
        return;
    NodeProcess &node = *position->second;
    node.self = core::Node{{name}, name, node.dataCentre, node.incarnation};
    core::ControlSettings settings;
    settings.self = node.self;
    settings.seeds = node.seeds;
    node.control = core::makeControlState(settings);
    node.dispatch =
            core::makeDispatchState(node.self.id, fmt::format("{}-{}", name, node.incarnation));
    node.drained = false;
    node.rollout =
            core::makeRolloutState(node.self.id, fmt::format("{}-{}", name, node.incarnation));
    node.highestAppliedVersion = {};
    this->startTimers(node);
}

void Cluster::kill(const std::string &name)
{
    Process &process = this->process(name);
    process.alive = false;
    process.deferredEvents.clear();
    this->simulation.record(fmt::format("{} is killed", name));
    const auto abortCallbacks = std::exchange(process.abortCallbacks, {});
    for (const std::function<void()> &abortExchange : abortCallbacks)
        abortExchange();
}

void Cluster::stop(const std::string &name)
{
    this->simulation.record(fmt::format("{} is asked to stop", name));
    NodeProcess &process = this->node(name);
    this->post(process, process.incarnation, [this, &process] {
        this->deliver(process, core::DispatchEvent{core::DispatchDraining{}});
    });
}

void Cluster::pause(const std::string &name)
{
    this->process(name).paused = true;
    this->simulation.record(fmt::format("{} is paused", name));
}

void Cluster::resume(const std::string &name)
{
    Process &process = this->process(name);
    process.paused = false;
    this->simulation.record(fmt::format("{} is resumed", name));
    const auto deferred = std::exchange(process.deferredEvents, {});
    for (const std::function<void()> &event : deferred)
        event();
}

void Cluster::markLeaving(const std::string &target)
{
    std::vector<core::Target> targetList = this->vmListHistory.rbegin()->second;
    for (core::Target &candidate : targetList)
        candidate.leaving = candidate.leaving || candidate.id.value == target;
    this->vmListHistory[this->simulation.now] = targetList;
    this->simulation.record(fmt::format("{} is leaving", target));
}

void Cluster::partition(const std::string &first, const std::string &second)
{
    this->partitions.insert(std::minmax(first, second));
    this->simulation.record(fmt::format("{} and {} lose each other", first, second));
}

void Cluster::heal(const std::string &first, const std::string &second)
{
    this->partitions.erase(std::minmax(first, second));
    this->simulation.record(fmt::format("{} and {} meet again", first, second));
}

NodeProcess &Cluster::node(const std::string &name)
{
    return *this->nodes.at(name);
}

TargetProcess &Cluster::target(const std::string &name)
{
    return *this->targets.at(name);
}

Process &Cluster::process(const std::string &name)
{
    const auto node = this->nodes.find(name);
    if (node != this->nodes.end())
        return *node->second;
    return *this->targets.at(name);
}

std::uint64_t Cluster::runCount(const std::string &identity) const
{
    std::uint64_t runs = 0;
    for (const auto &[name, target] : this->targets) {
        const auto entry = target->runCounts.find(identity);
        runs += entry == target->runCounts.end() ? 0 : entry->second;
    }
    return runs;
}

bool Cluster::isPartitioned(const Process &from, const Process &to) const
{
    return this->partitions.contains(std::minmax(from.name, to.name))
           || this->partitions.contains(std::minmax(from.dataCentre, to.dataCentre));
}

Duration Cluster::latency(const Process &from, const Process &to)
{
    if (from.dataCentre.empty() || to.dataCentre.empty())
        return this->simulation.jitter(minClientLatency);
    return this->simulation.jitter(from.dataCentre == to.dataCentre ? minLocalLatency
                                                                    : minCrossDataCentreLatency);
}

void Cluster::post(Process &process, std::uint64_t incarnation, std::function<void()> event)
{
    if (!process.alive || process.incarnation != incarnation)
        return;
    if (process.paused)
        process.deferredEvents.push_back(std::move(event));
    else
        event();
}

// Drops an answer that arrives after the failure was reported, as the HTTP client does.
void Cluster::sendRequest(Process &from, const std::string &to, Time deadline, Exchange exchange)
{
    auto isFinished = std::make_shared<bool>(false);
    const auto finish = [this, isFinished, &from,
                         incarnation = from.incarnation](std::function<void()> deliver) {
        if (std::exchange(*isFinished, true))
            return;
        this->post(from, incarnation, std::move(deliver));
    };
    const auto fail = [finish, failed = std::move(exchange.onFailure)](ExchangeFailure failure) {
        finish([failed, failure] { failed(failure); });
    };
    this->simulation.scheduleAt(deadline, [fail] { fail(ExchangeFailure::AnswerLost); });
    Process &destination = this->process(to);
    const auto arrive = [this, &from, &destination, finish, fail,
                         serve = std::move(exchange.handleRequest)] {
        if (this->isPartitioned(from, destination))
            return;
        if (!destination.alive)
            return fail(ExchangeFailure::NotSent);
        destination.abortCallbacks.push_back([fail] { fail(ExchangeFailure::AnswerLost); });
        const Responder respond = [this, &from, &destination,
                                   finish](const std::function<void()> &deliver) {
            this->simulation.scheduleAfter(this->latency(destination, from),
                                           [this, &from, &destination, finish, deliver] {
                                               if (!this->isPartitioned(destination, from))
                                                   finish(deliver);
                                           });
        };
        this->post(destination, destination.incarnation, [serve, respond] { serve(respond); });
    };
    this->simulation.scheduleAfter(this->latency(from, destination), arrive);
}

// Performs the actions after a delay, so that a process can be frozen or killed between a decision
// and its effect. A node performs the actions of a duty on one thread, so they keep their order
// here.
template<typename Event, typename State>
void Cluster::processEvent(NodeProcess &node, State &state, Outbox &outbox, const Event &event)
{
    auto actions = core::step(state, event, this->simulation.now);
    if (actions.empty())
        return;
    outbox.push_back([this, &node, incarnation = node.incarnation, actions = std::move(actions)] {
        this->post(node, incarnation, [this, &node, actions] {
            for (const auto &action : actions)
                std::visit([&](const auto &content) { perform(*this, node, content); }, action);
        });
    });
    // The random delays can expire in any order; each takes the oldest entry of the outbox.
    this->simulation.scheduleAfter(this->simulation.jitter(minQueueDelay), [&outbox] {
        const auto next = std::move(outbox.front());
        outbox.pop_front();
        next();
    });
}

void Cluster::deliver(NodeProcess &node, const core::ControlEvent &event)
{
    this->processEvent(node, node.control, node.controlOutbox, event);
    const core::ConfigurationVersion version = core::versionInForce(node.control);
    if (version < node.highestAppliedVersion)
        this->violations.push_back(node.name + " reverted to an older configuration");
    node.highestAppliedVersion = std::max(node.highestAppliedVersion, version);
}

void Cluster::deliver(NodeProcess &node, const core::DispatchEvent &event)
{
    this->processEvent(node, node.dispatch, node.dispatchOutbox, event);
}

void Cluster::deliver(NodeProcess &node, const core::RolloutEvent &event)
{
    this->processEvent(node, node.rollout, node.rolloutOutbox, event);
}

// A frozen process skips ticks, as the timer service does if the ring of a duty is full.
void Cluster::runPeriodically(NodeProcess &node, std::uint64_t incarnation, Duration period,
                              std::function<void()> tick)
{
    if (!node.alive || node.incarnation != incarnation)
        return;
    if (!node.paused)
        tick();
    const Duration delay = period - this->simulation.jitter(period / timerJitterDivisor);
    this->simulation.scheduleAfter(delay,
                                   [this, &node, incarnation, period, tick = std::move(tick)] {
                                       this->runPeriodically(node, incarnation, period, tick);
                                   });
}

void Cluster::startTimers(NodeProcess &node)
{
    this->runPeriodically(node, node.incarnation, controlPeriod, [this, &node] {
        this->deliver(node, core::ControlEvent{core::ControlTick{}});
    });
    this->runPeriodically(node, node.incarnation, dispatchPeriod, [this, &node] {
        this->deliver(node, core::DispatchEvent{core::DispatchTick{this->simulation.wallNow()}});
    });
    this->runPeriodically(node, node.incarnation, reportPeriod,
                          [this, &node] { this->deliverEngineReports(node); });
    this->runPeriodically(node, node.incarnation, rolloutPeriod, [this, &node] {
        this->deliver(node, core::RolloutEvent{core::RolloutTick{}});
    });
}

// Delivers the current reports of all running engines. Between two deliveries, a node decides on
// reports that may be outdated.
void Cluster::deliverEngineReports(NodeProcess &node)
{
    auto reports = std::make_shared<core::EngineReports>();
    for (const auto &[name, target] : this->targets) {
        if (!target->alive || target->paused)
            continue;
        core::EngineReport report;
        report.target = target->target.id;
        report.version = core::WeightVersion{target->weightVersions.rbegin()->second};
        report.incarnation = fmt::format("{}.{}", name, target->incarnation);
        report.receivedAt = this->simulation.now;
        reports->reports.push_back(report);
    }
    this->deliver(node, core::RolloutEvent{core::RolloutEnginesChanged{reports}});
}

} // namespace scenario
