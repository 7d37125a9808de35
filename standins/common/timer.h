#pragma once

#include <pplx/threadpool.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace bronzeroute::standin {

/// Runs `task` on the cpprestsdk pool after `delay`.
template <typename Task>
void RunAfter(std::chrono::microseconds delay, Task task) {
  auto& service = crossplat::threadpool::shared_instance().service();
  auto timer = std::make_shared<boost::asio::steady_timer>(service, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const boost::system::error_code& error) mutable {
        if (!error) {
          task();
        }
      });
}

}  // namespace bronzeroute::standin
