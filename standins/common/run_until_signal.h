#pragma once

namespace bronzeroute::standin {

/// Blocks SIGINT and SIGTERM in this thread and those it starts. Call it before any thread
/// exists.
void BlockStopSignals();

/// Waits for SIGINT or SIGTERM.
void WaitForStopSignal();

}  // namespace bronzeroute::standin
