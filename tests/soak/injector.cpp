#include "injector.hpp"

#include <geraniumpulley/runtime/clock.hpp>

#include <fmt/format.h>

#include <csignal>
#include <iostream>
#include <optional>
#include <thread>

namespace soak {
namespace {

using geraniumpulley::runtime::now;
using std::chrono::milliseconds;

// Time allowed from the stop signal to the exit: the 8 s of `stop_limit_ms` in the settings of the
// nodes, and 5 s for the longest freeze that may overlap with them.
constexpr milliseconds stopTimeout(8000 + 5000);
constexpr milliseconds exitCheckPeriod(100);
constexpr milliseconds writeTimeout(5000);

std::optional<LinkFault> linkFaultOf(FaultKind kind)
{
    switch (kind) {
    case FaultKind::DelayLink:
        return LinkFault::Delayed;
    case FaultKind::StallLink:
        return LinkFault::Stalled;
    case FaultKind::StallLinkToServer:
        return LinkFault::StalledToServer;
    case FaultKind::RefuseConnections:
        return LinkFault::Refusing;
    case FaultKind::CutAnswers:
        return LinkFault::CuttingAnswers;
    case FaultKind::TrickleAnswers:
        return LinkFault::TricklingAnswers;
    case FaultKind::RepeatAnswers:
        return LinkFault::RepeatingAnswers;
    default:
        return std::nullopt;
    }
}

geraniumpulley::net::HttpRequest makePost(const std::string &address, const std::string &target,
                                          std::string body)
{
    geraniumpulley::net::HttpRequest request;
    request.address = address;
    request.method = "POST";
    request.target = target;
    request.contentType = "application/json";
    request.body = std::move(body);
    request.deadline = now() + writeTimeout;
    return request;
}

} // namespace

Injector::Injector(live::PlatformFleet &fleet, Proxies &proxies, Load &load, ClientHistory &history)
    : fleet(fleet), proxies(proxies), load(load), history(history),
      operatorCaller(std::move(geraniumpulley::net::HttpClient::create({}).value())),
      storeAddress(fleet.addresses.at("store"))
{
}

void Injector::run(const std::vector<Fault> &faults)
{
    const Time startedAt = now();
    for (const Fault &fault : faults) {
        this->scheduledActions.emplace(startedAt + fault.startsAfter,
                                       [this, fault] { this->apply(fault); });
        if (fault.duration > Duration{})
            this->scheduledActions.emplace(startedAt + fault.startsAfter + fault.duration,
                                           [this, fault] { this->revert(fault); });
    }
    while (!this->scheduledActions.empty()) {
        const auto next = this->scheduledActions.extract(this->scheduledActions.begin());
        std::this_thread::sleep_until(next.key());
        next.mapped()();
    }
    for (const std::string &node : this->fleet.nodes)
        this->fleet.process(node).signal(SIGCONT);
}

void Injector::apply(const Fault &fault)
{
    std::cout << formatFault(fault) << std::endl;
    if (const auto linkFault = linkFaultOf(fault.kind))
        return this->proxies.setFault(fault.subject, *linkFault);
    switch (fault.kind) {
    case FaultKind::KillNode:
        this->killedNodes.insert(fault.subject);
        return this->fleet.process(fault.subject).signal(SIGKILL);
    case FaultKind::StopNode:
        this->stoppingNodes.insert(fault.subject);
        return this->fleet.process(fault.subject).signal(SIGTERM);
    case FaultKind::HangUpNode:
        return this->fleet.process(fault.subject).signal(SIGHUP);
    case FaultKind::ResetLink:
        return this->proxies.reset(fault.subject);
    case FaultKind::ChangeRouting:
        return this->changeRouting();
    case FaultKind::PublishWeights:
        return this->publishWeights();
    case FaultKind::RefuseRequests:
        return this->refuseRequests(fault.subject);
    default:
        return this->fleet.process(fault.subject).signal(SIGSTOP);
    }
}

void Injector::revert(const Fault &fault)
{
    if (linkFaultOf(fault.kind))
        return this->proxies.setFault(fault.subject, LinkFault::None);
    if (fault.kind == FaultKind::KillNode || fault.kind == FaultKind::StopNode)
        return this->restart(fault.subject, now() + stopTimeout);
    this->fleet.process(fault.subject).signal(SIGCONT);
}

// Does nothing for a running node that was sent no SIGTERM or SIGKILL: another fault has restarted
// it.
void Injector::restart(const std::string &node, Time deadline)
{
    int status = 0;
    if (!this->fleet.process(node).hasEnded(status)) {
        if (!this->stoppingNodes.contains(node) && !this->killedNodes.contains(node))
            return;
        if (now() < deadline) {
            this->scheduledActions.emplace(now() + exitCheckPeriod, [this, node, deadline] {
                this->restart(node, deadline);
            });
            return;
        }
        this->history.recordViolation(node + " did not exit before the stop timeout");
        this->killedNodes.insert(node);
        this->fleet.process(node).signal(SIGKILL);
        this->fleet.waitFor([&] { return this->fleet.process(node).hasEnded(status); });
    }
    this->recordExit(node, status);
    this->fleet.startNode(node);
    this->proxies.setServer("door/" + node, this->fleet.addresses.at(node + "/callers"));
}

void Injector::recordExit(const std::string &node, int status)
{
    constexpr int sigkillStatus = 128 + SIGKILL;
    const bool wasKilled = this->killedNodes.erase(node) > 0;
    this->stoppingNodes.erase(node);
    if (status != 0 && !(wasKilled && status == sigkillStatus))
        this->history.recordViolation(
                fmt::format("{} exited unexpectedly with status {}", node, status));
}

void Injector::changeRouting()
{
    if (!this->writeInFlight)
        this->writeRow("config", live::makeRoutingTable(++this->routingVersion));
}

void Injector::publishWeights()
{
    if (this->writeInFlight)
        return;
    ++this->weightVersion;
    this->load.setNewestVersion(this->weightVersion);
    this->writeRow("version/m",
                   fmt::format(R"({{"model":"m","version":{}}})", this->weightVersion));
}

// The next requests at a worker are refused, those that take a stream up among them.
void Injector::refuseRequests(const std::string &worker)
{
    geraniumpulley::net::HttpRequest request =
            makePost(this->fleet.addresses.at(worker), "/_worker", R"({"refusals": 5})");
    request.done = [](geraniumpulley::net::HttpResult &&) {};
    this->operatorCaller->send(std::move(request));
}

// Does not wait for the answer, because another fault may have frozen the store.
void Injector::writeRow(const std::string &key, const std::string &content)
{
    this->writeInFlight = true;
    geraniumpulley::net::HttpRequest request = makePost(
            this->storeAddress, "/-/rows-tx", live::makeRowTransaction("op", key, content));
    request.done = [this](geraniumpulley::net::HttpResult &&result) {
        const bool isWritten = result.failure == geraniumpulley::net::SendFailure::None;
        this->history.incrementCounter(isWritten ? "rows_written" : "rows_not_written");
        this->writeInFlight = false;
    };
    this->operatorCaller->send(std::move(request));
}

} // namespace soak
