#include "src/calls/key_home.h"

#include <cstdint>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bronzeroute {

std::optional<member_target> HomeOfOwnKey(std::string_view key,
                                          std::span<const member_target> members) {
  std::optional<member_target> best;
  std::uint64_t best_hash = 0;
  for (const member_target& member : members) {
    const std::uint64_t hash = XXH64(key.data(), key.size(), member.id.value);
    if (!best || hash > best_hash || (hash == best_hash && member.id > best->id)) {
      best = member;
      best_hash = hash;
    }
  }
  return best;
}

}  // namespace bronzeroute
