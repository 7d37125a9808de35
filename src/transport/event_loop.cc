#include "src/transport/event_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace bronzeroute {
namespace {

std::function<void(std::string_view)>& ErrorHandler() {
  static auto* const handler = new std::function<void(std::string_view)>();
  return *handler;
}

// Runs the loop; false if a task ended with an exception. The other tasks are not affected.
bool RunUntilError() {
  try {
    LoopService().run();
    return true;
  } catch (const std::exception& error) {
    if (ErrorHandler()) ErrorHandler()(error.what());
    return false;
  }
}

}  // namespace

void SetErrorHandler(std::function<void(std::string_view)> handler) {
  RunOnLoop([&handler] { ErrorHandler() = std::move(handler); });
}

void StartEventLoop() {
  static std::once_flag once;
  std::call_once(once, [] {
    // Runs until the process exits.
    static auto* const loop = new std::thread([] {
      const auto work = boost::asio::make_work_guard(LoopService());
      while (!RunUntilError()) {
      }
    });
    // Destructors of static objects that the loop uses run after this function.
    std::atexit([] {
      LoopService().stop();
      if (loop->get_id() != std::this_thread::get_id()) loop->join();
    });
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
    try {
      task();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
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
