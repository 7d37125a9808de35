#pragma once

#include <cstdint>
#include <string>

#include "src/report/burn_report.h"

namespace bronzeroute {

/// An inline SVG of the share of bad requests in each minute of the hour up to
/// `newest_minute` (Unix time in minutes), against the share that the objective allows. Colours
/// come from the classes that the HTML page defines.
std::string BurnPlot(const burn_report::service& service, std::int64_t newest_minute);

}  // namespace bronzeroute
