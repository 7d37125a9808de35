#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include "src/report/process_metrics.h"

namespace bronzeroute {

/// Parses the text that `ExpositionText` writes. Metrics that the report does not use are
/// skipped. Fails if a line is malformed (the error names the line), or if data that the sums
/// need is missing, as in a text that was truncated or comes from an older daemon.
absl::StatusOr<process_metrics> ParseExposition(std::string_view text);

}  // namespace bronzeroute
