#include "src/routing/member_subset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bronzeroute {
namespace {

std::vector<subset_member> Group(std::uint64_t size) {
  std::vector<subset_member> group;
  for (std::uint64_t id = 1; id <= size; ++id) group.push_back({member_id{id}, id, false});
  return group;
}

std::set<std::uint64_t> Subset(std::uint64_t entry, std::vector<subset_member> group,
                               std::size_t limit) {
  SelectSubset(member_id{entry}, limit, group);
  std::set<std::uint64_t> ids;
  for (const subset_member& each : group) ids.insert(each.id.value);
  return ids;
}

// Guards against an entry that keeps a channel to each member of a large service.
TEST(MemberSubset, SizeIsBoundedAndSmallGroupsAreWhole) {
  EXPECT_EQ(Subset(1, Group(600), 8).size(), 8U);
  EXPECT_EQ(Subset(1, Group(8), 8).size(), 8U);
  EXPECT_EQ(Subset(1, Group(3), 8).size(), 3U);
  EXPECT_TRUE(Subset(1, {}, 8).empty());
}

// Guards against members that are in the subsets of far more or fewer entries than others.
TEST(MemberSubset, MembersAreInAboutAsManySubsets) {
  constexpr std::uint64_t kEntries = 300;
  constexpr std::uint64_t kMembers = 100;
  constexpr std::size_t kLimit = 16;
  std::map<std::uint64_t, int> entries_of;
  for (std::uint64_t entry = 1000; entry < 1000 + kEntries; ++entry) {
    for (const std::uint64_t id : Subset(entry, Group(kMembers), kLimit)) ++entries_of[id];
  }
  // 48 on average; a standard deviation of a random choice is 6.3.
  ASSERT_EQ(entries_of.size(), kMembers);
  for (const auto& [id, entries] : entries_of) {
    EXPECT_GE(entries, 22) << id;
    EXPECT_LE(entries, 74) << id;
  }
}

// Guards against one change of the membership that makes all entries reconnect.
TEST(MemberSubset, OneMemberMoreOrLessChangesAtMostOnePlace) {
  const std::vector<subset_member> all = Group(100);
  for (std::uint64_t entry = 1000; entry < 1050; ++entry) {
    const std::set<std::uint64_t> before = Subset(entry, all, 8);
    std::vector<subset_member> fewer = all;
    fewer.erase(fewer.begin() + 40);
    const std::set<std::uint64_t> after = Subset(entry, fewer, 8);
    std::vector<std::uint64_t> lost;
    std::ranges::set_difference(before, after, std::back_inserter(lost));
    EXPECT_EQ(lost.size(), before.contains(41) ? 1U : 0U);
  }
}

TEST(MemberSubset, DrainingMembersAreTheLastToBeChosen) {
  std::vector<subset_member> group = Group(10);
  for (std::size_t i = 0; i < 4; ++i) group[i].draining = true;
  const std::set<std::uint64_t> chosen = Subset(1, group, 7);
  EXPECT_EQ(chosen.size(), 7U);
  for (std::uint64_t id = 5; id <= 10; ++id) EXPECT_TRUE(chosen.contains(id)) << id;
}

}  // namespace
}  // namespace bronzeroute
