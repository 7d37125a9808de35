#include "src/accounts/usage_lender.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "src/accounts/usage_share.h"
#include "src/accounts/usage_times.h"

namespace bronzeroute {
namespace {

// A member that was denied tokens counts as waiting for this time.
constexpr duration kDeniedTime = std::chrono::seconds(1);
constexpr duration kLongestWait = std::chrono::seconds(2);
// Wait named while no share is delegated to this daemon.
constexpr duration kNoShareWait = std::chrono::milliseconds(250);

// Share of a member in requests per second from which it gets a token more than it asked for
// while the pool is at least half full: it most likely uses it before it expires, which saves a
// message.
constexpr double kRateForSpareToken = 2.5;

double Seconds(duration value) { return std::chrono::duration<double>(value).count(); }

}  // namespace

void usage_lender::SetCaps(std::span<const usage_cap> caps, time_point now) {
  std::map<std::string, pool, std::less<>> pools;
  for (const usage_cap& cap : caps) {
    pool row;
    if (const auto found = pools_.find(cap.account); found != pools_.end()) {
      // Time up to now counts with the earlier cap.
      Advance(found->second, now);
      row = std::move(found->second);
    }
    row.cap = cap;
    row.group = UsageGroupOf(cap.account);
    row.advanced_at = now;
    Advance(row, now);
    pools.emplace(cap.account, std::move(row));
  }
  pools_ = std::move(pools);
}

void usage_lender::OnDelegation(member_id from, std::uint32_t groups, std::uint32_t members,
                                time_point now) {
  if (members == 0) return;
  for (std::uint32_t group = 0; group < kUsageGroups; ++group) {
    if ((groups >> group & 1U) == 0) continue;
    std::vector<delegation>& rows = delegations_[group];
    const auto found = std::ranges::find(rows, from, &delegation::from);
    const time_point until = now + kDelegationLease;
    if (found != rows.end() && found->until >= now && found->members == members) {
      found->until = until;
      continue;
    }
    // What was gained so far is limited by the depth before the change.
    AdvanceGroup(group, now);
    std::erase_if(
        rows, [&](const delegation& each) { return each.from == from || each.until <= now; });
    rows.push_back({.from = from, .members = members, .since = now, .until = until});
  }
}

void usage_lender::AdvanceGroup(std::uint32_t group, time_point now) {
  for (auto& [name, row] : pools_) {
    if (row.group == group) Advance(row, now);
  }
}

void usage_lender::Advance(pool& row, time_point now) const {
  double gained = 0;
  row.rate = 0;
  row.depth = 0;
  for (const delegation& each : delegations_[row.group]) {
    const usage_share share = PoolShare(row.cap, each.members);
    const duration overlap = std::min(now, each.until) - std::max(row.advanced_at, each.since);
    if (overlap > duration(0)) gained += share.rate_per_s * Seconds(overlap);
    if (each.until <= now) continue;
    row.rate += share.rate_per_s;
    row.depth += share.depth;
  }
  row.level = std::min(row.level + gained, row.depth);
  row.advanced_at = now;
}

duration usage_lender::WaitOf(pool& row, member_id borrower, time_point now) {
  if (row.rate <= 0) return kNoShareWait;
  row.denied[borrower] = now;
  absl::erase_if(row.denied,
                 [now](const auto& each) { return each.second + kDeniedTime <= now; });
  const double seconds =
      (1 - row.level + static_cast<double>(row.denied.size() - 1)) / row.rate;
  const double capped = std::min(seconds, Seconds(kLongestWait));
  return duration(std::llround(capped * 1e6) + 1);
}

usage_lender::grant usage_lender::Take(std::string_view account, std::uint32_t wanted,
                                       member_id borrower, time_point now) {
  const auto found = pools_.find(account);
  if (found == pools_.end()) return {.wait = kNoShareWait};
  pool& row = found->second;
  Advance(row, now);
  if (row.rate >= kRateForSpareToken * static_cast<double>(Delegations(row.group, now)) &&
      row.level - wanted >= row.depth / 2) {
    ++wanted;
  }
  const auto tokens = static_cast<std::uint32_t>(
      std::min(std::floor(std::max(row.level, 0.0)), static_cast<double>(wanted)));
  if (tokens == 0) return {.wait = WaitOf(row, borrower, now)};
  row.level -= tokens;
  row.denied.erase(borrower);
  return {.tokens = tokens};
}

void usage_lender::Clear() {
  for (std::vector<delegation>& rows : delegations_) rows.clear();
  for (auto& [name, row] : pools_) row.level = 0;
}

std::size_t usage_lender::Delegations(std::uint32_t group, time_point now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      delegations_[group], [now](const delegation& each) { return each.until > now; }));
}

}  // namespace bronzeroute
