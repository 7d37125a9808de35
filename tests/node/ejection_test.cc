#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

constexpr milliseconds kPause{100};

/// Two daemons whose callers send protected requests only, 10 a second each.
class EjectionTest : public testing::TestWithParam<upstream_mode> {
 protected:
  EjectionTest() {
    EXPECT_TRUE(world_.Publish());
    world_.Advance(seconds(20));
  }

  void SetUpstreams(upstream_mode mode) {
    for (std::size_t i = 0; i < world_.size(); ++i) world_.SetUpstream(i, mode);
  }
  /// Sends protected requests for `time` and returns the share of those that were served.
  double ServedShare(duration time) {
    std::vector<std::size_t> sent;
    for (const time_point end = world_.now() + time; world_.now() < end;) {
      for (std::size_t entry = 0; entry < world_.size(); ++entry) {
        sent.push_back(*world_.Request(entry, true, "", 1, seconds(1)));
      }
      world_.Advance(kPause);
    }
    world_.Advance(seconds(2));
    std::size_t served = 0;
    for (const std::size_t request : sent) {
      const auto state = world_.oracle.calls.at(request).now;
      served += state == call_oracle::state::kComplete ? 1 : 0;
    }
    return static_cast<double>(served) / static_cast<double>(sent.size());
  }

  runtime_world world_{2, {}};
};

// Guards against a service with protected requests only that is refused for good after its
// upstreams failed for some seconds.
TEST_P(EjectionTest, ServiceWithProtectedRequestsOnlyIsServedAgain) {
  EXPECT_EQ(ServedShare(seconds(2)), 1);
  SetUpstreams(GetParam());
  ServedShare(seconds(8));
  SetUpstreams(upstream_mode::kNormal);
  ServedShare(seconds(15));
  EXPECT_EQ(ServedShare(seconds(10)), 1);
  EXPECT_EQ(world_.oracle.Violations(), "");
}

INSTANTIATE_TEST_SUITE_P(Faults, EjectionTest,
                         testing::Values(upstream_mode::kFailingFast,
                                         upstream_mode::kConnectFails));

}  // namespace
}  // namespace bronzeroute::tests
