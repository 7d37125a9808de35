#pragma once

#include <string>
#include <vector>

namespace bronzeroute {

struct burn_report;

/// What the report covers and what it lacks, one sentence each, without line breaks.
std::vector<std::string> ReportNotes(const burn_report& report);

/// One line for each process that could not be read and why.
std::vector<std::string> UnreadableProcesses(const burn_report& report);

}  // namespace bronzeroute
