#include <geraniumpulley/entry/daemon.hpp>

#include "duties.hpp"
#include "parts.hpp"
#include "routes.hpp"

#include <geraniumpulley/core/limits/memory_budget.hpp>
#include <geraniumpulley/core/planned_stop.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

constexpr std::size_t ringCapacity = 1024;

net::HttpClientSettings clientSettings(const char *name, std::size_t responseBytes)
{
    net::HttpClientSettings settings;
    settings.name = name;
    settings.ringCapacity = ringCapacity;
    settings.maxBufferedBytes = responseBytes;
    return settings;
}

std::vector<std::string> otherSeeds(const Settings &settings)
{
    std::vector<std::string> seeds = settings.seedAddresses;
    std::erase(seeds, settings.peersAddress);
    return seeds;
}

// Replaces the port of an address such as "127.0.0.1:0" by the one that the system assigned.
std::string withPort(const std::string &address, std::uint16_t port)
{
    return fmt::format("{}:{}", address.substr(0, address.rfind(':')), port);
}

// A process has no persistent storage, so its start time distinguishes it from earlier ones.
std::uint64_t makeIncarnation()
{
    return static_cast<std::uint64_t>(runtime::wallNow().time_since_epoch().count());
}

core::Duration timeUntil(core::Time time)
{
    return std::max(core::Duration{}, time - runtime::now());
}

const core::FleetTarget *findByAddress(const core::Directory &directory, const std::string &address)
{
    const auto position =
            std::find_if(directory.targets->begin(), directory.targets->end(),
                         [&](const auto &entry) { return entry.second.target.address == address; });
    return position == directory.targets->end() ? nullptr : &position->second;
}

// A peer may not know yet that a target leaves. One that this node does not know is left to the
// peer's choice.
RelayedTargets relayedTargets(Parts &parts)
{
    return {[&parts](const std::string &address) {
                const core::DirectoryPointer directory = parts.directory.get();
                const core::FleetTarget *target =
                        directory ? findByAddress(*directory, address) : nullptr;
                return target == nullptr || !target->target.leaving;
            },
            [&parts](const std::string &address, const net::HttpResult &result) {
                const core::DirectoryPointer directory = parts.directory.get();
                if (const auto *target = directory ? findByAddress(*directory, address) : nullptr)
                    noteLeaving(parts, target->target.id, result.status, result.headers);
            }};
}

} // namespace

struct Daemon::Implementation
{
    explicit Implementation(Settings settings)
        : settings(std::move(settings)), budget(core::makeMemoryBudget(this->settings.memoryBytes))
    {
    }

    // Stops the threads of all parts before any part is destroyed, because parts call each other.
    ~Implementation()
    {
        Parts &parts = this->parts;
        if (parts.timer)
            parts.timer->stop();
        for (const auto *server :
             {&parts.callerServer, &parts.readinessServer, &parts.metricsServer})
            stopPart(*server);
        for (const auto *client : {&parts.targetClient, &parts.engineClient, &parts.storeClient})
            stopPart(*client);
        stopPart(parts.peerLink);
        parts.fleet.stop();
        parts.calls.stop();
        parts.batches.stop();
        parts.leader.stop();
    }

    template<typename Part>
    static void stopPart(const std::unique_ptr<Part> &part)
    {
        if (part)
            part->stop();
    }

    core::Result<void> start()
    {
        Parts &parts = this->parts;
        parts.batchMemory.setLimit(this->budget.batches);
        const std::uint64_t incarnation = makeIncarnation();
        parts.timer = std::make_unique<runtime::TimerService>(incarnation);
        BOOST_OUTCOME_TRY(this->openClients(incarnation));
        const core::Node self{{this->settings.nodeName},
                              withPort(this->settings.peersAddress, parts.peerLink->port()),
                              this->settings.dataCentre,
                              incarnation};
        BOOST_OUTCOME_TRY(this->openServers());
        if (!this->settings.providerAddress.empty()) {
            parts.hasLeaderDuty = true;
            startLeaderDuty(parts, self, this->settings);
        }
        startCallDuty(parts, std::hash<std::string>{}(self.id.value) ^ self.incarnation);
        startBatchDuty(parts, self);
        startFleetDuty(parts, self, this->settings);
        parts.logger.write(
                "started", field("node", self.id.value), field("incarnation", self.incarnation),
                field("callers",
                      withPort(this->settings.callersAddress, parts.callerServer->port())),
                field("readiness",
                      withPort(this->settings.readinessAddress, parts.readinessServer->port())),
                field("peers", self.address), field("store", this->settings.storeAddress),
                field("request_memory", this->budget.requests));
        return boost::outcome_v2::success();
    }

