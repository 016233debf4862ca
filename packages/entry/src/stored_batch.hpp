#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/platform/store_messages.hpp>

#include <vector>

/// Reconstruction of batches and results from their rows in the store.
namespace geraniumpulley::entry {

/// \param rows all rows of the batch's partition, ordered by key.
/// Errors: those of the decoders; `platform::Errc::SchemaMismatch` if a row is missing.
core::Result<core::StoredBatch> assembleBatch(const core::BatchId &id,
                                              const std::vector<platform::Row> &rows);

/// \param rows the rows of the results, ordered by key. Errors: those of the decoders.
core::Result<std::vector<core::ItemResult>> assembleResults(const std::vector<platform::Row> &rows);

} // namespace geraniumpulley::entry
