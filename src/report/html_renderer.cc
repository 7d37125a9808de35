#include "src/report/html_renderer.h"

#include <chrono>
#include <cstddef>
#include <string_view>

#include "src/base/concat.h"
#include "src/report/assess_service.h"
#include "src/report/burn_plot.h"
#include "src/report/burn_report.h"
#include "src/report/escape_html.h"
#include "src/report/format_numbers.h"
#include "src/report/report_notes.h"
#include "src/report/result_words.h"

namespace bronzeroute {
namespace {

constexpr std::string_view kStyle = R"(<style>
:root { color-scheme: light dark; --back: #fff; --text: #1c2024; --soft: #5b6570;
  --line: #d5dae0; --panel: #f5f7f9; --page: #b3261e; --watch: #8a5a00; --ok: #1b6e3c;
  --idle: #5b6570; --over: #c9372c; --within: #3a6fb0; --none: #9fb8a8; --allowed: #1c2024; }
@media (prefers-color-scheme: dark) { :root { --back: #15181b; --text: #e4e7ea;
  --soft: #a0a9b2; --line: #3a4148; --panel: #1e2226; --page: #ff8a80; --watch: #f0b849;
  --ok: #7fd19b; --idle: #a0a9b2; --over: #ff6f61; --within: #7fb0ea; --none: #4f6b5a;
  --allowed: #e4e7ea; } }
body { background: var(--back); color: var(--text); font: 15px/1.45 system-ui, sans-serif;
  max-width: 1080px; margin: 0 auto; padding: 1.5rem; }
h1 { font-size: 1.5rem; margin: 0 0 .5rem; } h2 { font-size: 1.15rem; margin: 0; }
section { border-top: 1px solid var(--line); margin-top: 1.75rem; padding-top: 1.25rem; }
ul { padding-left: 1.2rem; margin: .5rem 0; } .soft { color: var(--soft); font-size: .87rem; }
.problem { color: var(--page); } .scroll { overflow-x: auto; margin: .75rem 0; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; font-size: .87rem; }
th, td { padding: .3rem .5rem; text-align: right; border-bottom: 1px solid var(--line);
  white-space: nowrap; vertical-align: top; }
th { color: var(--soft); font-weight: 600; background: var(--panel); }
th:first-child, td:first-child, .left { text-align: left; }
td.words { white-space: normal; min-width: 11rem; }
.page { color: var(--page); font-weight: 700; } .watch { color: var(--watch); font-weight: 700; }
.ok { color: var(--ok); } .idle { color: var(--idle); } a { color: inherit; }
svg { display: block; width: 100%; min-width: 600px; height: auto; }
 svg text { fill: var(--soft); font-size: 12px; }
.axis { stroke: var(--soft); } .grid { stroke: var(--line); }
.allowed { stroke: var(--allowed); stroke-width: 1.5; stroke-dasharray: 6 4; }
.over { fill: var(--over); } .within { fill: var(--within); } .none { fill: var(--none); }
.key { white-space: nowrap; margin-right: .9em; }
.key span { display: inline-block; width: .8em; height: .8em; margin-right: .3em; }
span.over { background: var(--over); } span.within { background: var(--within); }
span.none { background: var(--none); }
</style>
)";

std::string Cell(std::string_view text) { return Concat("<td>", EscapeHtml(text), "</td>"); }

std::string Key(std::string_view of, std::string_view meaning) {
  return Concat("<span class=\"key\"><span class=\"", of, "\"></span>", meaning, "</span> ");
}

void AppendOverview(std::string& out, const burn_report& report) {
  out +=
      "<div class=\"scroll\"><table>\n<tr><th>service</th><th>objective</th>"
      "<th class=\"left\">verdict</th></tr>\n";
  for (std::size_t i = 0; i < report.services.size(); ++i) {
    const burn_report::service& service = report.services[i];
    out += Concat("<tr><td><a href=\"#s", i, "\">", EscapeHtml(service.name), "</a></td>",
                  Cell(FormatObjective(service.objective)), "<td class=\"left words ",
                  SeverityName(service.assessment.level), "\">",
                  EscapeHtml(service.assessment.sentence), "</td></tr>\n");
  }
  out += "</table></div>\n";
}

void AppendClasses(std::string& out, const burn_report::service& service) {
  out +=
      "<div class=\"scroll\"><table>\n<tr><th>class</th><th>requests<br>1 h</th>"
      "<th>bad<br>1 h</th><th>burn rate<br>5 min</th><th>burn rate<br>1 h</th>"
      "<th>budget left<br>1 h</th>";
  for (const request_result each : kBadResults) {
    out += Concat("<th>", BadResultWord(each), "<br>1 h</th>");
  }
  out += "<th>p50<br>worst</th><th>p99<br>worst</th></tr>\n";
  for (const burn_report::class_row& row : service.classes) {
    out += Concat("<tr>", Cell(RequestClassName(row.of)),
                  Cell(Concat(AllRequests(row.long_window))),
                  Cell(Concat(BadRequests(row.long_window))), Cell(FormatBurn(row.short_burn)),
                  Cell(FormatBurn(row.long_burn)), Cell(FormatBudgetLeft(row.BudgetLeft())));
    for (const request_result each : kBadResults) {
      out += Cell(Concat(row.long_window[static_cast<std::size_t>(each)]));
    }
    for (const auto* worst : {&row.p50, &row.p99}) {
      out += Concat("<td>", FormatLatency(worst->seconds), "<br><span class=\"soft\">",
                    EscapeHtml(worst->process), "</span></td>");
    }
    out += "</tr>\n";
  }
  out += "</table></div>\n";
}

void AppendService(std::string& out, const burn_report::service& service, std::size_t index,
                   std::int64_t newest_minute) {
  out += Concat("<section id=\"s", index, "\">\n<h2>", EscapeHtml(service.name), "</h2>\n<p>",
                "<span class=\"", SeverityName(service.assessment.level), "\">",
                EscapeHtml(service.assessment.sentence), "</span><br><span class=\"soft\">",
                FormatObjective(service.objective),
                " of the requests must be served in time. Counted by ", service.processes,
                service.processes == 1 ? " process." : " processes.");
  if (service.objectives_differ) {
    out += " The processes report different objectives; the highest is used.";
  }
  out += "</span></p>\n";
  if (!service.classes.empty()) {
    AppendClasses(out, service);
    out += Concat("<div class=\"scroll\">", BurnPlot(service, newest_minute), "</div>\n");
  }
  out += "</section>\n";
}

}  // namespace

std::string HtmlReport(const burn_report& report) {
  const std::string made_at = FormatTime(report.made_at);
  std::string out = Concat(
      "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
      "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n"
      "<title>Service-level burn at ",
      made_at, "</title>\n", kStyle, "</head>\n<body>\n<h1>Service-level burn</h1>\n<p>",
      made_at, "</p>\n<ul>\n");
  for (const std::string& note : ReportNotes(report)) {
    out += Concat("<li>", EscapeHtml(note), "</li>\n");
  }
  for (const std::string& line : UnreadableProcesses(report)) {
    out += Concat("<li class=\"problem\">Could not be read: ", EscapeHtml(line), "</li>\n");
  }
  out += "</ul>\n";
  if (report.services.empty()) {
    out += "<p>The processes that were read report no service.</p>\n";
  } else {
    AppendOverview(out, report);
    out += Concat(
        "<p class=\"soft\">The plots show the share of bad requests in each minute, all "
        "classes "
        "together, in UTC. ",
        Key("over", "more than allowed"), Key("within", "allowed"),
        Key("none", "no bad request"), "A minute without a bar had no requests.</p>\n");
  }
  const std::int64_t newest = std::chrono::floor<std::chrono::minutes>(report.made_at).count();
  for (std::size_t i = 0; i < report.services.size(); ++i) {
    AppendService(out, report.services[i], i, newest);
  }
  return out + Concat("<section class=\"soft\"><p>", EscapeHtml(AssessmentRule()),
                      "</p>\n<p>Latencies are those of the worst process, not of all "
                      "requests.</p></section>\n</body>\n</html>\n");
}

}  // namespace bronzeroute
