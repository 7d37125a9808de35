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
#include "src/measuring/account_metrics.h"
#include "src/measuring/class_metrics.h"
#include "src/measuring/process_start.h"
#include "src/measuring/request_class.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {

/// Service-level metrics of one daemon per service and request class, and per account. Only the
/// entry of a request counts it, so that sums over daemons count each request once.
class service_metrics {
 public:
  struct service {
    /// Share of requests to be served in time, 0 to 1.
    double objective = 0;
    /// Null for classes without requests.
    std::array<std::unique_ptr<class_metrics>, kRequestClasses> classes;
  };
  using service_map = std::map<std::string, service, std::less<>>;

  explicit service_metrics(const process_start& start = {}) : start_(start) {}

  /// Adds a service of the accepted document, or changes its objective.
  void SetObjective(std::string_view service_name, double objective);
  /// Removes a service that is no longer in the accepted document.
  void Remove(std::string_view service_name);

  /// Records a completed request. Services without an objective are ignored, so that unknown
  /// names in requests use no memory.
  void Record(std::string_view service_name, request_class class_id, request_result result,
              duration latency, time_point now);

  std::uint64_t Count(std::string_view service_name, request_class class_id,
                      request_result result) const;
  /// Burn rate over the last 5 minutes; see burn_window::Rate.
  double ShortBurnRate(std::string_view service_name, request_class class_id,
                       time_point now) const;
  /// Burn rate over the last hour.
  double LongBurnRate(std::string_view service_name, request_class class_id,
                      time_point now) const;

  /// Sets the total of requests that were passed on while one before them on their connection
  /// was unanswered.
  void SetPipelined(std::uint64_t total) { pipelined_ = total; }
  std::uint64_t pipelined() const { return pipelined_; }

  const service_map& services() const { return services_; }
  account_metrics& accounts() { return accounts_; }
  const account_metrics& accounts() const { return accounts_; }
  const process_start& start() const { return start_; }

 private:
  const class_metrics* Find(std::string_view service_name, request_class class_id) const;

  process_start start_;
  service_map services_;
  std::uint64_t pipelined_ = 0;
  account_metrics accounts_;
};

}  // namespace bronzeroute
