#pragma once

#include <string>

namespace bronzeroute {

struct burn_report;

/// The report as one JSON object; docs/burn-report.md lists its fields.
std::string JsonReport(const burn_report& report);

}  // namespace bronzeroute
