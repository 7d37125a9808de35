#include "src/accounts/usage_group.h"

#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bronzeroute {

std::uint32_t UsageGroupOf(std::string_view account) {
  return static_cast<std::uint32_t>(XXH64(account.data(), account.size(), 0) % kUsageGroups);
}

member_id UsageLenderOf(std::uint32_t group, std::span<const member_id> live) {
  member_id best;
  std::uint64_t best_hash = 0;
  for (const member_id id : live) {
    const std::array<std::uint64_t, 2> input = {id.value, group};
    const std::uint64_t hash = XXH64(input.data(), sizeof(input), 0);
    if (best.value == 0 || hash > best_hash || (hash == best_hash && id > best)) {
      best = id;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace bronzeroute
