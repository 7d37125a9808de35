#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "src/configuration/folded_record.h"
#include "src/ctl/stream_state.h"

namespace bronzeroute {

/// Blocking access to the log for `brctl`, with retries until a time limit.
class operator_log {
 public:
  /// `address` is "ip:port". `timeout` limits each call, including its retries.
  operator_log(std::string address, std::chrono::milliseconds timeout);

  /// Continues `state` to the end of its stream. kFailedPrecondition if the beginning of the
  /// stream has expired and there is no snapshot that covers it.
  absl::Status ReadToEnd(stream_state& state);

  /// Publishes `bytes` on the version `base` and reads the stream until it contains the
  /// publication, also if the response to the append was lost. Returns the outcome of the first
  /// record of the publication. kUnavailable: nothing was published. kUnknown: the publication
  /// may have taken effect.
  absl::StatusOr<folded_record> Publish(stream_state& state, std::string_view publication_id,
                                        std::int64_t base, std::string_view bytes,
                                        std::optional<std::int64_t> trial_version);

 private:
  absl::Status ReadOnce(stream_state& state);

  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace bronzeroute
