#pragma once

#include <array>
#include <cstdint>

#include "src/base/time.h"
#include "src/measuring/burn_window.h"
#include "src/measuring/latency_summary.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {

/// Service-level metrics of one request class of one service.
struct class_metrics {
  /// `unix_offset` aligns the windows with Unix time; see burn_window.
  explicit class_metrics(duration unix_offset = {})
      : short_window(std::chrono::seconds(10), 30, unix_offset),
        long_window(std::chrono::minutes(1), 60, unix_offset) {}

  std::array<std::uint64_t, kRequestResults> results{};
  /// Latency of served requests only: refusals end quickly and would lower the quantiles.
  latency_summary latency;
  /// The last 5 minutes, in steps of 10 s.
  burn_window short_window;
  /// The last hour, in steps of 1 minute.
  burn_window long_window;
};

}  // namespace bronzeroute
