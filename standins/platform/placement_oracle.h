#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/configuration/region_limit.h"
#include "standins/platform/rule_break.h"
#include "standins/platform/site_shape.h"

namespace bronzeroute::standin {

/// Judges where requests arrive: outside their regions (HOME), in an evacuated zone (EVAC), or
/// at a cold upstream faster than it bears (FAILBACK). Times are of one steady clock.
class placement_oracle {
 public:
  using clock = std::chrono::steady_clock;

  explicit placement_oracle(const bound_shape& bounds) : bounds_(bounds) {}

  /// The store confirmed the evacuation of `zone`, or its end.
  void OnEvacuated(const std::string& zone, clock::time_point now);
  void OnEvacuationEnded(const std::string& zone);
  /// `upstream` is cold until `until` and bears `per_second` requests a second.
  void OnCold(const std::string& upstream, double per_second, clock::time_point until);
  /// The request `id`, which may run in `regions` only, reached the upstream.
  void OnArrival(const std::string& id, const region_limit& regions,
                 const std::string& upstream, const std::string& zone,
                 const std::string& region, clock::time_point now);

  const std::vector<rule_break>& breaks() const { return breaks_; }
  /// Arrivals of requests that have regions, and arrivals at cold upstreams.
  std::size_t limited_arrivals() const { return limited_arrivals_; }
  std::size_t cold_arrivals() const { return cold_arrivals_; }

 private:
  struct cold_row {
    double per_second = 0;
    clock::time_point until;
    /// Arrivals of the last second.
    std::deque<clock::time_point> arrivals;
    bool is_broken = false;
  };

  void CountCold(const std::string& upstream, clock::time_point now);

  bound_shape bounds_;
  /// When the evacuation in force of each zone was confirmed.
  std::map<std::string, clock::time_point> evacuated_;
  std::map<std::string, cold_row> cold_;
  std::vector<rule_break> breaks_;
  std::size_t limited_arrivals_ = 0;
  std::size_t cold_arrivals_ = 0;
};

}  // namespace bronzeroute::standin
