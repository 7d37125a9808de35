#include "src/transport/event_loop.h"

#include <gtest/gtest.h>

#include <future>
#include <new>
#include <stdexcept>
#include <string>

namespace bronzeroute {
namespace {

// Guards against one unexpected error that ends the whole process.
TEST(EventLoop, GoesOnAfterATaskThatThrows) {
  StartEventLoop();
  std::string reported;
  SetErrorHandler([&reported](std::string_view error) { reported += error; });
  PostToLoop([] { throw std::runtime_error("unexpected"); });
  PostToLoop([] { throw std::bad_alloc(); });
  std::promise<void> ran;
  PostToLoop([&ran] { ran.set_value(); });
  ran.get_future().wait();
  SetErrorHandler(nullptr);
  EXPECT_TRUE(reported.starts_with("unexpected")) << reported;
  EXPECT_NE(reported.find("bad_alloc"), std::string::npos) << reported;
}

// Guards against a caller of the loop that waits for ever for a task that ended with an
// exception.
TEST(EventLoop, ReturnsTheExceptionOfATaskThatIsWaitedFor) {
  StartEventLoop();
  EXPECT_THROW(RunOnLoop([] { throw std::runtime_error("unexpected"); }), std::runtime_error);
  bool has_run = false;
  RunOnLoop([&has_run] { has_run = true; });
  EXPECT_TRUE(has_run);
}

}  // namespace
}  // namespace bronzeroute
