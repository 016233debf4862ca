#pragma once

#include <geraniumpulley/core/batch/batch.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/platform/store_messages.hpp>

#include <vector>

/// Batches from the rows that the store holds of them.
namespace geraniumpulley::entry {

/// \param rows all of the batch's part, in order of their keys.
/// Errors: those of the decoders; `platform::Errc::WrongShape` where a row is missing.
core::Result<core::StoredBatch> assembleBatch(const core::BatchId &id,
                                              const std::vector<platform::Row> &rows);

/// \param rows of results, in order of their keys. Errors: those of the decoders.
core::Result<std::vector<core::ItemResult>> assembleResults(const std::vector<platform::Row> &rows);

} // namespace geraniumpulley::entry
