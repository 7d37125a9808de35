#pragma once

#include <cstdint>
#include <optional>

#include "src/base/time.h"
#include "src/configuration/region_limit.h"

namespace bronzeroute {

/// What the choice of an upstream depends on besides the service.
struct choice_request {
  bool is_protected = false;
  bool is_long = false;
  /// Body bytes, or nothing for a body of unknown length.
  std::optional<std::uint64_t> content_length;
  /// Expected bytes of the response, or nothing if they cannot be predicted.
  std::optional<std::uint64_t> response_bytes{};
  time_point deadline;
  /// Regions in which the request may run, in addition to those of the service.
  region_limit regions{};
};

}  // namespace bronzeroute
