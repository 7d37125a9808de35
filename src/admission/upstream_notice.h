#pragma once

#include <optional>
#include <string_view>

#include "src/base/time.h"

namespace bronzeroute {

/// What an upstream states about itself in the head of a response, besides its load.
struct upstream_notice {
  /// Requests per second that it takes from all daemons together; nothing if it names no limit.
  std::optional<double> max_rate;
  /// The value of a limit that is no number of requests per second; otherwise empty.
  std::string_view malformed_rate;
  bool is_leaving = false;
  /// False if the absence of a limit means nothing, as in a refusal.
  bool is_complete = true;
  /// Time at which the request was sent.
  time_point asked;
};

}  // namespace bronzeroute
