#pragma once

#include "absl/status/statusor.h"
#include "src/report/process_metrics.h"
#include "src/report/process_source.h"

namespace bronzeroute {

/// The metrics read from one process, or the error.
struct process_reading {
  process_source source;
  absl::StatusOr<process_metrics> metrics;
};

}  // namespace bronzeroute
