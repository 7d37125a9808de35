#pragma once

#include <cstdint>
#include <string>

#include "src/report/burn_report.h"
#include "src/report/service_assessment.h"

namespace bronzeroute {

/// Burn rate from which a class pages if both windows reach it. At this rate one hour spends
/// 2% of the budget of 30 days, and all of it is gone in 50 hours.
inline constexpr double kPageBurn = 14.4;
/// Bad requests in the long window from which a class may page. With few requests, a single
/// bad one reaches any burn rate.
inline constexpr std::uint64_t kPageBadRequests = 5;
/// Burn rate of the long window from which a class is to be watched: the budget does not last
/// for its period.
inline constexpr double kWatchBurn = 1;

/// The verdict on `service`, set by its worst class. A verdict below page names what `report`
/// does not cover.
service_assessment AssessService(const burn_report::service& service,
                                 const burn_report& report);

/// The rule of the verdicts and its reasons, in a few sentences.
std::string AssessmentRule();

}  // namespace bronzeroute
