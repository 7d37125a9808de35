#include "src/report/report_notes.h"

#include <cstddef>

#include "src/base/concat.h"
#include "src/report/burn_report.h"
#include "src/report/format_numbers.h"

namespace bronzeroute {
namespace {

// Above this difference, the windows of the processes do not cover the same period of time.
constexpr duration kMaxSpread = std::chrono::minutes(1);

std::string Processes(std::size_t count) {
  return Concat(count, count == 1 ? " process" : " processes");
}

std::string Absent(const burn_report& report) {
  std::string names;
  for (const member_list::absent_member& each : report.absent) {
    names += Concat(names.empty() ? "" : ", ", each.name, " ", each.state);
  }
  return Concat("Not read because they are dead or left, so their counts are missing: ", names,
                ".");
}

}  // namespace

std::vector<std::string> ReportNotes(const burn_report& report) {
  std::vector<std::string> notes;
  notes.push_back(
      report.complete()
          ? Concat("Covers ", Processes(report.readable()), ", all that were to be read.")
          : Concat("Covers ", report.readable(), " of ", Processes(report.processes.size()),
                   "; ", report.unreadable, " could not be read, so all counts are too low."));
  if (!report.absent.empty()) notes.push_back(Absent(report));
  if (report.readable() > 0) {
    notes.push_back(Concat("Uptime is ", FormatDuration(report.shortest_uptime), " to ",
                           FormatDuration(report.longest_uptime), "; the counts cover ",
                           FormatShare(report.short_coverage),
                           " of the processes' time in the 5 min window and ",
                           FormatShare(report.long_coverage), " in the 1 h window."));
  }
  if (report.long_coverage < 1 && report.readable() > 0) {
    notes.push_back(
        "What a process counted before it was replaced is lost; new processes look the same.");
  }
  if (report.spread > kMaxSpread) {
    notes.push_back(Concat("The processes were read ", FormatDuration(report.spread),
                           " apart by their clocks; their windows differ by as much."));
  }
  return notes;
}

std::vector<std::string> UnreadableProcesses(const burn_report& report) {
  std::vector<std::string> lines;
  for (const burn_report::process& each : report.processes) {
    if (each.problem.empty()) continue;
    const process_source& source = each.source;
    std::string line = source.name.empty() ? "(no address)" : source.name;
    if (!source.region.empty()) {
      line += Concat(" (", source.service, " in ", source.region, ", ",
                     source.availability_zone, ")");
    }
    lines.push_back(Concat(line, ": ", each.problem));
  }
  return lines;
}

}  // namespace bronzeroute
