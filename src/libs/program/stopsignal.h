#pragma once

namespace Program {

/// Blocks SIGTERM and SIGINT in the calling thread and in threads that it starts later, so that
/// only WaitForStopSignal receives them. Call it before the first thread is started.
void
BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
/// \return the signal's number.
int
WaitForStopSignal();

} // namespace Program
