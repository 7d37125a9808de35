#include "src/measuring/service_metrics.h"

namespace bronzeroute {

void service_metrics::SetObjective(std::string_view service_name, double objective) {
  const auto found = services_.find(service_name);
  service& row =
      found == services_.end() ? services_[std::string(service_name)] : found->second;
  row.objective = objective;
}

void service_metrics::Remove(std::string_view service_name) {
  const auto found = services_.find(service_name);
  if (found != services_.end()) services_.erase(found);
}

void service_metrics::Record(std::string_view service_name, request_class class_id,
                             request_result result, duration latency, time_point now) {
  const auto found = services_.find(service_name);
  if (found == services_.end()) return;
  std::unique_ptr<class_metrics>& metrics =
      found->second.classes[static_cast<std::size_t>(class_id)];
  if (!metrics) metrics = std::make_unique<class_metrics>(start_.UnixOffset());
  ++metrics->results[static_cast<std::size_t>(result)];
  metrics->short_window.Add(result, now);
  metrics->long_window.Add(result, now);
  if (result == request_result::kServedInTime || result == request_result::kServedLate) {
    metrics->latency.Add(latency, now);
  }
}

const class_metrics* service_metrics::Find(std::string_view service_name,
                                           request_class class_id) const {
  const auto found = services_.find(service_name);
  if (found == services_.end()) return nullptr;
  return found->second.classes[static_cast<std::size_t>(class_id)].get();
}

std::uint64_t service_metrics::Count(std::string_view service_name, request_class class_id,
                                     request_result result) const {
  const class_metrics* metrics = Find(service_name, class_id);
  return metrics == nullptr ? 0 : metrics->results[static_cast<std::size_t>(result)];
}

double service_metrics::ShortBurnRate(std::string_view service_name, request_class class_id,
                                      time_point now) const {
  const class_metrics* metrics = Find(service_name, class_id);
  if (metrics == nullptr) return 0;
  return metrics->short_window.Rate(services_.find(service_name)->second.objective, now);
}

double service_metrics::LongBurnRate(std::string_view service_name, request_class class_id,
                                     time_point now) const {
  const class_metrics* metrics = Find(service_name, class_id);
  if (metrics == nullptr) return 0;
  return metrics->long_window.Rate(services_.find(service_name)->second.objective, now);
}

}  // namespace bronzeroute
