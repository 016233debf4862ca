#pragma once

#include "store_link.hpp"

#include <geraniumpulley/codec/batch_rows.hpp>
#include <geraniumpulley/core/batch/batch_duty.hpp>
#include <geraniumpulley/core/entry/entry.hpp>
#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/net/http_caller.hpp>
#include <geraniumpulley/net/http_door.hpp>
#include <geraniumpulley/net/peer_link.hpp>
#include <geraniumpulley/runtime/duty.hpp>
#include <geraniumpulley/runtime/latch.hpp>
#include <geraniumpulley/runtime/log.hpp>
#include <geraniumpulley/runtime/metrics.hpp>
#include <geraniumpulley/runtime/timer_service.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace geraniumpulley::entry {

/// Messages that each decision ring holds.
inline constexpr std::size_t decisionRingCapacity = 4096;

/// The picture of the directory that the door's thread reads.
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

/// The tables as this node last read them whole, for nodes that cannot read them.
class SharedTables
{
public:
    void set(core::FleetTable table, std::vector<codec::RowCopy> rows)
    {
        const std::lock_guard lock(this->mutex);
        this->tables[table] = std::move(rows);
    }

    [[nodiscard]] std::vector<codec::RowCopy> all() const
    {
        const std::lock_guard lock(this->mutex);
        std::vector<codec::RowCopy> rows;
        for (const auto &[table, some] : this->tables)
            rows.insert(rows.end(), some.begin(), some.end());
        return rows;
    }

private:
    mutable std::mutex mutex;
    std::map<core::FleetTable, std::vector<codec::RowCopy>> tables;
};

/// The parts that the duties of one process share.
///
/// Decision threads never block on a part's ring, and parts may block on a decision ring, so no
/// cycle of rings can stop. When a decision ring is full, requests of clients are refused as not
/// run, ticks are left out, and results of requests wait, because nothing may be lost.
struct Parts
{
    runtime::Logger logger;
    runtime::Metrics metrics;
    SharedDirectory directory;
    SharedTables tables;
    runtime::Duty<core::FleetEvent> fleet{decisionRingCapacity};
    runtime::Duty<core::EntryEvent> calls{decisionRingCapacity};
    runtime::Duty<core::BatchEvent> batches{decisionRingCapacity};
    std::unique_ptr<net::HttpCaller> targets; ///< Calls of clients, and scoring requests.
    std::unique_ptr<net::HttpCaller> engines; ///< Items of batches, and weight orders.
    std::unique_ptr<net::HttpCaller> storeCaller;
    std::unique_ptr<net::PeerLink> peers;
    std::unique_ptr<StoreLink> store;
    std::unique_ptr<net::HttpDoor> callers;
    std::unique_ptr<net::HttpDoor> readiness;
    std::unique_ptr<net::HttpDoor> metricsDoor;
    std::unique_ptr<runtime::TimerService> timer;
    std::atomic<bool> draining = false; ///< The node stops; it is not ready any more.
    runtime::Latch batchesDrained; ///< Set when no batch of this node is left.
};

} // namespace geraniumpulley::entry
