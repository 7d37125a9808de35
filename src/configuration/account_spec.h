#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/credential_digest.h"
#include "src/configuration/region_limit.h"

namespace bronzeroute {

/// A client account of the document: who may send requests, and how many.
struct account_spec {
  std::string name;
  /// Digests of the keys that identify the account. No key belongs to two accounts.
  std::vector<credential_digest> credentials;
  /// Rank of the account's requests, 0 for the highest. Compared before the route's priority.
  std::uint32_t priority = 0;
  /// Usage cap over all daemons together: a token bucket that gains `rate_per_s` requests per
  /// second and holds `burst`. A rate of 0 means no cap.
  double rate_per_s = 0;
  double burst = 0;
  /// Regions in which the account's requests may run. A limit of the route binds as well.
  region_limit regions;

  bool is_capped() const { return rate_per_s > 0; }
};

}  // namespace bronzeroute
