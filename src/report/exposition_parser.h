#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include "src/report/process_metrics.h"

namespace bronzeroute {

/// Reads the text that `ExpositionText` writes. Metrics that the report does not use are
/// skipped. Fails with the line number if a line is malformed, and if a part is missing that
/// the sums need, as in a text that was cut short or comes from an older daemon.
absl::StatusOr<process_metrics> ParseExposition(std::string_view text);

}  // namespace bronzeroute
