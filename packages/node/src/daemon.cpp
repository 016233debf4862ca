#include <geraniumpulley/node/daemon.hpp>

#include "control_duty.hpp"
#include "dispatch_duty.hpp"
#include "engines_duty.hpp"
#include "parts.hpp"
#include "rollout_duty.hpp"
#include "routes.hpp"

#include <geraniumpulley/runtime/clock.hpp>
#include <geraniumpulley/runtime/timer_service.hpp>

#include <boost/outcome/try.hpp>
#include <fmt/format.h>

#include <functional>
#include <future>
#include <optional>
#include <string>
#include <utility>

namespace geraniumpulley::node {
namespace {

using runtime::field;

constexpr core::Duration answerFlushTimeout = std::chrono::seconds(2);
constexpr core::Duration dispatchTickPeriod = std::chrono::milliseconds(10);
constexpr core::Duration leaseReleaseTimeout = std::chrono::seconds(3);
constexpr core::Duration rolloutTickPeriod = std::chrono::milliseconds(500);
constexpr core::Duration enginesTickPeriod = std::chrono::milliseconds(250);

// Replaces the port of an address such as "127.0.0.1:0" with the one that the system chose.
std::string withPort(const std::string &address, std::uint16_t port)
{
    return fmt::format("{}:{}", address.substr(0, address.rfind(':')), port);
}

net::PlatformClientSettings platformSettings(const Settings &settings)
{
    net::PlatformClientSettings platform;
    platform.uri = settings.platformUri;
    return platform;
}

net::PeerLinkSettings peerSettings(const Settings &settings)
{
    net::PeerLinkSettings peers;
    peers.address = settings.peersAddress;
    return peers;
}

// A process keeps no state on disk, so its start time distinguishes its incarnations.
std::uint64_t makeIncarnation()
{
    return static_cast<std::uint64_t>(runtime::wallNow().time_since_epoch().count());
}

} // namespace

struct Daemon::Implementation
{
    explicit Implementation(Settings settings)
        : settings(std::move(settings)), timer(std::hash<std::string>{}(this->settings.nodeName))
    {
    }

    // Event sources stop before the duties that consume their events. The other components are
    // destroyed only after the duties that use them have stopped.
    ~Implementation()
    {
        this->releaseLeases();
        this->timer.stop();
        this->parts.control.stop();
        this->parts.engines.stop();
        this->parts.dispatch.stop();
        this->parts.rollout.stop();
        this->parts.callerServer.reset();
        this->parts.operatorServer.reset();
        this->parts.peerLink.reset();
        this->parts.targetClient.reset();
        this->parts.platformClient.reset();
    }

    core::Result<void> start()
    {
        const core::Result<void> created = this->createComponents();
        if (!created)
            return created.error();
        const core::Node self{{this->settings.nodeName},
                              withPort(this->settings.peersAddress, this->parts.peerLink->port()),
                              this->settings.dataCentre,
                              makeIncarnation()};
        startDispatchDuty(this->parts, self);
        startRolloutDuty(this->parts, self.id);
        startEnginesDuty(this->parts, self);
        this->leasesReleased = startControlDuty(this->parts, {self, this->settings.seedAddresses});
        this->subscribeTicks();
        this->parts.logger.write("started", field("node", self.id.value),
                                 field("peers", self.address),
                                 field("callers", withPort(this->settings.callersAddress,
                                                           this->parts.callerServer->port())),
                                 field("operators", withPort(this->settings.operatorsAddress,
                                                             this->parts.operatorServer->port())));
        return boost::outcome_v2::success();
    }

    // If the store does not answer, the shards move to other nodes when the lease has expired.
    void releaseLeases()
    {
        if (!this->leasesReleased.valid())
            return;
        this->parts.control.inbox().push(core::LeaseEvent{core::LeaseReleaseRequested{}});
        if (this->leasesReleased.wait_for(leaseReleaseTimeout) != std::future_status::ready)
            this->parts.logger.write("leases_not_released");
    }

    core::Result<void> createComponents()
    {
        Parts &parts = this->parts;
        net::PlatformClientSettings clientSettings = platformSettings(this->settings);
        clientSettings.onAvailabilityChanged = [&parts](bool isAvailable) {
            parts.logger.write(isAvailable ? "store_regained" : "store_lost");
        };
        BOOST_OUTCOME_TRY(platform, net::PlatformClient::create(clientSettings));
        parts.platformClient = std::move(platform);
        BOOST_OUTCOME_TRY(targets, net::HttpClient::create({}));
        parts.targetClient = std::move(targets);
        BOOST_OUTCOME_TRY(peers, net::PeerLink::create(peerSettings(this->settings),
                                                       [&parts](net::PeerMessage &&message) {
                                                           return routePeerMessage(
                                                                   parts, std::move(message));
                                                       }));
        parts.peerLink = std::move(peers);
        BOOST_OUTCOME_TRY(callers, createServer("callers", this->settings.callersAddress,
                                                routeCallerRequest));
        parts.callerServer = std::move(callers);
        BOOST_OUTCOME_TRY(operators, createServer("operators", this->settings.operatorsAddress,
                                                  routeOperatorRequest));
        parts.operatorServer = std::move(operators);
        return boost::outcome_v2::success();
    }

    core::Result<std::unique_ptr<net::HttpServer>>
    createServer(const char *name, const std::string &address,
                 bool (*route)(Parts &, net::ServerRequest &&))
    {
        net::HttpServerSettings settings;
        settings.name = name;
        settings.address = address;
        return net::HttpServer::create(settings, [this, route](net::ServerRequest &&request) {
            return route(this->parts, std::move(request));
        });
    }

    void subscribeTicks()
    {
        this->timer.subscribe(this->settings.controlPeriod, [this] {
            static_cast<void>(this->parts.control.inbox().tryPush(core::ControlTick{}));
        });
        this->timer.subscribe(dispatchTickPeriod, [this] {
            static_cast<void>(
                    this->parts.dispatch.inbox().tryPush(core::DispatchTick{runtime::wallNow()}));
        });
        this->timer.subscribe(rolloutTickPeriod, [this] {
            static_cast<void>(this->parts.rollout.inbox().tryPush(core::RolloutTick{}));
        });
        this->timer.subscribe(enginesTickPeriod, [this] {
            static_cast<void>(this->parts.engines.inbox().tryPush(core::EnginesTick{}));
        });
    }

    Settings settings;
    Parts parts;
    std::future<void> leasesReleased;
    runtime::TimerService timer;
};

Daemon::Daemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

Daemon::~Daemon() = default;

bool Daemon::drain()
{
    Parts &parts = this->implementation->parts;
    parts.isDraining = true;
    parts.logger.write("draining");
    parts.callerServer->disableKeepAlive();
    parts.dispatch.inbox().push(core::DispatchDraining{});
    const bool callsFinished =
            parts.callsDrained.waitFor(this->implementation->settings.drainTimeout);
    // Answers that have been decided must still be written to their connections.
    const bool answersWritten = parts.callerServer->drain(answerFlushTimeout);
    parts.logger.write("drained", field("in_time", callsFinished && answersWritten));
    return callsFinished && answersWritten;
}

core::Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings)
{
    auto implementation = std::make_unique<Implementation>(settings);
    const core::Result<void> started = implementation->start();
    if (!started)
        return started.error();
    return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

} // namespace geraniumpulley::node