    core::Result<void> openClients(std::uint64_t incarnation)
    {
        Parts &parts = this->parts;
        BOOST_OUTCOME_TRY(targets, net::HttpClient::create(clientSettings(
                                           "targets", this->budget.targetResponses)));
        parts.targetClient = std::move(targets);
        BOOST_OUTCOME_TRY(engines, net::HttpClient::create(clientSettings(
                                           "engines", this->budget.engineResponses)));
        parts.engineClient = std::move(engines);
        BOOST_OUTCOME_TRY(store, net::HttpClient::create(
                                         clientSettings("store", this->budget.storeResponses)));
        parts.storeClient = std::move(store);
        net::PeerLinkSettings peerSettings;
        peerSettings.address = this->settings.peersAddress;
        peerSettings.ringCapacity = ringCapacity;
        BOOST_OUTCOME_TRY(peers,
                          net::PeerLink::create(peerSettings, [&parts](net::PeerMessage &&message) {
                              return routePeerMessage(parts, std::move(message));
                          }));
        parts.peerLink = std::move(peers);
        parts.attemptRelay = std::make_unique<AttemptRelay>(
                *parts.targetClient, *parts.peerLink, parts.metrics,
                fmt::format("{}/{}", this->settings.nodeName, incarnation), relayedTargets(parts));
        parts.storeLink = std::make_unique<StoreLink>(
                StoreLinkParts{*parts.storeClient, *parts.peerLink, parts.logger, parts.metrics},
                this->settings.storeAddress, otherSeeds(this->settings));
        return boost::outcome_v2::success();
    }

    core::Result<void> openServers()
    {
        Parts &parts = this->parts;
        net::HttpServerSettings serverSettings;
        serverSettings.name = "callers";
        serverSettings.address = this->settings.callersAddress;
        serverSettings.maxRequestBytes = this->budget.requests;
        serverSettings.maxUnreadBytes = this->budget.unreadResponses;
        BOOST_OUTCOME_TRY(callers, net::HttpServer::create(
                                           serverSettings,
                                           [&parts](net::ServerRequest &&request) {
                                               return routeClientRequest(parts, std::move(request));
                                           },
                                           [&parts](core::ReplyToken token) {
                                               onClientDisconnected(parts, token);
                                           }));
        parts.callerServer = std::move(callers);
        BOOST_OUTCOME_TRY(readiness,
                          this->openMonitoringServer("readiness", this->settings.readinessAddress,
                                                     routeReadinessRequest));
        parts.readinessServer = std::move(readiness);
        if (this->settings.metricsAddress.empty())
            return boost::outcome_v2::success();
        BOOST_OUTCOME_TRY(metrics,
                          this->openMonitoringServer("metrics", this->settings.metricsAddress,
                                                     routeMetricsRequest));
        parts.metricsServer = std::move(metrics);
        return boost::outcome_v2::success();
    }

    core::Result<std::unique_ptr<net::HttpServer>>
    openMonitoringServer(const char *name, const std::string &address,
                         bool (*route)(Parts &, const net::ServerRequest &))
    {
        constexpr std::size_t maxMonitoringConnections = 32;
        net::HttpServerSettings serverSettings;
        serverSettings.name = name;
        serverSettings.address = address;
        serverSettings.maxConnections = maxMonitoringConnections;
        return net::HttpServer::create(serverSettings, [this, route](net::ServerRequest &&request) {
            return route(this->parts, request);
        });
    }

    Settings settings;
    const core::MemoryBudget budget;
    Parts parts;
};

Daemon::Daemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

Daemon::~Daemon() = default;

core::Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings)
{
    auto implementation = std::make_unique<Implementation>(settings);
    const core::Result<void> started = implementation->start();
    if (!started)
        return started.error();
    return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

void Daemon::reload(const Settings &settings)
{
    Parts &parts = this->implementation->parts;
    Settings &current = this->implementation->settings;
    current.seedAddresses = settings.seedAddresses;
    current.stopTimeout = settings.stopTimeout;
    parts.storeLink->setSeeds(otherSeeds(current));
    parts.logger.write("settings_reloaded", field("seeds", current.seedAddresses.size()),
                       field("stop_limit_ms", current.stopTimeout.count() / 1000),
                       field("unchanged", current == settings));
}

bool Daemon::drain()
{
    Parts &parts = this->implementation->parts;
    const core::Duration stopTimeout = this->implementation->settings.stopTimeout;
    const core::StopSchedule schedule = core::makeStopSchedule(runtime::now(), stopTimeout);
    parts.isDraining = true;
    parts.logger.write("draining", field("stop_limit_ms", stopTimeout.count() / 1000));
    parts.callerServer->disableKeepAlive();
    parts.attemptRelay->drain(schedule.answersDueAt);
    parts.storeLink->drainRelays(schedule.exitsAt);
    parts.calls.inbox().push(core::EntryDraining{schedule.answersDueAt});
    parts.fleet.inbox().push(core::FleetDraining{});
    parts.batches.inbox().push(core::BatchDraining{schedule.answersDueAt});
    if (parts.hasLeaderDuty)
        parts.leader.inbox().push(core::LeaderDraining{});
    // All parts finish beside each other; the waits below only observe them, up to one deadline.
    runtime::Latch neverSet;
    neverSet.waitFor(timeUntil(schedule.listenerClosesAt));
    const bool written = parts.callerServer->drain(timeUntil(schedule.exitsAt));
    const bool relayed = parts.attemptRelay->waitUntilIdle(timeUntil(schedule.exitsAt))
                         && parts.peerLink->flush(timeUntil(schedule.exitsAt));
    const bool handedOver = parts.batchesDrained.waitFor(timeUntil(schedule.exitsAt));
    parts.logger.write("drained", field("handed_over", handedOver), field("written", written),
                       field("relayed", relayed));
    return handedOver && written && relayed;
}

} // namespace geraniumpulley::entry
