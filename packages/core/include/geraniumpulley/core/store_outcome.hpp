#pragma once

namespace geraniumpulley::core {

/// The outcome of a write to the table service.
enum class StoreOutcome {
    Committed, ///< The write was applied.
    Conflict, ///< A condition did not hold; nothing was written.
    NotCommitted, ///< The write was refused or not sent; nothing was written.
    Rejected, ///< Nothing was written, and the same write would be rejected again.
    Unknown, ///< No answer came; the write may have happened or may still happen.
};

} // namespace geraniumpulley::core
