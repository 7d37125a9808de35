#pragma once

#include <cstdint>
#include <string>

#include "src/base/time.h"

namespace bronzeroute {

/// "0.42x", "14.4x", "infinite".
std::string FormatBurn(double rate);
/// "99.95%", with up to six digits.
std::string FormatObjective(double objective);
/// A share in percent, with three digits: "0.123%". Shares below 1 are never rounded to "100%".
std::string FormatShare(double share);
/// The remaining share of an error budget: "58%", "none".
std::string FormatBudgetLeft(double left);
/// "36 h", or "4.2 days" from two days on.
std::string FormatHours(double hours);
/// "12 s", "7 min", "3.5 h", "12 days".
std::string FormatDuration(duration value);
/// A latency: "0.8 ms", "120 ms", "2.5 s".
std::string FormatLatency(double seconds);
/// A Unix time: "2026-12-04 07:15:00 UTC".
std::string FormatTime(duration unix_time);
/// A Unix time in minutes: "07:15".
std::string FormatMinute(std::int64_t unix_minutes);

}  // namespace bronzeroute
