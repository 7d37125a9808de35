#include "src/routing/hint_rate_limiter.h"

#include <gtest/gtest.h>

#include "src/routing/load_hint.h"

namespace bronzeroute {
namespace {

constexpr member_id kEntry{1};

// Guards against bytes for hints that grow with the number of calls.
TEST(HintRateLimiter, SendsOneHintPerIntervalToEachEntry) {
  hint_rate_limiter rate_limiter;
  const time_point start;
  EXPECT_TRUE(rate_limiter.IsDue(kEntry, {}, false, start));
  EXPECT_FALSE(rate_limiter.IsDue(kEntry, {}, false,
                                  start + hint_rate_limiter::kInterval - duration(1)));
  EXPECT_TRUE(rate_limiter.IsDue(member_id{2}, {}, false, start));
  EXPECT_TRUE(rate_limiter.IsDue(kEntry, {}, false, start + hint_rate_limiter::kInterval));
}

// Guards against entries that receive an ejection, a drain or a full queue late.
TEST(HintRateLimiter, SendsHintsAtOnceOnRefusalsAndStateChanges) {
  hint_rate_limiter rate_limiter;
  load_hint hint;
  ASSERT_TRUE(rate_limiter.IsDue(kEntry, hint, false, {}));
  EXPECT_TRUE(rate_limiter.IsDue(kEntry, hint, true, {}));
  hint.failing = true;
  EXPECT_TRUE(rate_limiter.IsDue(kEntry, hint, false, {}));
  EXPECT_FALSE(rate_limiter.IsDue(kEntry, hint, false, {}));
  hint.failing = false;
  EXPECT_TRUE(rate_limiter.IsDue(kEntry, hint, false, {}));
  hint.draining = true;
  EXPECT_TRUE(rate_limiter.IsDue(kEntry, hint, false, {}));
}

}  // namespace
}  // namespace bronzeroute
