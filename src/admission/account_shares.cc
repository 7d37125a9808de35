#include "src/admission/account_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <utility>

namespace bronzeroute {
namespace {

// Time constant with which use is forgotten: longer than the gaps in the work of most accounts,
// and shorter than bursts of some seconds, so that an account is soon treated as before.
constexpr duration kMemory = std::chrono::seconds(2);
// Requests of an account within that time that do not count.
constexpr double kFreeRequests = 3;

}  // namespace

double account_shares::account_use::At(time_point now) const {
  const auto elapsed = static_cast<double>(std::max(now - since, duration(0)).count());
  return service_us * std::exp(-elapsed / static_cast<double>(kMemory.count()));
}

void account_shares::SetAccounts(std::span<const account_spec> accounts) {
  absl::flat_hash_map<std::string, account_use> uses;
  double total = 0;
  std::size_t capped = 0;
  for (const account_spec& account : accounts) {
    if (!account.is_capped()) continue;
    total += account.rate_per_s;
    ++capped;
  }
  const double mean = capped == 0 ? 1 : total / static_cast<double>(capped);
  const auto add = [&](const std::string& name, double weight) {
    const auto found = uses_.find(name);
    account_use use = found == uses_.end() ? account_use{} : found->second;
    use.weight = weight;
    uses.emplace(name, use);
  };
  for (const account_spec& account : accounts) {
    add(account.name, account.is_capped() ? account.rate_per_s : mean);
  }
  if (!accounts.empty()) add("", mean);
  uses_ = std::move(uses);
}

double account_shares::Use(std::string_view account, duration queued, duration service_time,
                           time_point now) const {
  const auto found = uses_.find(std::string(account));
  const account_use& use = found == uses_.end() ? uses_.at("") : found->second;
  const double service_us = use.At(now) + static_cast<double>(queued.count()) -
                            kFreeRequests * static_cast<double>(service_time.count());
  return std::max(service_us, 0.0) / use.weight;
}

void account_shares::OnStart(std::string_view account, duration service_time, time_point now) {
  if (!IsActive()) return;
  const auto found = uses_.find(std::string(account));
  account_use& use = found == uses_.end() ? uses_.at("") : found->second;
  use.service_us = use.At(now) + static_cast<double>(service_time.count());
  use.since = now;
}

}  // namespace bronzeroute
