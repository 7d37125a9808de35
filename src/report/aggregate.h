#pragma once

#include <span>
#include <vector>

#include "src/report/burn_report.h"
#include "src/report/member_list.h"
#include "src/report/process_reading.h"

namespace bronzeroute {

/// Sums `readings` into a report with an assessment of each service. Each process may occur
/// only once. `absent` are the members that were not read because they are dead or have left.
burn_report MakeReport(std::span<const process_reading> readings,
                       std::vector<member_list::absent_member> absent);

}  // namespace bronzeroute
