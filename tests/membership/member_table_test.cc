#include "src/membership/member_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace bronzeroute {
namespace {

constexpr member_id kPeer{77};

member_table MakeTable() {
  member_row self;
  self.id.value = 1;
  return member_table(self, 1);
}

member_update MakeUpdate(std::uint64_t incarnation, std::uint64_t refutation,
                         member_state state) {
  member_update update;
  update.row.id = kPeer;
  update.row.incarnation.value = incarnation;
  update.row.refutation = refutation;
  update.row.state = state;
  update.has_details = true;
  update.details_version = 1;
  return update;
}

// Guards against a healthy member that is removed because a peer reported it dead.
TEST(MemberTable, ReceivedDeadRecordsOnlyStartASuspicion) {
  member_table table = MakeTable();
  table.Merge(MakeUpdate(5, 2, member_state::kAlive));
  table.Merge(MakeUpdate(5, 2, member_state::kDead));
  EXPECT_EQ(table.Find(kPeer)->state, member_state::kSuspect);
  table.Merge(MakeUpdate(5, 2, member_state::kDead));
  table.Merge(MakeUpdate(5, 3, member_state::kDead));
  EXPECT_EQ(table.Find(kPeer)->state, member_state::kSuspect);
}

// Guards against a dead or left incarnation that becomes alive without its own refutation.
TEST(MemberTable, OnlyHigherRefutationOrIncarnationRevives) {
  member_table table = MakeTable();
  table.Merge(MakeUpdate(5, 2, member_state::kAlive));
  table.Mutable(1).state = member_state::kDead;
  table.Refresh(1);
  EXPECT_TRUE(table.Merge(MakeUpdate(5, 2, member_state::kAlive)).contradicts_dead);
  EXPECT_EQ(table.Find(kPeer)->state, member_state::kDead);
  table.Merge(MakeUpdate(5, 3, member_state::kAlive));
  EXPECT_EQ(table.Find(kPeer)->state, member_state::kAlive);
  table.Merge(MakeUpdate(5, 3, member_state::kLeft));
  table.Merge(MakeUpdate(5, 9, member_state::kAlive));
  EXPECT_EQ(table.Find(kPeer)->state, member_state::kLeft);
  EXPECT_TRUE(table.Merge(MakeUpdate(4, 9, member_state::kAlive)).earlier_incarnation);
  table.Merge(MakeUpdate(6, 0, member_state::kAlive));
  EXPECT_EQ(table.Find(kPeer)->state, member_state::kAlive);
}

// Guards against digests that do not match the rows, which would make anti-entropy fail, and
// against incarnations or refutation counters that decrease.
RC_GTEST_PROP(MemberTableProperty, DigestsMatchRowsAndIncarnationsNeverDecrease, ()) {
  member_table table = MakeTable();
  const auto updates = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(2, 6), rc::gen::inRange(1, 4), rc::gen::inRange(0, 4),
                     rc::gen::inRange(0, 5)));
  for (const auto& [id, incarnation, refutation, state] : updates) {
    const member_id peer{static_cast<std::uint64_t>(id)};
    if (state == 4) {
      if (table.IndexOf(peer) > 0) table.Erase(static_cast<std::size_t>(table.IndexOf(peer)));
      continue;
    }
    const member_row before = table.Find(peer) != nullptr ? *table.Find(peer) : member_row{};
    member_update update =
        MakeUpdate(static_cast<std::uint64_t>(incarnation),
                   static_cast<std::uint64_t>(refutation), static_cast<member_state>(state));
    update.row.id = peer;
    table.Merge(update);
    if (const member_row* after = table.Find(peer)) {
      RC_ASSERT(after->incarnation.value >= before.incarnation.value);
      RC_ASSERT(after->incarnation != before.incarnation ||
                after->refutation >= before.refutation);
    }
  }
  member_table rebuilt = MakeTable();
  for (std::size_t i = 1; i < table.size(); ++i) {
    if (IsLive(table.row(i).state)) rebuilt.Merge(table.Update(i, true));
  }
  RC_ASSERT(rebuilt.live() == table.live());
  for (std::size_t b = 0; b < member_table::kBuckets; ++b) {
    RC_ASSERT(rebuilt.digests()[b] == table.digests()[b]);
  }
}

}  // namespace
}  // namespace bronzeroute
