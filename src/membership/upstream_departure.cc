#include "src/membership/upstream_departure.h"

#include <algorithm>

namespace bronzeroute {

bool AddDeparture(std::vector<upstream_departure>& to, const upstream_departure& added) {
  const std::size_t bytes = added.identity.size();
  if (bytes == 0 || bytes > kMaxDepartureIdentityBytes) return false;
  const auto known = std::ranges::find(to, added.identity, &upstream_departure::identity);
  if (known != to.end()) {
    if (*known == added || known->started_ms > added.started_ms) return false;
    to.erase(known);
  }
  to.push_back(added);
  if (to.size() > kMaxDepartures) to.erase(to.begin());
  return true;
}

}  // namespace bronzeroute
