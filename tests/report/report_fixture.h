#pragma once

#include <string>
#include <utility>
#include <vector>

#include "src/base/time.h"
#include "src/measuring/budget_account.h"
#include "src/measuring/exposition.h"
#include "src/measuring/service_metrics.h"
#include "src/report/aggregate.h"
#include "src/report/exposition_parser.h"
#include "src/report/process_reading.h"

namespace bronzeroute {

inline constexpr time_point kStart{std::chrono::seconds(500)};
/// Unix time at `kStart`, a whole minute.
inline constexpr duration kUnixStart = std::chrono::minutes(28'000'000);

inline std::string Exposition(const service_metrics& metrics, time_point now) {
  return ExpositionText(metrics, budget_account(0, duration(0)), now);
}

inline service_metrics StartedMetrics(duration later = {}) {
  return service_metrics({.started = kStart, .unix_time = kUnixStart + later});
}

/// Records `count` requests that took 2 ms.
inline void RecordMany(service_metrics& metrics, std::string_view service, request_class of,
                       request_result result, int count, time_point now) {
  for (int i = 0; i < count; ++i) {
    metrics.Record(service, of, result, std::chrono::milliseconds(2), now);
  }
}

inline process_reading ReadingNamed(std::string name, absl::StatusOr<process_metrics> metrics) {
  process_reading reading{.source = {}, .metrics = std::move(metrics)};
  reading.source.name = std::move(name);
  return reading;
}

inline process_reading ReadingOf(std::string name, const service_metrics& metrics,
                                 time_point now) {
  return ReadingNamed(std::move(name), ParseExposition(Exposition(metrics, now)));
}

}  // namespace bronzeroute
