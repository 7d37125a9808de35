#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "src/platform/log_read.h"

namespace bronzeroute {

/// Receives the results of an `http_log_port`, on the event loop.
struct log_listener {
  std::function<void(const log_read& read)> on_read;
  std::function<void(const std::string& stream, const absl::Status& error)> on_read_failed;
  /// An error leaves open whether the append took effect.
  std::function<void(std::uint64_t token, const absl::StatusOr<std::int64_t>& offset)>
      on_append;
};

}  // namespace bronzeroute
