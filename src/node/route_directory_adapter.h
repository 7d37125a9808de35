#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "src/calls/route_directory.h"

namespace bronzeroute {

class configuration_system;
struct host_route;

/// The configuration in effect as the entry uses it.
class route_directory_adapter final : public route_directory {
 public:
  /// `configuration` must outlive the adapter.
  route_directory_adapter(const configuration_system& configuration, std::uint64_t seed)
      : configuration_(configuration), random_(seed) {}

  route_decision Find(const caller_request& request) override;

 private:
  /// The service that takes the next request of `route`.
  const std::string& NextTarget(const host_route& route);

  const configuration_system& configuration_;
  std::mt19937_64 random_;
  /// Place of each route with several targets in its sequence of draws, 0 to 1.
  absl::flat_hash_map<std::string, double> places_;
};

}  // namespace bronzeroute
