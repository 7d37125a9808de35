#pragma once

#include <cstdint>

namespace bronzeroute {

struct usage_cap;

/// A part of a usage cap: the rate and the depth of a token bucket.
struct usage_share {
  double rate_per_s = 0;
  double depth = 0;
};

/// Part of the cap that one of `members` daemons uses without asking a lender: a fifth of its
/// share, or nothing if its bucket could not hold one token.
usage_share BaseShare(const usage_cap& cap, std::uint32_t members);
/// The rest of the share of one of `members` daemons, which it delegates to the lender.
usage_share PoolShare(const usage_cap& cap, std::uint32_t members);

}  // namespace bronzeroute
