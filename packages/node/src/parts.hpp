#pragma once

#include <geraniumpulley/core/calls/dispatch.hpp>
#include <geraniumpulley/core/control/control.hpp>
#include <geraniumpulley/core/engines/engines.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>
#include <geraniumpulley/net/http_caller.hpp>
#include <geraniumpulley/net/http_door.hpp>
#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/net/platform_client.hpp>
#include <geraniumpulley/runtime/duty.hpp>
#include <geraniumpulley/runtime/latch.hpp>
#include <geraniumpulley/runtime/log.hpp>
#include <geraniumpulley/runtime/metrics.hpp>

#include <atomic>
#include <memory>

namespace geraniumpulley::node {

/// Messages that each decision ring holds.
inline constexpr std::size_t decisionRingCapacity = 8192;

/// The parts that the duties of one process share.
///
/// Decision threads never block on a part's ring, and parts may block on a decision ring, so no
/// cycle of rings can stop. What each decision ring does when it is full:
/// - requests of callers, operators and peers are refused as not run (`tryPush`);
/// - results of requests wait (`push`), because nothing may be lost;
/// - ticks are left out (`tryPush`), because the next one does the same.
struct Parts
{
    runtime::Logger logger;
    runtime::Metrics metrics;
    runtime::Duty<core::ControlEvent> control{decisionRingCapacity};
    runtime::Duty<core::DispatchEvent> dispatch{decisionRingCapacity};
    runtime::Duty<core::RolloutEvent> rollout{decisionRingCapacity};
    runtime::Duty<core::EnginesEvent> engines{decisionRingCapacity};
    std::unique_ptr<net::PlatformClient> platform;
    std::unique_ptr<net::HttpCaller> targets;
    std::unique_ptr<net::PeerLink> peers;
    std::unique_ptr<net::HttpDoor> callers;
    std::unique_ptr<net::HttpDoor> operators;
    std::atomic<bool> draining = false; ///< The node stops; it is not ready any more.
    runtime::Latch callsDrained; ///< Set when no application call is under way in a drain.
};

} // namespace geraniumpulley::node
