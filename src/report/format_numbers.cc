#include "src/report/format_numbers.h"

#include <chrono>
#include <cmath>

#include "absl/strings/str_format.h"

namespace bronzeroute {
namespace {

std::string ThreeDigits(double value) {
  const double size = std::abs(value);
  if (size >= 100) return absl::StrFormat("%.0f", value);
  return absl::StrFormat("%.*f", size >= 10 ? 1 : 2, value);
}

}  // namespace

std::string FormatBurn(double rate) {
  if (rate == 0) return "0x";
  return std::isinf(rate) ? "infinite" : ThreeDigits(rate) + "x";
}

std::string FormatObjective(double objective) {
  return absl::StrFormat("%.6g%%", objective * 100);
}

std::string FormatShare(double share) {
  constexpr double kRoundsToAll = 0.9995;
  if (share >= kRoundsToAll && share < 1) return "99.9%";
  return absl::StrFormat("%.3g%%", share * 100);
}

std::string FormatBudgetLeft(double left) { return left > 0 ? FormatShare(left) : "none"; }

std::string FormatHours(double hours) {
  return hours < 48 ? absl::StrFormat("%.0f h", hours)
                    : absl::StrFormat("%.1f days", hours / 24);
}

std::string FormatDuration(duration value) {
  const double seconds = static_cast<double>(value.count()) / 1e6;
  if (seconds < 120) return absl::StrFormat("%.0f s", seconds);
  if (seconds < 2 * 3600) return absl::StrFormat("%.0f min", seconds / 60);
  if (seconds < 48 * 3600) return absl::StrFormat("%.1f h", seconds / 3600);
  return absl::StrFormat("%.1f days", seconds / 86400);
}

std::string FormatLatency(double seconds) {
  if (seconds <= 0) return "-";
  if (seconds < 1) return ThreeDigits(seconds * 1e3) + " ms";
  return ThreeDigits(seconds) + " s";
}

std::string FormatTime(duration unix_time) {
  const auto whole = std::chrono::floor<std::chrono::seconds>(unix_time);
  const std::chrono::sys_seconds at(whole);
  const auto day = std::chrono::floor<std::chrono::days>(at);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(at - day);
  return absl::StrFormat("%04d-%02u-%02u %02d:%02d:%02d UTC", static_cast<int>(date.year()),
                         static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                         time.hours().count(), time.minutes().count(), time.seconds().count());
}

std::string FormatMinute(std::int64_t unix_minutes) {
  const std::int64_t of_day = ((unix_minutes % 1440) + 1440) % 1440;
  return absl::StrFormat("%02d:%02d", of_day / 60, of_day % 60);
}

}  // namespace bronzeroute
