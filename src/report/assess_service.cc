#include "src/report/assess_service.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string_view>
#include <tuple>
#include <utility>

#include "src/base/concat.h"
#include "src/report/format_numbers.h"
#include "src/report/result_words.h"

namespace bronzeroute {
namespace {

using severity = service_assessment::severity;

constexpr double kBudgetPeriodHours = 30 * 24;
// From this coverage of the hour on, an assessment does not mention what is missing: a few
// restarted processes among many make no difference.
constexpr double kWellCovered = 0.95;

// The most frequent bad result of the long window, as in "mostly refused".
std::string MainCause(const burn_window::counts& results) {
  std::size_t worst = static_cast<std::size_t>(kBadResults.front());
  for (const request_result each : kBadResults) {
    const auto i = static_cast<std::size_t>(each);
    if (results[i] > results[worst]) worst = i;
  }
  const bool only = results[worst] == BadRequests(results);
  return Concat(only ? "all " : "mostly ", BadResultWord(static_cast<request_result>(worst)));
}

std::string PageSentence(const burn_report::class_row& row) {
  const std::string name = Concat("Page: ", RequestClassName(row.of), " requests ");
  const std::string cause = MainCause(row.long_window);
  if (std::isinf(row.long_burn)) {
    return Concat(name, "miss an objective of 100%, ", BadRequests(row.short_window),
                  " in 5 min and ", BadRequests(row.long_window), " in 1 h, ", cause);
  }
  return Concat(name, "burn error budget at ", FormatBurn(row.short_burn),
                " the allowed rate over 5 min and ", FormatBurn(row.long_burn), " over 1 h, ",
                cause, "; a 30-day budget lasts ",
                FormatHours(kBudgetPeriodHours / row.long_burn));
}

std::string WatchSentence(const burn_report::class_row& row) {
  const std::string name = Concat("Watch: ", RequestClassName(row.of), " requests ");
  const std::uint64_t bad = BadRequests(row.long_window);
  const std::string cause = MainCause(row.long_window);
  if (row.long_burn >= kPageBurn && row.short_burn >= kPageBurn) {
    return Concat(name, "missed the objective ", bad, bad == 1 ? " time" : " times",
                  " in 1 h, ", cause, ", too few to page");
  }
  if (row.short_burn >= kPageBurn) {
    return Concat(name, "began to burn error budget at ", FormatBurn(row.short_burn),
                  " the allowed rate in the last 5 min, ", MainCause(row.short_window),
                  "; it pages if this lasts");
  }
  if (row.long_burn >= kPageBurn) {
    return Concat(name, "burned error budget at ", FormatBurn(row.long_burn),
                  " the allowed rate over 1 h, ", cause, ", but only at ",
                  FormatBurn(row.short_burn), " in the last 5 min");
  }
  return Concat(name, "burned error budget at ", FormatBurn(row.long_burn),
                " the allowed rate over 1 h, ", cause,
                "; the budget does not last at this rate");
}

severity LevelOf(const burn_report::class_row& row) {
  if (AllRequests(row.long_window) == 0) return severity::kIdle;
  if (row.short_burn >= kPageBurn && row.long_burn >= kPageBurn &&
      BadRequests(row.long_window) >= kPageBadRequests) {
    return severity::kPage;
  }
  return row.short_burn >= kPageBurn || row.long_burn >= kWatchBurn ? severity::kWatch
                                                                    : severity::kOk;
}

std::string Sentence(severity level, const burn_report::class_row* worst) {
  switch (level) {
    case severity::kIdle:
      return "Idle: no requests in the last hour";
    case severity::kOk:
      break;
    case severity::kWatch:
      return WatchSentence(*worst);
    case severity::kPage:
      return PageSentence(*worst);
  }
  if (worst->long_burn == 0) return "OK: no request missed the objective in the last hour";
  return Concat("OK: within the error budget, highest burn ", FormatBurn(worst->long_burn),
                " over 1 h, by ", RequestClassName(worst->of), " requests");
}

// What the assessment does not cover, in parentheses; empty if it covers enough.
std::string Reservation(const burn_report& report) {
  std::string text;
  if (!report.complete()) {
    text = Concat(report.readable(), " of ", report.processes.size(), " processes read");
  }
  if (report.long_coverage < kWellCovered) {
    text += Concat(text.empty() ? "" : ", ", FormatShare(report.long_coverage),
                   " of the hour covered");
  }
  return text.empty() ? text : Concat(" (", text, ")");
}

}  // namespace

service_assessment AssessService(const burn_report::service& service,
                                 const burn_report& report) {
  const auto rank = [](const burn_report::class_row& row) {
    return std::tuple(LevelOf(row), row.long_burn, row.short_burn);
  };
  const auto worst = std::max_element(
      service.classes.begin(), service.classes.end(),
      [&rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
  service_assessment result;
  if (worst != service.classes.end()) result.level = LevelOf(*worst);
  result.sentence = Sentence(result.level, worst == service.classes.end() ? nullptr : &*worst);
  // Missing data cannot invalidate a page.
  if (result.level != severity::kPage) result.sentence += Reservation(report);
  result.sentence += '.';
  return result;
}

std::string AssessmentRule() {
  return Concat(
      "Page: a class burns its error budget at least ", kPageBurn,
      " times as fast as allowed over 5 min and over 1 h, with at least ", kPageBadRequests,
      " bad requests in the hour. At ", kPageBurn,
      " times, one hour spends 2% of a 30-day budget. The hour shows that the burn is no short "
      "spike, the 5 min that it still goes on. Watch: only one window burns that fast, there "
      "are too few bad requests to page, or the hour burns as fast as allowed or faster, so "
      "that the budget does not last.");
}

}  // namespace bronzeroute
