#pragma once

namespace geraniumpulley::runtime {

/// Blocks SIGTERM and SIGINT for the calling thread and the threads that it starts later, and
/// ignores SIGPIPE. Call it first in `main`.
void blockStopSignals();

/// Waits for the next SIGTERM or SIGINT.
/// \return the signal's number.
int waitForStopSignal();

/// Starts a thread that ends the process at once, with `code`, at the next SIGTERM or SIGINT.
void exitAtNextStopSignal(int code);

} // namespace geraniumpulley::runtime
