#include "src/accounts/usage_share.h"

#include "src/accounts/usage_cap.h"

namespace bronzeroute {
namespace {

constexpr double kBaseFraction = 0.2;
// The depths of all buckets of an account add up to 0.09 x rate + 1.05 x burst + 16. A window
// of 5 s may see 5.5 x rate + 1.1 x burst + 20 requests, of which 5.4 x rate are taken by the
// rate and the life of tokens. The difference is a margin for daemons that differ in the
// members they know.
constexpr double kDepthPerRate = 0.09;
constexpr double kDepthPerBurst = 1.05;
constexpr double kPlainDepth = 16;
// Part of the depth that all daemons have together for their base quotas.
constexpr double kBasePlainDepth = 4;
constexpr double kBaseDepthFraction = 0.5;

double FlexibleDepth(const usage_cap& cap) {
  return kDepthPerRate * cap.rate_per_s + kDepthPerBurst * cap.burst;
}

double BaseDepth(const usage_cap& cap, double members) {
  const double depth = (kBaseDepthFraction * FlexibleDepth(cap) + kBasePlainDepth) / members;
  return depth < 1 ? 0 : depth;
}

}  // namespace

usage_share BaseShare(const usage_cap& cap, std::uint32_t members) {
  const double depth = BaseDepth(cap, members);
  return {depth > 0 ? kBaseFraction * cap.rate_per_s / members : 0, depth};
}

usage_share PoolShare(const usage_cap& cap, std::uint32_t members) {
  const usage_share base = BaseShare(cap, members);
  return {cap.rate_per_s / members - base.rate_per_s,
          (FlexibleDepth(cap) + kPlainDepth) / members - base.depth};
}

}  // namespace bronzeroute
