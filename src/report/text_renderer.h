#pragma once

#include <string>

namespace bronzeroute {

struct burn_report;

/// The report as plain text for a terminal.
std::string TextReport(const burn_report& report);

}  // namespace bronzeroute
