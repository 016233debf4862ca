#pragma once

#include <geraniumpulley/core/calls/dispatch.hpp>
#include <geraniumpulley/core/control/control.hpp>
#include <geraniumpulley/core/engines/engines.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>
#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/net/http_server.hpp>
#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/net/platform_client.hpp>
#include <geraniumpulley/runtime/duty.hpp>
#include <geraniumpulley/runtime/latch.hpp>
#include <geraniumpulley/runtime/log.hpp>
#include <geraniumpulley/runtime/metrics.hpp>

#include <atomic>
#include <memory>

namespace geraniumpulley::node {

/// The capacity, in messages, of the ring of each decision duty: a duty that handles its events
/// with `core::step`.
inline constexpr std::size_t decisionRingCapacity = 8192;

/// The components that the duties of one process share.
///
/// A decision duty never blocks on the ring of a component, whereas a component may block on the
/// ring of a decision duty, so the rings cannot deadlock. When the ring of a decision duty is full:
/// - requests from callers, operators and peers are refused as not run (`tryPush`);
/// - results of requests wait (`push`), because none may be lost;
/// - ticks are skipped (`tryPush`), because the next tick has the same effect.
struct Parts
{
    runtime::Logger logger;
    runtime::Metrics metrics;
    runtime::Duty<core::ControlEvent> control{decisionRingCapacity};
    runtime::Duty<core::DispatchEvent> dispatch{decisionRingCapacity};
    runtime::Duty<core::RolloutEvent> rollout{decisionRingCapacity};
    runtime::Duty<core::EnginesEvent> engines{decisionRingCapacity};
    std::unique_ptr<net::PlatformClient> platformClient;
    std::unique_ptr<net::HttpClient> targetClient;
    std::unique_ptr<net::PeerLink> peerLink;
    std::unique_ptr<net::HttpServer> callerServer;
    std::unique_ptr<net::HttpServer> operatorServer;
    std::atomic<bool> isDraining = false; ///< Set when draining begins; the node is then not ready.
    runtime::Latch callsDrained; ///< Set once draining has begun and no call is in flight.
};

} // namespace geraniumpulley::node
