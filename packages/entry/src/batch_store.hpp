#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/batch/batch_duty.hpp>

/// Reads and writes of batch rows in the table service. Each call except `removeBatch` pushes one
/// event with its outcome to the batch duty.
namespace geraniumpulley::entry {

/// Largest body of a submission, in bytes, that one transaction can store.
inline constexpr std::size_t maxSubmissionBytes = 640 * 1024;

void storeSubmission(Parts &parts, const core::StoreSubmission &action);
void storeResults(Parts &parts, const core::StoreResults &action);
void storeHead(Parts &parts, const core::StoreHead &action);
void loadBatch(Parts &parts, const core::LoadBatch &action);
void readResults(Parts &parts, const core::ReadResults &action);
void removeBatch(Parts &parts, const core::RemoveBatch &action);

} // namespace geraniumpulley::entry
