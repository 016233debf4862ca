#pragma once

namespace geraniumpulley::core {

/// The outcome of a write to the table service.
enum class StoreOutcome {
    Done, ///< The write was applied.
    Conflict, ///< A condition did not hold; nothing was written.
    NotDone, ///< The write was refused or not sent; nothing was written.
    Unknown, ///< No answer came; the write may have happened or may still happen.
};

} // namespace geraniumpulley::core
