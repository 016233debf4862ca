#pragma once

namespace geraniumpulley::core {

/// What became of a write to the table service.
enum class StoreOutcome {
    Done,
    Conflict, ///< A condition did not hold; nothing was written.
    NotDone, ///< The store refused it; nothing was written.
    Unknown, ///< No answer; it may have been done or may yet be.
};

} // namespace geraniumpulley::core
