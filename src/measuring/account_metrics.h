#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "src/configuration/account_spec.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {

/// Requests of one daemon by client account. Only the entry of a request counts it. Memory and
/// text are bounded, since only accounts of the document in effect are counted by name.
class account_metrics {
 public:
  using counts = std::array<std::uint64_t, kRequestResults>;
  using account_map = std::map<std::string, counts, std::less<>>;

  /// Accounts that are counted by name. The requests of all further accounts of a document are
  /// counted together.
  static constexpr std::size_t kMaxAccounts = 1000;
  /// Stands for the further accounts. Names of accounts contain no blank.
  static constexpr std::string_view kOtherAccounts = "other accounts";

  /// Sets the accounts of the document in effect. Counts of accounts that it no longer has are
  /// removed.
  void SetAccounts(std::span<const account_spec> accounts);

  /// Records a completed request of `account`; ignored if `account` is empty.
  void Record(std::string_view account, request_result result);
  /// Records a request that was refused because no account holds its key.
  void RecordUnknownCredential() { ++unknown_credentials_; }

  const account_map& accounts() const { return accounts_; }
  std::uint64_t unknown_credentials() const { return unknown_credentials_; }

 private:
  account_map accounts_;
  std::uint64_t unknown_credentials_ = 0;
};

}  // namespace bronzeroute
