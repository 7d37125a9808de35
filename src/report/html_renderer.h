#pragma once

#include <string>

namespace bronzeroute {

struct burn_report;

/// The report as one HTML page that loads no other resources.
std::string HtmlReport(const burn_report& report);

}  // namespace bronzeroute
