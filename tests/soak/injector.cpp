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

// From the stop signal to the exit: 8 s that the settings give a node to stop, and 5 s for the
// longest suspension that may fall into that time.
constexpr milliseconds stopTimeout(8000 + 5000);
constexpr milliseconds exitCheckPeriod(100);
constexpr milliseconds writeTimeout(5000);

std::optional<LinkFault> linkFaultOf(FaultKind kind)
{
    switch (kind) {
    case FaultKind::DelayLink:
        return LinkFault::Delayed;
    case FaultKind::SilenceLink:
        return LinkFault::Silent;
    case FaultKind::CutLinkOneWay:
        return LinkFault::OneWay;
    case FaultKind::RefuseOnLink:
        return LinkFault::Refusing;
    default:
        return std::nullopt;
    }
}

} // namespace

Injector::Injector(live::PlatformFleet &fleet, Proxies &proxies, Load &load, Ledger &history)
    : fleet(fleet), proxies(proxies), load(load), ledger(history),
      operatorCaller(std::move(geraniumpulley::net::HttpCaller::create({}).value())),
      storeAddress(fleet.addresses.at("store"))
{
}

void Injector::run(const std::vector<Fault> &faults)
{
    const Time startedAt = now();
    for (const Fault &fault : faults) {
        this->agenda.emplace(startedAt + fault.at, [this, fault] { this->apply(fault); });
        if (fault.length > Duration{})
            this->agenda.emplace(startedAt + fault.at + fault.length,
                                 [this, fault] { this->revert(fault); });
    }
    while (!this->agenda.empty()) {
        const auto next = this->agenda.extract(this->agenda.begin());
        std::this_thread::sleep_until(next.key());
        next.mapped()();
    }
    for (const std::string &node : this->fleet.nodes)
        this->fleet.process(node).signal(SIGCONT);
}

void Injector::apply(const Fault &fault)
{
    std::cout << describe(fault) << std::endl;
    if (const auto linkFault = linkFaultOf(fault.kind))
        return this->proxies.setFault(fault.subject, *linkFault);
    switch (fault.kind) {
    case FaultKind::KillNode:
        this->killed.insert(fault.subject);
        return this->fleet.process(fault.subject).signal(SIGKILL);
    case FaultKind::StopNode:
        this->stopping.insert(fault.subject);
        return this->fleet.process(fault.subject).signal(SIGTERM);
    case FaultKind::HangUpNode:
        return this->fleet.process(fault.subject).signal(SIGHUP);
    case FaultKind::ResetLink:
        return this->proxies.reset(fault.subject);
    case FaultKind::ChangeRouting:
        return this->changeRouting();
    case FaultKind::NameWeights:
        return this->nameWeights();
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

// Does nothing for a running node that was not told to stop: another fault has restarted it.
void Injector::restart(const std::string &node, Time deadline)
{
    int status = 0;
    if (!this->fleet.process(node).hasEnded(status)) {
        if (!this->stopping.contains(node))
            return;
        if (now() < deadline) {
            this->agenda.emplace(now() + exitCheckPeriod,
                                 [this, node, deadline] { this->restart(node, deadline); });
            return;
        }
        this->ledger.violate(node + " did not exit before the stop timeout");
        this->killed.insert(node);
        this->fleet.process(node).signal(SIGKILL);
        this->fleet.waitFor([&] { return this->fleet.process(node).hasEnded(status); });
    }
    this->noteEnd(node, status);
    this->fleet.startNode(node);
    this->proxies.connect("door/" + node, this->fleet.addresses.at(node + "/callers"));
}

void Injector::noteEnd(const std::string &node, int status)
{
    constexpr int sigkillStatus = 128 + SIGKILL;
    const bool wasKilled = this->killed.erase(node) > 0;
    this->stopping.erase(node);
    if (status != 0 && !(wasKilled && status == sigkillStatus))
        this->ledger.violate(fmt::format("{} exited unexpectedly with status {}", node, status));
}

void Injector::changeRouting()
{
    if (!this->writing)
        this->writeRow("config", live::routingText(++this->routingVersion));
}

void Injector::nameWeights()
{
    if (this->writing)
        return;
    ++this->weightVersion;
    this->load.noteVersion(this->weightVersion);
    this->writeRow("version/m",
                   fmt::format(R"({{"model":"m","version":{}}})", this->weightVersion));
}

// Does not wait for the answer, because the store may be suspended by another fault.
void Injector::writeRow(const std::string &key, const std::string &content)
{
    this->writing = true;
    geraniumpulley::net::HttpRequest request;
    request.address = this->storeAddress;
    request.method = "POST";
    request.target = "/-/rows-tx";
    request.contentType = "application/json";
    request.body = live::rowTransaction("op", key, content);
    request.deadline = now() + writeTimeout;
    request.done = [this](geraniumpulley::net::HttpResult &&result) {
        const bool isWritten = result.failure == geraniumpulley::net::SendFailure::None;
        this->ledger.count(isWritten ? "rows_written" : "rows_not_written");
        this->writing = false;
    };
    this->operatorCaller->send(std::move(request));
}

} // namespace soak
