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

/// What `explain` tells about one call.
struct call_record {
  /// One attempt, in order.
  struct attempt {
    member_target target;
    target_reason reason = target_reason::kChosen;
    time_point sent{};
    time_point ended{};
    /// kNone if a response was passed on.
    error_kind result = error_kind::kNone;
    /// The candidates and their scores; empty if the choice module was not asked.
    choice_summary choice{};
  };

  call_id id;
  /// The caller's own id of the request, empty if the deployment has none.
  std::string request_id{};
  std::string service;
  std::string path;
  bool is_protected = false;
  bool is_long = false;
  bool has_key = false;
  std::uint32_t caller_try = 1;
  std::int64_t config_version = -1;
  time_point received{};
  time_point deadline{};
  time_point ended{};
  std::vector<attempt> attempts;
  /// The last choice, if it found no member.
  choice_summary failed_choice{};
  /// What the caller was told; kNone for a complete response.
  error_kind result = error_kind::kNone;
  /// True if the caller left before the end; `result` is then kCancelled.
  bool caller_left = false;
  /// HTTP status of the response or of the recorded earlier run, 0 if there is none.
  int status = 0;
};

}  // namespace bronzeroute
