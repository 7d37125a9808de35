#include "src/measuring/account_metrics.h"

#include <utility>

namespace bronzeroute {

void account_metrics::SetAccounts(std::span<const account_spec> accounts) {
  account_map kept;
  const auto keep = [&](std::string_view name) {
    const auto found = accounts_.find(name);
    kept.emplace(name, found == accounts_.end() ? counts{} : found->second);
  };
  for (const account_spec& account : accounts) {
    if (kept.size() == kMaxAccounts) {
      keep(kOtherAccounts);
      break;
    }
    keep(account.name);
  }
  accounts_ = std::move(kept);
}

void account_metrics::Record(std::string_view account, request_result result) {
  if (account.empty()) return;
  auto found = accounts_.find(account);
  if (found == accounts_.end()) found = accounts_.find(kOtherAccounts);
  // The account may have left the document while its request ran.
  if (found != accounts_.end()) ++found->second[static_cast<std::size_t>(result)];
}

}  // namespace bronzeroute
