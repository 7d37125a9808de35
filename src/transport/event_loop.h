#pragma once

#include <boost/asio/io_service.hpp>
#include <functional>
#include <utility>  // boost/asio/awaitable.hpp needs it and does not include it

#include "src/base/time.h"

namespace bronzeroute {

/// Sets the thread pool of the HTTP library to one thread, which is the event loop of the
/// process: the node, all ports and all streams run on it. Call it before anything else touches
/// the HTTP library; later calls do nothing.
void StartEventLoop();

/// The loop's service, for timers and sockets.
boost::asio::io_service& LoopService();

/// Runs `task` on the loop, later. Any thread may call it.
void PostToLoop(std::function<void()> task);

/// Runs `task` on the loop and waits for it. Never call it on the loop itself.
void RunOnLoop(const std::function<void()>& task);

/// The process's monotonic clock.
time_point MonotonicNow();

}  // namespace bronzeroute
