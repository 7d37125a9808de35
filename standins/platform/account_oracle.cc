#include "standins/platform/account_oracle.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"

namespace bronzeroute::standin {
namespace {

// The rule: in some window, more than (rate x window + burst) x factor + slack requests of an
// account that were both sent and run in it.
constexpr std::chrono::seconds kWindow{5};
constexpr double kFactor = 1.1;
constexpr double kSlack = 20;
constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;

}  // namespace

account_oracle::account_oracle(std::vector<account_shape> accounts)
    : accounts_(std::move(accounts)) {}

const account_shape* account_oracle::HolderOf(const std::string& key) const {
  const auto found = std::ranges::find(accounts_, key, &account_shape::key);
  return found == accounts_.end() ? nullptr : &*found;
}

void account_oracle::OnRequest(const std::string& id, const std::string& key,
                               clock::time_point now) {
  requests_[id] = {key, now};
  if (const account_shape* const holder = HolderOf(key)) ++counts_[holder->name].sent;
}

void account_oracle::OnArrival(const std::string& id, const std::string& account,
                               const std::string& passed_key) {
  if (!passed_key.empty()) {
    breaks_.push_back({"UNASKED", absl::StrFormat("id %s reached an upstream with a key", id)});
  }
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const account_shape* const holder = HolderOf(found->second.key);
  const std::string expected = holder == nullptr ? "" : holder->name;
  if (account == expected) return;
  breaks_.push_back(
      {"UNASKED", absl::StrFormat("id %s reached an upstream as account \"%s\", not \"%s\"", id,
                                  account, expected)});
}

void account_oracle::OnRun(const std::string& id, clock::time_point now) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.key.empty()) return;
  const account_shape* const holder = HolderOf(found->second.key);
  if (holder == nullptr) {
    breaks_.push_back({"ROUTE", absl::StrFormat("id %s ran with a key of no account", id)});
    return;
  }
  ++counts_[holder->name].ran;
  if (holder->per_second <= 0) return;
  runs_[holder->name].push_back({found->second.sent, now});
  CheckCap(*holder, now);
}

void account_oracle::CheckCap(const account_shape& account, clock::time_point now) {
  std::deque<run_row>& runs = runs_[account.name];
  const clock::time_point since = now - kWindow;
  while (!runs.empty() && runs.front().ran <= since) runs.pop_front();
  const auto counted =
      std::ranges::count_if(runs, [since](const run_row& each) { return each.sent > since; });
  const double allowed =
      (account.per_second * kWindow.count() + account.burst) * kFactor + kSlack;
  if (static_cast<double>(counted) <= allowed) return;
  breaks_.push_back(
      {"QUOTA", absl::StrFormat("%d requests of %s ran in %d s; allowed: %.0f", counted,
                                account.name, kWindow.count(), allowed)});
  // Reported once for each window that is over.
  runs.clear();
}

void account_oracle::OnResponse(const std::string& id, int status) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const account_shape* const holder = HolderOf(found->second.key);
  if (holder != nullptr && status == kTooManyRequests) ++counts_[holder->name].over_cap;
  if (status == kUnauthorized && (holder != nullptr || found->second.key.empty())) {
    breaks_.push_back({"DENIED", absl::StrFormat("id %s was refused with status 401", id)});
  }
}

}  // namespace bronzeroute::standin
