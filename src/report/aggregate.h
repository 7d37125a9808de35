#pragma once

#include <span>
#include <vector>

#include "src/report/burn_report.h"
#include "src/report/member_list.h"
#include "src/report/process_reading.h"

namespace bronzeroute {

/// Sums `readings` to a report with verdicts. Each process must occur only once.
burn_report MakeReport(std::span<const process_reading> readings,
                       std::vector<member_list::absent_member> absent);

}  // namespace bronzeroute
