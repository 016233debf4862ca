#pragma once

#include "attempt_relay.hpp"
#include "batch_memory.hpp"
#include "shared_tables.hpp"
#include "store_link.hpp"

#include <geraniumpulley/core/batch/batch_duty.hpp>
#include <geraniumpulley/core/entry/entry.hpp>
#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/core/leader/leader.hpp>
#include <geraniumpulley/core/limits/rate_limiter.hpp>
#include <geraniumpulley/net/http_client.hpp>
#include <geraniumpulley/net/http_server.hpp>
#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/runtime/duty.hpp>
#include <geraniumpulley/runtime/latch.hpp>
#include <geraniumpulley/runtime/log.hpp>
#include <geraniumpulley/runtime/metrics.hpp>
#include <geraniumpulley/runtime/timer_service.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace geraniumpulley::entry {

/// Capacity of the ring of each decision thread, in messages.
inline constexpr std::size_t decisionRingCapacity = 4096;

/// The latest directory, as published by the fleet duty and read by the threads of the HTTP
/// servers.
class SharedDirectory
{
public:
    [[nodiscard]] core::DirectoryPointer get() const
    {
        const std::lock_guard lock(this->mutex);
        return this->directory;
    }

    void set(core::DirectoryPointer newDirectory)
    {
        const std::lock_guard lock(this->mutex);
        this->directory = std::move(newDirectory);
    }

private:
    mutable std::mutex mutex;
    core::DirectoryPointer directory;
};

/// The schedules of the targets whose requests this node limits, for its own duties and for other
/// nodes.
class SharedRateLimiter
{
public:
    core::PermitGrant grant(const core::PermitRequest &request, core::Time now)
    {
        const std::lock_guard lock(this->mutex);
        return core::grantPermits(this->limiter, request, now);
    }

private:
    std::mutex mutex;
    core::RateLimiter limiter;
};

/// The parts that the duties of one process share: network clients and servers, the timer, the log
/// and the metrics.
///
/// A decision thread never blocks on the ring of a part, while a part may block on the ring of a
/// decision thread, so rings cannot deadlock. The call duty may block on the rings of the batch
/// and fleet duties, which block on no other ring, and only tries to push to that of the leader
/// duty. When a decision ring is full, client requests are rejected as not run, ticks are skipped,
/// and results of requests wait, because they must not be lost.
struct Parts
{
    runtime::Logger logger;
    runtime::Metrics metrics;
    SharedDirectory directory;
    SharedTables tables;
    SharedRateLimiter rateLimiter;
    BatchMemory batchMemory;
    runtime::Duty<core::FleetEvent> fleet{decisionRingCapacity};
    runtime::Duty<core::EntryEvent> calls{decisionRingCapacity};
    runtime::Duty<core::BatchEvent> batches{decisionRingCapacity};
    runtime::Duty<core::LeaderEvent> leader{decisionRingCapacity};
    bool hasLeaderDuty = false; ///< Whether `leader` runs; does not change while duties run.
    std::unique_ptr<net::HttpClient> targetClient; ///< Sends client calls and scoring requests.
    std::unique_ptr<net::HttpClient> engineClient; ///< Sends batch items and weight orders.
    std::unique_ptr<net::HttpClient> storeClient;
    std::unique_ptr<net::PeerLink> peerLink;
    std::unique_ptr<StoreLink> storeLink;
    std::unique_ptr<AttemptRelay> attemptRelay;
    std::unique_ptr<net::HttpServer> callerServer;
    std::unique_ptr<net::HttpServer> readinessServer;
    std::unique_ptr<net::HttpServer> metricsServer;
    std::unique_ptr<runtime::TimerService> timer;
    std::atomic<bool> isDraining = false; ///< Whether the node is stopping and not ready.
    runtime::Latch batchesDrained; ///< Set when this node owns no batch any more.
};

} // namespace geraniumpulley::entry
