#pragma once

namespace bronzeroute::standin {

/// Blocks SIGINT and SIGTERM in this thread and the threads it starts. Call it before starting
/// any thread.
void BlockStopSignals();

/// Waits for SIGINT or SIGTERM.
void WaitForStopSignal();

}  // namespace bronzeroute::standin
