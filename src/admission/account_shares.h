#pragma once

#include <span>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "src/base/time.h"
#include "src/configuration/account_spec.h"

namespace bronzeroute {

/// Recent use of one upstream by the accounts of a document, as a share of their weights. While
/// the capacity is short, the work of the account with the highest use is refused first, which
/// gives each account service time in proportion to its weight or as much as it needs.
class account_shares {
 public:
  /// Sets the accounts of the document in effect. The weight of an account is its rate; one
  /// without a rate, and work without an account, have the mean weight.
  void SetAccounts(std::span<const account_spec> accounts);

  /// True if there are accounts between which to share.
  bool IsActive() const { return !uses_.empty(); }

  /// Use by `account` in proportion to its weight, if work that takes `queued` in all starts in
  /// addition to what has started lately. `service_time` is that of its last request. The first
  /// few requests of an account are free: otherwise one request more than usual would make the
  /// use of a small account higher than that of a large one far above its share.
  double Use(std::string_view account, duration queued, duration service_time,
             time_point now) const;
  /// Work of `account` starts and is expected to take `service_time`.
  void OnStart(std::string_view account, duration service_time, time_point now);

 private:
  struct account_use {
    double weight = 1;
    /// Microseconds of service time at `since`; it decays from then on.
    double service_us = 0;
    time_point since{};

    double At(time_point now) const;
  };

  /// By name; the empty name stands for work without an account, or of one that the document
  /// lacks. Empty without accounts.
  absl::flat_hash_map<std::string, account_use> uses_;
};

}  // namespace bronzeroute
