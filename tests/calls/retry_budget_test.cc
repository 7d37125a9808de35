#include "src/calls/retry_budget.h"

#include <gtest/gtest.h>

#include <chrono>

namespace bronzeroute {
namespace {

using std::chrono::seconds;

time_point At(int second) { return time_point{} + seconds(second); }

int Take(retry_budget& budget, bool (retry_budget::*take)(time_point), time_point now) {
  int taken = 0;
  while ((budget.*take)(now)) ++taken;
  return taken;
}

// Guards against retries that multiply the work of an overloaded service.
TEST(RetryBudget, LimitsBothSharesSeparately) {
  retry_budget budget;
  for (int i = 0; i < 1000; ++i) budget.CountFirstAttempt(At(100));
  EXPECT_EQ(Take(budget, &retry_budget::TryAcquireAfterRefusal, At(101)), 200);
  EXPECT_EQ(Take(budget, &retry_budget::TryAcquireAfterArrival, At(101)), 20);
}

// Guards against a daemon that cannot retry at all because it has little traffic.
TEST(RetryBudget, MinimumBudgetAppliesWithoutTraffic) {
  retry_budget budget;
  EXPECT_EQ(Take(budget, &retry_budget::TryAcquireAfterRefusal, At(1)), 5);
  EXPECT_EQ(Take(budget, &retry_budget::TryAcquireAfterArrival, At(1)), 1);
}

// Guards against counting first attempts that are older than the window.
TEST(RetryBudget, WindowSlides) {
  retry_budget budget;
  for (int i = 0; i < 1000; ++i) budget.CountFirstAttempt(At(100));
  EXPECT_EQ(Take(budget, &retry_budget::TryAcquireAfterArrival, At(109)), 20);
  EXPECT_EQ(Take(budget, &retry_budget::TryAcquireAfterArrival, At(110)), 0);
  EXPECT_EQ(Take(budget, &retry_budget::TryAcquireAfterArrival, At(119)), 1);
}

}  // namespace
}  // namespace bronzeroute
