#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/time.h"
#include "src/configuration/configuration_counters.h"
#include "src/measuring/exposition_detail.h"
#include "src/measuring/restriction_metrics.h"

namespace bronzeroute {

class budget_account;
class service_metrics;
struct usage_counters;

/// Counters of accounts with a usage cap, by name.
using usage_rows = std::vector<std::pair<std::string_view, const usage_counters*>>;

/// Returns the service-level metrics, the restrictions of upstreams and the use of the
/// measuring budget in the Prometheus text format. Times are in seconds. The counts per window
/// and per minute and the process start time allow exact sums over several processes. The first
/// 200 of `accounts` are named, the others are summed as "(others)". The last line is "# EOF".
std::string ExpositionText(const service_metrics& metrics, const budget_account& budget,
                           time_point now,
                           exposition_detail detail = exposition_detail::kMinutes,
                           const restriction_metrics& restrictions = {},
                           const usage_rows& accounts = {},
                           const configuration_counters& configuration = {});

}  // namespace bronzeroute
