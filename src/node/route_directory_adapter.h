#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "src/calls/route_directory.h"

namespace bronzeroute {

class configuration_system;
struct host_route;

/// Finds the route of a request in the configuration in effect.
class route_directory_adapter final : public route_directory {
 public:
  /// `configuration` must outlive the adapter.
  route_directory_adapter(const configuration_system& configuration, std::uint64_t seed)
      : configuration_(configuration), random_(seed) {}

  route_decision Find(const caller_request& request) override;
  region_limit RegionsOf(std::uint64_t route_id, std::string_view account) const override;
  /// True if the configuration in effect has a route for the request that allows it to run more
  /// than once.
  bool IsRepeatable(std::string_view method, std::string_view host,
                    std::string_view path) const;

 private:
  /// Returns the service that receives the next request of `route`, by the targets' weights;
  /// empty if the request falls to a share without a service.
  const std::string& NextTarget(const host_route& route);

  const configuration_system& configuration_;
  std::mt19937_64 random_;
  /// Position of each route with several targets in its low-discrepancy sequence, 0 to 1.
  absl::flat_hash_map<std::string, double> positions_;
};

}  // namespace bronzeroute
