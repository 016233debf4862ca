#pragma once

#include "parts.hpp"

#include <geraniumpulley/core/batch/batch_duty.hpp>

/// The rows of batches in the table service. Each call pushes one event to the batch duty.
namespace geraniumpulley::entry {

/// Bytes of a submitted body that one transaction takes.
inline constexpr std::size_t maxSubmittedBytes = 640 * 1024;

void storeSubmission(Parts &parts, const core::StoreSubmission &order);
void storeResults(Parts &parts, const core::StoreResults &order);
void storeHead(Parts &parts, const core::StoreHead &order);
void loadBatch(Parts &parts, const core::LoadBatch &order);
void readResults(Parts &parts, const core::ReadResults &order);
void removeBatch(Parts &parts, const core::RemoveBatch &order);

} // namespace geraniumpulley::entry
