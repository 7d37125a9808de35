#include "standins/load/class_result.h"

#include <algorithm>
#include <cmath>

namespace bronzeroute::standin {

std::int64_t class_result::Percentile(double share) const {
  if (latencies_us.empty()) {
    return 0;
  }
  std::vector<std::int64_t> sorted = latencies_us;
  std::ranges::sort(sorted);
  const double rank = std::ceil(share * static_cast<double>(sorted.size())) - 1;
  return sorted[static_cast<std::size_t>(std::max(rank, 0.0))];
}

}  // namespace bronzeroute::standin
