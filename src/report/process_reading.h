#pragma once

#include "absl/status/statusor.h"
#include "src/report/process_metrics.h"
#include "src/report/process_source.h"

namespace bronzeroute {

/// The attempt to read one process.
struct process_reading {
  process_source source;
  absl::StatusOr<process_metrics> metrics;
};

}  // namespace bronzeroute
