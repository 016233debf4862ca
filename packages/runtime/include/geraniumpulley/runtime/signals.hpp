#pragma once

#include <geraniumpulley/core/time.hpp>

namespace geraniumpulley::runtime {

/// Blocks SIGTERM and SIGINT in the calling thread and in the threads that it starts later, and
/// ignores SIGPIPE. Must be called first in `main`.
void blockStopSignals();

/// Waits for the next SIGTERM or SIGINT.
/// \return the signal's number.
int waitForStopSignal();

/// The kind of signal that ended a wait.
enum class ProcessSignal {
    None, ///< No signal arrived before the timeout.
    Stop, ///< SIGTERM or SIGINT arrived.
    Reload, ///< SIGHUP arrived.
};

/// Blocks SIGHUP in the same way as `blockStopSignals` blocks SIGTERM and SIGINT. Must be called
/// right after it.
void blockReloadSignal();

/// Waits for the next SIGTERM, SIGINT or SIGHUP, for at most `timeout`.
ProcessSignal waitForSignal(core::Duration timeout);

/// Starts a thread that terminates the process immediately, with `exitCode`, when the next SIGTERM
/// or SIGINT arrives.
void exitOnNextStopSignal(int exitCode);

} // namespace geraniumpulley::runtime
