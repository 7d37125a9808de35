#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/base/time.h"
#include "src/measuring/burn_window.h"
#include "src/measuring/request_class.h"

namespace bronzeroute {

/// The service-level metrics of one daemon.
struct process_metrics {
  struct minute_counts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
  };
  struct class_row {
    burn_window::counts short_window{};
    burn_window::counts long_window{};
    /// Latency of served requests in seconds; 0 without any in the last minutes.
    double p50 = 0;
    double p99 = 0;
    /// Keyed by the Unix time in minutes; minutes without requests are omitted.
    std::map<std::int64_t, minute_counts> minutes;
  };
  struct service_row {
    /// Share of requests that must be served in time, 0 to 1.
    double objective = 0;
    /// Empty for a class without requests since the start.
    std::array<std::optional<class_row>, kRequestClasses> classes;
  };

  /// Start of the process in Unix time.
  duration started{};
  duration uptime{};
  std::map<std::string, service_row, std::less<>> services;

  /// Unix time at which the exposition was made.
  duration read_at() const { return started + uptime; }
};

}  // namespace bronzeroute
