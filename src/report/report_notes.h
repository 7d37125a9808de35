#pragma once

#include <string>
#include <vector>

namespace bronzeroute {

struct burn_report;

/// What the report covers and what is missing, as single sentences without line breaks.
std::vector<std::string> ReportNotes(const burn_report& report);

/// For each process that could not be read, one line with the reason.
std::vector<std::string> UnreadableProcesses(const burn_report& report);

}  // namespace bronzeroute
