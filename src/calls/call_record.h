#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/call_id.h"
#include "src/base/error_kind.h"
#include "src/base/time.h"
#include "src/calls/member_target.h"
#include "src/calls/target_reason.h"
#include "src/routing/choice_summary.h"

namespace bronzeroute {

/// The data of one call that the `explain` command prints.
struct call_record {
  /// One forwarding of the call to an owner.
  struct attempt {
    member_target target;
    target_reason reason = target_reason::kChosen;
    time_point sent{};
    time_point ended{};
    /// kNone if a response was relayed.
    error_kind result = error_kind::kNone;
    /// The candidates and their scores; empty if the chooser was not used.
    choice_summary choice{};
  };

  call_id id;
  /// Request id set by the caller, empty if the deployment has none.
  std::string request_id{};
  std::string service;
  /// Name of the caller's account; empty if it has none.
  std::string account{};
  std::string path;
  bool is_protected = false;
  bool is_long = false;
  bool has_key = false;
  /// Number of the caller's try with its idempotency key, from 1.
  std::uint32_t caller_try = 1;
  std::int64_t config_version = -1;
  time_point received{};
  time_point deadline{};
  time_point ended{};
  /// In the order in which they were started.
  std::vector<attempt> attempts;
  /// Candidates of the last choice if it found no member, else empty.
  choice_summary failed_choice{};
  /// Error reported to the caller; kNone for a complete response.
  error_kind result = error_kind::kNone;
  /// True if the caller disconnected before the end; `result` is then kCancelled.
  bool caller_left = false;
  /// HTTP status of the response, or the one recorded for an earlier execution with the same
  /// key; 0 if there is none.
  int status = 0;
};

}  // namespace bronzeroute
