#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/platform/store_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// Where this system keeps its rows in the table service.
namespace geraniumpulley::entry {

/// Heartbeats; a node's own part, so that no node waits for another.
inline constexpr const char *nodesTable = "nodes";
inline constexpr const char *beatKey = "beat";
/// Heads of batches and the lease on weight orders, in one part: read whole by every node.
inline constexpr const char *batchesTable = "batches";
inline constexpr const char *headPrefix = "head/";
inline constexpr const char *ordersLeaseKey = "lease/weight-orders";
/// What a batch consists of, in a part of its own.
inline constexpr const char *contentsTable = "batch-contents";
inline constexpr const char *ownerKey = "head"; ///< The same value and version as in the heads.
inline constexpr const char *orderPrefix = "order/";
inline constexpr const char *partialPrefix = "partial/";
inline constexpr const char *resultPrefix = "result/";
inline constexpr const char *behindResults = "result0"; ///< The first key behind all results.

/// Bytes of a row's value; the store takes 64 KiB.
inline constexpr std::size_t maxRowBytes = 60 * 1024;

platform::RowName headRow(const core::BatchId &id);
platform::RowName ownerRow(const core::BatchId &id);
platform::RowName resultRow(const core::BatchId &id, std::uint64_t position, std::size_t chunk);
platform::RowName numberedRow(const core::BatchId &id, const char *prefix, std::size_t number,
                              std::size_t chunk);

/// Adds a value as one or more rows; their keys end in the number of the piece.
void addChunks(platform::Transaction &transaction, const core::BatchId &id, const char *prefix,
               std::size_t number, const std::string &value);

} // namespace geraniumpulley::entry
