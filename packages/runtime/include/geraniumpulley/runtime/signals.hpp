#pragma once

#include <geraniumpulley/core/time.hpp>

namespace geraniumpulley::runtime {

/// Blocks SIGTERM and SIGINT for the calling thread and the threads that it starts later, and
/// ignores SIGPIPE. Call it first in `main`.
void blockStopSignals();

/// Waits for the next SIGTERM or SIGINT.
/// \return the signal's number.
int waitForStopSignal();

enum class ProcessSignal {
    None, ///< The time is over without any.
    Stop, ///< SIGTERM or SIGINT.
    Reload, ///< SIGHUP.
};

/// Blocks SIGHUP as `blockStopSignals` blocks the others. Call it next to that.
void blockReloadSignal();

/// Waits for the next signal, for at most `limit`.
ProcessSignal waitForSignal(core::Duration limit);

/// Starts a thread that ends the process at once, with `code`, at the next SIGTERM or SIGINT.
void exitAtNextStopSignal(int code);

} // namespace geraniumpulley::runtime
