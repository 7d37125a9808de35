#pragma once

#include <cstdint>
#include <string_view>

#include "src/base/time.h"
#include "src/routing/choice_request.h"
#include "src/routing/transfer_cost.h"

namespace bronzeroute {

/// Input of a choice policy besides the candidates.
struct choice_context {
  std::string_view service;
  choice_request request;
  /// An earlier attempt of the request was refused or lost; its members are no candidates.
  bool is_further_attempt = false;
  time_point now;
  transfer_cost costs;
  /// Means over the hints of the service's members.
  double mean_occupancy = 0;
  double mean_service_time_us = 0;
  /// Number of earlier choices for this service.
  std::uint64_t turn = 0;
};

}  // namespace bronzeroute
