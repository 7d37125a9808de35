#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/time.h"
#include "src/measuring/class_metrics.h"
#include "src/measuring/process_start.h"
#include "src/measuring/request_class.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {

/// Service-level metrics of one daemon per service and class. They count the requests that
/// entered here, so that no request is counted twice on its way.
class service_metrics {
 public:
  struct service {
    /// Share of requests that must be served in time, 0 to 1.
    double objective = 0;
    /// Null for a class without requests so far.
    std::array<std::unique_ptr<class_metrics>, kRequestClasses> classes;
  };
  using service_map = std::map<std::string, service, std::less<>>;

  explicit service_metrics(const process_start& start = {}) : start_(start) {}

  /// Takes a service of the accepted document; repeated for a changed objective.
  void SetObjective(std::string_view service_name, double objective);
  /// Drops a service that the accepted document no longer has.
  void Remove(std::string_view service_name);

  /// Counts the end of a request. A service that was not set is ignored, so that unknown names
  /// in requests take no memory.
  void Record(std::string_view service_name, request_class of, request_result result,
              duration latency, time_point now);

  std::uint64_t Count(std::string_view service_name, request_class of,
                      request_result result) const;
  /// Burn rate over the last 5 minutes; see burn_window::Rate.
  double ShortBurnRate(std::string_view service_name, request_class of, time_point now) const;
  /// Burn rate over the last hour.
  double LongBurnRate(std::string_view service_name, request_class of, time_point now) const;

  const service_map& services() const { return services_; }
  const process_start& start() const { return start_; }

 private:
  const class_metrics* Find(std::string_view service_name, request_class of) const;

  process_start start_;
  service_map services_;
};

}  // namespace bronzeroute
