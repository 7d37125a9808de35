#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "src/transport/event_loop.h"

namespace bronzeroute::standin {

/// Runs `task` on the event loop after `delay`.
inline void RunAfter(std::chrono::steady_clock::duration delay, std::function<void()> task) {
  auto timer = std::make_shared<boost::asio::steady_timer>(LoopService(), delay);
  timer->async_wait(
      [timer, task = std::move(task)](const boost::system::error_code& /*error*/) { task(); });
}

}  // namespace bronzeroute::standin
