#include "src/report/burn_plot.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_format.h"
#include "src/base/concat.h"
#include "src/report/escape_html.h"
#include "src/report/format_numbers.h"

namespace bronzeroute {
namespace {

constexpr int kMinutes = 60;
constexpr double kLeft = 56;
constexpr double kTop = 12;
constexpr double kWidth = 720;
constexpr double kHeight = 120;
constexpr double kSlot = kWidth / kMinutes;
constexpr double kBottom = kTop + kHeight;
constexpr double kLabelRoom = 110;
// Height of the lowest bar that is still visible.
constexpr double kLowestBar = 2;

// `share` rounded up to 1, 2 or 5 times a power of ten; at most 1.
double NiceScale(double share) {
  const double power = std::pow(10, std::floor(std::log10(share)));
  for (const double step : {1.0, 2.0, 5.0}) {
    if (step * power >= share) return std::min(step * power, 1.0);
  }
  return std::min(10 * power, 1.0);
}

std::string Line(const char* of, double x1, double y1, double x2, double y2) {
  return absl::StrFormat(
      "<line class=\"%s\" x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\"/>\n", of, x1, y1, x2,
      y2);
}

std::string Label(const char* anchor, double x, double y, const std::string& text) {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
                         anchor, text);
}

std::string Bar(const burn_report::minute& minute, double x, double scale, double allowed) {
  const double share = minute.BadShare();
  const double height =
      minute.bad == 0 ? kLowestBar : std::max(share / scale * kHeight, kLowestBar);
  const char* of = minute.bad == 0 ? "none" : share > allowed ? "over" : "within";
  return absl::StrFormat(
      "<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"><title>%s UTC: "
      "%d bad of %d requests (%s)</title></rect>\n",
      of, x + 1, kBottom - height, kSlot - 2, height, FormatMinute(minute.at), minute.bad,
      minute.good + minute.bad, FormatShare(share));
}

}  // namespace

std::string BurnPlot(const burn_report::service& service, std::int64_t newest_minute) {
  // Small enough to keep the scale above zero for an objective of 1 without bad requests.
  constexpr double kSmallestScale = 1e-4;
  const double allowed = 1 - service.objective;
  double highest = std::max(2 * allowed, kSmallestScale);
  for (const burn_report::minute& each : service.minutes) {
    highest = std::max(highest, each.BadShare());
  }
  const double scale = NiceScale(highest);
  const double right = kLeft + kWidth;
  std::string out = absl::StrFormat(
      "<svg viewBox=\"0 0 %.0f %.0f\" role=\"img\" aria-label=\"Share of bad requests of %s "
      "per "
      "minute; allowed are %s\">\n",
      right + kLabelRoom, kBottom + 22, EscapeHtml(service.name), FormatShare(allowed));
  for (const double part : {0.0, 0.5, 1.0}) {
    const double y = kBottom - part * kHeight;
    out += Line(part == 0 ? "axis" : "grid", kLeft, y, right, y);
    out += Label("end", kLeft - 6, y + 4, FormatShare(part * scale));
  }
  const std::int64_t oldest = newest_minute - kMinutes + 1;
  constexpr int kLabelEvery = 15;
  for (std::int64_t at = oldest; at <= newest_minute; ++at) {
    if (at % kLabelEvery != 0) continue;
    const double x = kLeft + static_cast<double>(at - oldest) * kSlot;
    out += Line("axis", x, kBottom, x, kBottom + 4);
    out += Label("middle", x, kBottom + 17, FormatMinute(at));
  }
  for (const burn_report::minute& each : service.minutes) {
    if (each.at < oldest || each.at > newest_minute) continue;
    out += Bar(each, kLeft + static_cast<double>(each.at - oldest) * kSlot, scale, allowed);
  }
  const double line = kBottom - allowed / scale * kHeight;
  out += Line("allowed", kLeft, line, right, line);
  out += Label("start", right + 6, line + 4, Concat("allowed ", FormatShare(allowed)));
  return out + "</svg>\n";
}

}  // namespace bronzeroute
