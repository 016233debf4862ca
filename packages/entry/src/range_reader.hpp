#pragma once

#include "store_link.hpp"

#include <geraniumpulley/platform/store_messages.hpp>

#include <functional>
#include <optional>

namespace geraniumpulley::entry {

/// Reads all rows of a range in as many calls as needed, or one page of a range with a limit.
/// \param done receives `std::nullopt` if a call failed; runs exactly once, as the callback of a
/// `StoreRequest`.
void readRange(StoreLink &store, platform::RowRange range,
               std::function<void(std::optional<platform::Rows> &&)> done);

/// Timeout of one call: ten times the usual latency of the store, plus room for a slow reply.
inline constexpr core::Duration rangeReadTimeout = std::chrono::milliseconds(1200);

} // namespace geraniumpulley::entry
