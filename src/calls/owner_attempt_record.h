#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/base/attempt_id.h"
#include "src/base/error_kind.h"
#include "src/base/time.h"

namespace bronzeroute {

/// The data of one attempt that its owner logs when it ends.
struct owner_attempt_record {
  attempt_id id;
  std::string_view request_id;
  std::string_view service;
  bool is_local = false;
  bool is_protected = false;
  /// The entry cancelled the attempt, or its link broke.
  bool is_abandoned = false;
  /// The attempt got a slot.
  bool was_started = false;
  /// Priority of the request, 0 for the highest.
  std::uint32_t priority = 0;
  std::int64_t config_version = -1;
  time_point arrived{};
  /// When it got its slot; meaningless unless `was_started`.
  time_point started{};
  time_point ended{};
  time_point deadline{};
  /// Error reported to the entry; kNone if a response was relayed.
  error_kind result = error_kind::kNone;
  /// HTTP status of the upstream's response, 0 if there was none.
  int status = 0;
  /// False if the response was truncated or there was none.
  bool complete = true;
};

}  // namespace bronzeroute
