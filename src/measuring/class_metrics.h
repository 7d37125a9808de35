#pragma once

#include <array>
#include <cstdint>

#include "src/base/time.h"
#include "src/measuring/burn_window.h"
#include "src/measuring/latency_summary.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {

/// Service level of one class of one service.
struct class_metrics {
  std::array<std::uint64_t, kRequestResults> results{};
  /// Latency of served requests; refusals would pull it down.
  latency_summary latency;
  burn_window short_window{std::chrono::seconds(10), 30};
  burn_window long_window{std::chrono::minutes(1), 60};
};

}  // namespace bronzeroute
