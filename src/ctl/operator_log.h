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

/// The log as the command line uses it: blocking, and patient until a deadline.
class operator_log {
 public:
  /// `address` is "ip:port"; questions are given up after `timeout`.
  operator_log(std::string address, std::chrono::milliseconds timeout);

  /// Reads `state` on to the end of its stream. kFailedPrecondition if the beginning of the
  /// stream has expired and no snapshot stands in for it.
  absl::Status ReadToEnd(stream_state& state);

  /// Publishes `bytes` on `base` and gives the verdict on the first record of the publication,
  /// after reading it back; a lost response is followed by reading, never by a guess.
  /// kUnavailable: nothing was published. kUnknown: it may have been.
  absl::StatusOr<folded_record> Publish(stream_state& state, std::string_view publication_id,
                                        std::int64_t base, std::string_view bytes,
                                        std::optional<std::int64_t> trial_version);

 private:
  absl::Status ReadOnce(stream_state& state);

  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace bronzeroute
