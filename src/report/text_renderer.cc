#include "src/report/text_renderer.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

#include "src/base/concat.h"
#include "src/report/assess_service.h"
#include "src/report/burn_report.h"
#include "src/report/format_numbers.h"
#include "src/report/report_notes.h"
#include "src/report/result_words.h"

namespace bronzeroute {
namespace {

using table = std::vector<std::vector<std::string>>;

// Names come from other processes; control characters could move a terminal's cursor.
std::string Printable(std::string_view text) {
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    result += byte < 0x20 || byte == 0x7f ? '?' : c;
  }
  return result;
}

// Columns are right-aligned, except for the first one, which holds names.
void AppendTable(std::string& out, const table& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    out += "  ";
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string fill(widths[i] - row[i].size(), ' ');
      out += i == 0 ? row[i] + fill : "  " + fill + row[i];
    }
    out += '\n';
  }
}

void AppendService(std::string& out, const burn_report::service& service) {
  out += Concat("\n", Printable(service.name), "  objective ",
                FormatObjective(service.objective), "\n  ", service.assessment.sentence, "\n");
  if (service.objectives_differ) {
    out += "  The processes report different objectives; the highest is used.\n";
  }
  if (service.classes.empty()) return;
  table rows = {{"class", "requests 1h", "bad 1h", "burn 5m", "burn 1h", "budget left 1h"}};
  for (const request_result each : kBadResults) {
    rows.front().emplace_back(BadResultWord(each));
  }
  rows.front().insert(rows.front().end(), {"p50", "p99", "p99 at"});
  for (const burn_report::class_row& row : service.classes) {
    std::vector<std::string>& cells = rows.emplace_back();
    cells.emplace_back(RequestClassName(row.of));
    cells.push_back(Concat(AllRequests(row.long_window)));
    cells.push_back(Concat(BadRequests(row.long_window)));
    cells.push_back(FormatBurn(row.short_burn));
    cells.push_back(FormatBurn(row.long_burn));
    cells.push_back(FormatBudgetLeft(row.BudgetLeft()));
    for (const request_result each : kBadResults) {
      cells.push_back(Concat(row.long_window[static_cast<std::size_t>(each)]));
    }
    cells.push_back(FormatLatency(row.p50.seconds));
    cells.push_back(FormatLatency(row.p99.seconds));
    cells.push_back(row.p99.process.empty() ? "-" : Printable(row.p99.process));
  }
  AppendTable(out, rows);
}

}  // namespace

std::string TextReport(const burn_report& report) {
  std::string out = Concat("Service-level burn at ", FormatTime(report.made_at), "\n");
  for (const std::string& note : ReportNotes(report)) out += Printable(note) + "\n";
  for (const std::string& line : UnreadableProcesses(report)) {
    out += Concat("Could not be read: ", Printable(line), "\n");
  }
  for (const burn_report::service& service : report.services) AppendService(out, service);
  if (report.services.empty()) out += "\nThe processes that were read report no service.\n";
  return out +
         "\nLatencies p50 and p99 are those of the worst process, not of all requests.\n" +
         AssessmentRule() + "\n";
}

}  // namespace bronzeroute
