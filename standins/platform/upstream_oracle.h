#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/transport/header_list.h"
#include "standins/platform/rule_break.h"
#include "standins/platform/site_shape.h"

namespace bronzeroute::standin {

/// Judges what upstreams got against what they had named in their responses: a limit (LIMIT) or
/// that they leave (DRAIN), and against departures that their daemon has acknowledged, which
/// bind all machines. For the other two, a machine counts once a caller on it has received such
/// a response, until the daemon there starts again. Times are of one steady clock.
class upstream_oracle {
 public:
  using clock = std::chrono::steady_clock;

  explicit upstream_oracle(const bound_shape& bounds) : bounds_(bounds) {}

  /// The upstream names a limit in requests per second from now on; below 0 for none.
  void OnLimit(const std::string& upstream, double per_second, clock::time_point now);
  /// A response of `upstream`, which named a limit or not, reached a caller on `machine`.
  void OnLimitPassedOn(const std::string& upstream, const std::string& machine,
                       clock::time_point now);
  /// A response in which `upstream` says that it leaves reached a caller on `machine`.
  void OnLeavingPassedOn(const std::string& upstream, const std::string& machine,
                         clock::time_point now);
  /// The daemon beside `upstream` has acknowledged that it leaves: no request that is sent
  /// after `judged_from` may reach it.
  void OnDepartureAcknowledged(const std::string& upstream, clock::time_point judged_from);
  /// A request that a caller on `machine` sent at `sent` reached the upstream.
  void OnArrival(const std::string& upstream, const std::string& machine,
                 const std::string& request, clock::time_point sent, clock::time_point now);
  /// The daemon of `machine` ends and is started again.
  void OnRestart(const std::string& machine, clock::time_point now);

  const std::vector<rule_break>& breaks() const { return breaks_; }
  /// Arrivals that were counted against a limit.
  std::size_t limited_arrivals() const { return limited_arrivals_; }

 private:
  struct upstream_row {
    double per_second = -1;
    clock::time_point named;
    /// When each machine passed on the limit, and the leaving, first since its start.
    std::map<std::string, clock::time_point> limit_passed_on;
    std::map<std::string, clock::time_point> leaving_passed_on;
    std::optional<clock::time_point> departed;
    /// Arrivals of the last window that count against the limit.
    std::deque<clock::time_point> arrivals;
    bool is_broken = false;
  };

  void Count(const std::string& upstream, upstream_row& row, clock::time_point now);

  bound_shape bounds_;
  std::map<std::string, upstream_row> upstreams_;
  std::vector<rule_break> breaks_;
  std::size_t limited_arrivals_ = 0;
};

/// Tells `oracle` what the response that a caller on `machine` received says of its upstream.
void PassOn(const header_list& response, const std::string& machine, upstream_oracle& oracle);

}  // namespace bronzeroute::standin
