#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/attempt_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// The fields of an attempt that the owner needs for admission. The transport keeps headers and
/// body.
struct attempt_head {
  attempt_id id;
  member_id target;
  incarnation_id target_incarnation;
  std::string service;
  std::string method;
  std::string path;
  /// Idempotency key of the caller, empty if there is none.
  std::string key;
  /// Try number sent by the caller (header `Bronzeroute-Try`), from 1. A try is one sending of
  /// the same request with the same idempotency key by the caller.
  std::uint32_t caller_try = 1;
  /// Nesting depth: 0 for a call from outside, one more for a call made by running work.
  std::uint32_t depth = 0;
  bool is_protected = false;
  bool is_long = false;
  /// Body bytes, or nothing for a body of unknown length.
  std::optional<std::uint64_t> content_length;
  time_point deadline;
  /// Time by which the response should be complete to meet the latency objective of the route.
  time_point objective{};
  /// Identifier of the host-based route, 0 if there is none.
  std::uint64_t route_id = 0;
  /// Priority of the request, 0 for the highest.
  std::uint32_t priority = 0;
  /// Name of the caller's account; empty if it has none.
  std::string account{};
  /// Priority of the account, compared before `priority`; 0 without an account.
  std::uint32_t account_priority = 0;
  /// Additional cost of an attempt at the next best owner, transfer of the body included;
  /// nothing if there is no other owner. The owner may refuse while the slowness of its
  /// upstream costs more than that.
  std::optional<duration> other_cost;
  /// Request id set by the caller, empty if the deployment has none.
  std::string request_id{};
  /// Version of the configuration that the entry used.
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
