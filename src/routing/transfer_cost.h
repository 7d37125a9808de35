#pragma once

namespace bronzeroute {

/// What a byte that leaves the zone of a request is worth in waiting time, in microseconds a
/// byte. It weighs billed traffic against latency in the choice of an upstream.
struct transfer_cost {
  double between_zones_us = 0;
  /// A body of 1 MiB to another region must save about 20 ms.
  double between_regions_us = 0.02;
};

}  // namespace bronzeroute
