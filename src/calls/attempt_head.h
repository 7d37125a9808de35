#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/attempt_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// What an owner must know to admit an attempt. Headers and body stay with the transport.
struct attempt_head {
  attempt_id id;
  member_id target;
  incarnation_id target_incarnation;
  std::string service;
  std::string method;
  std::string path;
  /// Idempotency key of the caller, empty if there is none.
  std::string key;
  /// The caller's own count of tries with this key, from 1.
  std::uint32_t caller_try = 1;
  std::uint32_t depth = 0;
  bool is_protected = false;
  bool is_long = false;
  /// Body bytes, or nothing for a body of unknown length.
  std::optional<std::uint64_t> content_length;
  time_point deadline;
  /// Time until which an answer is worth its full value.
  time_point objective{};
  /// Number of the route by host, 0 if there is none.
  std::uint64_t route_id = 0;
  /// Rank of the request, 0 for the most important.
  std::uint32_t priority = 0;
  /// What an offer to another owner would cost more than this one, bytes included; nothing if
  /// there is no other. The owner may decline while its upstream is slower than that.
  std::optional<duration> other_cost;
  /// The caller's own id of the request, empty if the deployment has none.
  std::string request_id{};
  /// Configuration version the entry acted on.
  std::int64_t config_version = -1;
};

}  // namespace bronzeroute
