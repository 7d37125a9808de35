#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// The head of a caller's request as the transport parsed it.
struct caller_request {
  exchange_id exchange;
  std::string method;
  /// Path with query, as received. Without routes by host its first segment names the service.
  std::string path;
  /// Value of the Host field.
  std::string host{};
  /// The caller's own id of this request, empty if the deployment has none.
  std::string request_id{};
  std::string key;
  std::uint32_t caller_try = 1;
  std::uint32_t depth = 0;
  std::optional<std::uint64_t> content_length;
  /// The caller's deadline, or nothing if the service's own applies.
  std::optional<time_point> deadline;
};

}  // namespace bronzeroute
