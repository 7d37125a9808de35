#include "src/transport/event_loop.h"

#include <pplx/threadpool.h>

#include <chrono>
#include <future>
#include <mutex>
#include <utility>

namespace bronzeroute {

void StartEventLoop() {
  static std::once_flag once;
  std::call_once(once, [] { crossplat::threadpool::initialize_with_threads(1); });
}

boost::asio::io_service& LoopService() {
  return crossplat::threadpool::shared_instance().service();
}

void PostToLoop(std::function<void()> task) { LoopService().post(std::move(task)); }

void RunOnLoop(const std::function<void()>& task) {
  std::promise<void> done;
  PostToLoop([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

time_point MonotonicNow() {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace bronzeroute
