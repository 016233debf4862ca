#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/platform/store_messages.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// Tables, partitions and keys of this system's rows in the table service.
namespace geraniumpulley::entry {

/// Table of the heartbeats. Each node has a partition of its own, so that writes do not contend.
inline constexpr const char *nodesTable = "nodes";
inline constexpr const char *heartbeatKey = "beat";
/// Table of the batch heads, the weight order lease and the crash records, in one partition that
/// each node reads in full.
inline constexpr const char *batchesTable = "batches";
inline constexpr const char *headPrefix = "head/";
inline constexpr const char *weightOrderLeaseKey = "lease/weight-orders";
/// Key of the row that states which version of that lease is in use.
inline constexpr const char *leaseInUseKey = "lease/in-use";
/// Table of the batch contents, with one partition for each batch.
inline constexpr const char *contentsTable = "batch-contents";
inline constexpr const char *ownerKey = "head"; ///< Copy of the batch head, with the same version.
inline constexpr const char *specPrefix = "order/";
/// Earlier builds wrote texts without their software under "partial/"; such texts are not resumed,
/// and earlier builds do not read these.
inline constexpr const char *partialPrefix = "partial-text/";
inline constexpr const char *resultPrefix = "result/";
inline constexpr const char *resultsEndKey = "result0"; ///< The first key after all results.

/// Table of the software that began each resumable stream, by the id of the client's attempt.
inline constexpr const char *originsTable = "stream-origins";

/// Table of the usage of client accounts by window: the counts of each node and the reports.
inline constexpr const char *usageTable = "usage";

platform::RowName headRow(const core::BatchId &id);
platform::RowName ownerRow(const core::BatchId &id);
platform::RowName resultRow(const core::BatchId &id, std::uint64_t position, std::size_t chunk);
platform::RowName numberedRow(const core::BatchId &id, const char *prefix, std::size_t number,
                              std::size_t chunk);

/// Adds a value to a transaction as one or more rows, whose keys end in the chunk number.
void addChunks(platform::Transaction &transaction, const core::BatchId &id, const char *prefix,
               std::size_t number, const std::string &value);

} // namespace geraniumpulley::entry
