#pragma once

#include <cstdint>
#include <string>

#include "src/base/error_kind.h"
#include "src/base/time.h"
#include "src/configuration/region_limit.h"

namespace bronzeroute {

/// Route and settings of a request according to the configuration in effect.
struct route_decision {
  /// kNone, kNotReady, kUnknownService, kUnknownRoute, kUnknownCredential, kUnservableAccount
  /// or kUnservableRoute.
  error_kind error = error_kind::kNone;
  /// The service that receives the request; empty after an error other than kUnknownService.
  std::string service{};
  bool is_protected = false;
  bool is_long = false;
  /// True if a route of the configuration document matched and is marked as short.
  bool is_marked_short = false;
  duration time_limit{};
  /// True if `time_limit` also limits a later deadline requested by the caller.
  bool limits_caller = false;
  /// Latency objective of the route, 0 if it has none.
  duration objective_latency{};
  /// Maximum number of attempts that may get a slot; 0 for the limit of the entry.
  std::uint32_t max_attempts = 0;
  /// Identifier of the host-based route, the same at all daemons; 0 if there is none.
  std::uint64_t route_id = 0;
  /// Priority of the request, 0 for the highest.
  std::uint32_t priority = 0;
  /// True if the configuration has accounts: attempts carry the name of the account instead of
  /// the caller's key.
  bool has_accounts = false;
  /// Name of the caller's account; empty if it has none.
  std::string account{};
  /// Priority of the account, compared before `priority`; 0 without an account.
  std::uint32_t account_priority = 0;
  /// Regions in which the request may run: what both the route and the account allow.
  region_limit regions{};
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
