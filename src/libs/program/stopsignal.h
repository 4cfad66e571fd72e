#pragma once

namespace Program {

/// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later, so that
/// only WaitForStopSignal receives them. Call before starting the first thread.
void
BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
/// \return the signal's number.
int
WaitForStopSignal();

} // namespace Program
