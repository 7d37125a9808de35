#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "src/platform/log_read.h"

namespace bronzeroute {

/// Callbacks for the results of a `log_port`, called on the event loop.
struct log_listener {
  std::function<void(const log_read& read)> on_read;
  std::function<void(const std::string& stream, const absl::Status& error)> on_read_failed;
  /// After an error, the append may or may not have taken effect.
  std::function<void(std::uint64_t token, const absl::StatusOr<std::int64_t>& offset)>
      on_append;
};

}  // namespace bronzeroute
