#pragma once

#include "store_link.hpp"

#include <geraniumpulley/platform/store_messages.hpp>

#include <functional>
#include <optional>

namespace geraniumpulley::entry {

/// Reads the rows of a range, however many answers that takes.
/// \param done gets nothing when an answer failed; runs exactly once, on a thread of a part.
void readRange(StoreLink &store, platform::RowRange range,
               std::function<void(std::optional<platform::Rows> &&)> done);

/// Time for one read of rows. Ten times the store's usual answer and room for a slow one.
inline constexpr core::Duration readLimit = std::chrono::milliseconds(1200);

} // namespace geraniumpulley::entry
