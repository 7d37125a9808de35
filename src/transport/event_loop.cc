#include "src/transport/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <ctime>
#include <future>
#include <mutex>
#include <thread>

namespace bronzeroute {

void StartEventLoop() {
  static std::once_flag once;
  std::call_once(once, [] {
    // Runs until the process ends; nothing stops it earlier.
    std::thread([] {
      const auto work = boost::asio::make_work_guard(LoopService());
      LoopService().run();
    }).detach();
  });
}

boost::asio::io_context& LoopService() {
  // Never destroyed: the thread may still use it while the process exits. The concurrency hint
  // 1 avoids locking, as only one thread runs the service.
  static auto* const service = new boost::asio::io_context(1);
  return *service;
}

void PostToLoop(std::function<void()> task) {
  boost::asio::post(LoopService(), std::move(task));
}

void RunOnLoop(const std::function<void()>& task) {
  std::promise<void> done;
  PostToLoop([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

time_point MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace bronzeroute
