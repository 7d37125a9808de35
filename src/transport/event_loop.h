#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>  // boost/asio/awaitable.hpp needs it and does not include it

#include "src/base/time.h"

namespace bronzeroute {

/// Starts the single thread of the event loop, on which the node, all ports and all streams
/// run. Further calls do nothing.
void StartEventLoop();

/// The loop's service, for timers and sockets.
boost::asio::io_context& LoopService();

/// Runs `task` on the loop, later. Any thread may call it.
void PostToLoop(std::function<void()> task);

/// Sets the function that is told about an exception that a task ended with. The loop goes on
/// with the next task. Never call it on the loop itself.
void SetErrorHandler(std::function<void(std::string_view)> handler);

/// Runs `task` on the loop and waits for it; its exceptions are thrown here. Never call it on
/// the loop itself.
void RunOnLoop(const std::function<void()>& task);

/// The process's monotonic clock. It includes the time for which the machine was suspended, so
/// that deadlines also expire during a suspension.
time_point MonotonicNow();

/// The time of day in Unix milliseconds. It may be set forward and back.
std::int64_t UnixMilliseconds();

}  // namespace bronzeroute
