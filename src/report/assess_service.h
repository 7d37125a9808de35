#pragma once

#include <cstdint>
#include <string>

#include "src/report/burn_report.h"
#include "src/report/service_assessment.h"

namespace bronzeroute {

/// Burn rate that both windows must reach for a page. At this rate one hour spends 2% of a
/// 30-day error budget, and 50 hours spend all of it.
inline constexpr double kPageBurn = 14.4;
/// Number of bad requests in the long window that a page requires. With few requests, a single
/// bad one can reach any burn rate.
inline constexpr std::uint64_t kPageBadRequests = 5;
/// Burn rate of the long window that puts a class on watch: at this rate or above, the error
/// budget does not last for its period.
inline constexpr double kWatchBurn = 1;

/// The assessment of `service`, determined by its worst class. Below the level page, its
/// sentence also states what `report` does not cover.
service_assessment AssessService(const burn_report::service& service,
                                 const burn_report& report);

/// The rules of the assessments and their reasons, in a few sentences.
std::string AssessmentRule();

}  // namespace bronzeroute
