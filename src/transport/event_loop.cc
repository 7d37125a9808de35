#include "src/transport/event_loop.h"

#include <pplx/pplx.h>
#include <pplx/threadpool.h>

#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace bronzeroute {
namespace {

// Runs the library's tasks on the loop, except for those started by another thread, which run
// there at once. Closing a listener is such a task: it waits for connections that only the loop
// can end, and would block the loop for good.
class loop_scheduler final : public pplx::scheduler_interface {
 public:
  explicit loop_scheduler(std::thread::id loop) : loop_(loop) {}

  void schedule(pplx::TaskProc_t task, void* argument) override {
    if (std::this_thread::get_id() != loop_) {
      task(argument);
      return;
    }
    LoopService().post([task, argument] { task(argument); });
  }

 private:
  std::thread::id loop_;
};

}  // namespace

void StartEventLoop() {
  static std::once_flag once;
  std::call_once(once, [] {
    crossplat::threadpool::initialize_with_threads(1);
    std::thread::id loop;
    RunOnLoop([&loop] { loop = std::this_thread::get_id(); });
    pplx::set_ambient_scheduler(std::make_shared<loop_scheduler>(loop));
  });
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
