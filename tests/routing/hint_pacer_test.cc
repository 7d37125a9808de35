#include "src/routing/hint_pacer.h"

#include <gtest/gtest.h>

#include "src/routing/load_hint.h"

namespace bronzeroute {
namespace {

constexpr member_id kEntry{1};

// Guards against measuring bytes that grow with the calls.
TEST(HintPacer, SpacesHintsToOneEntry) {
  hint_pacer pacer;
  const time_point start;
  EXPECT_TRUE(pacer.IsDue(kEntry, {}, false, start));
  EXPECT_FALSE(pacer.IsDue(kEntry, {}, false, start + hint_pacer::kInterval - duration(1)));
  EXPECT_TRUE(pacer.IsDue(member_id{2}, {}, false, start));
  EXPECT_TRUE(pacer.IsDue(kEntry, {}, false, start + hint_pacer::kInterval));
}

// Guards against entries that learn late of an ejection, a drain or a full queue.
TEST(HintPacer, RefusalsAndChangesOfStateAreNotHeldBack) {
  hint_pacer pacer;
  load_hint hint;
  ASSERT_TRUE(pacer.IsDue(kEntry, hint, false, {}));
  EXPECT_TRUE(pacer.IsDue(kEntry, hint, true, {}));
  hint.failing = true;
  EXPECT_TRUE(pacer.IsDue(kEntry, hint, false, {}));
  EXPECT_FALSE(pacer.IsDue(kEntry, hint, false, {}));
  hint.failing = false;
  EXPECT_TRUE(pacer.IsDue(kEntry, hint, false, {}));
  hint.draining = true;
  EXPECT_TRUE(pacer.IsDue(kEntry, hint, false, {}));
}

}  // namespace
}  // namespace bronzeroute
