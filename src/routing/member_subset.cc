#include "src/routing/member_subset.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bronzeroute {
namespace {

// Most calls go to the zone of the entry. With more of its members in each subset, the numbers
// of entries that share a member differ less.
constexpr std::size_t kSameZoneMembers = 16;
constexpr std::size_t kFartherMembers = 8;

std::uint64_t Weight(member_id entry, member_id member) {
  const std::array<std::uint64_t, 2> pair = {entry.value, member.value};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

}  // namespace

std::size_t SubsetLimit(distance where) {
  return where == distance::kSameZone ? kSameZoneMembers : kFartherMembers;
}

void SelectSubset(member_id entry, std::size_t limit, std::vector<subset_member>& group) {
  if (group.size() <= limit) return;
  const auto last = group.begin() + static_cast<std::ptrdiff_t>(limit);
  std::ranges::nth_element(group, last, {}, [entry](const subset_member& each) {
    return std::pair(each.draining, Weight(entry, each.id));
  });
  group.erase(last, group.end());
}

}  // namespace bronzeroute
