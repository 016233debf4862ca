#pragma once

#include <geraniumpulley/core/batch/batch_progress.hpp>

#include <string>

/// Encoding of the progress of batches for trainers and operators.
namespace geraniumpulley::codec {

/// \return the name of a cause in logs and in the progress of a batch.
const char *nameOf(core::RunCause cause);

/// \return the progress as JSON: the items that are not listed yet, by group.
std::string encodeProgress(const core::BatchId &batch, const core::BatchProgress &progress);

} // namespace geraniumpulley::codec
