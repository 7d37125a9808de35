#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "standins/platform/configuration_author.h"
#include "standins/platform/site_shape.h"

namespace bronzeroute::standin {

/// A rule that was broken, as seen from outside.
struct rule_break {
  std::string rule;
  std::string text;
};

/// Judges what callers and upstreams saw against the versions that the operator confirmed. It
/// knows nothing of daemons but their names. Times are of one steady clock.
class configuration_oracle {
 public:
  using clock = std::chrono::steady_clock;

  explicit configuration_oracle(const bound_shape& bounds) : bounds_(bounds) {}

  /// The operator sends `version`; it may be in effect from now on.
  void OnSent(const authored_version& version, clock::time_point now);
  /// The operator's write was confirmed.
  void OnConfirmed(std::int64_t version, clock::time_point now);
  /// The store has a fault, which excuses versions that are late.
  void OnStoreFault(clock::time_point from, clock::time_point until);
  /// A caller sends a request to the daemon `entry`.
  void OnRequest(const std::string& id, const std::string& entry, const std::string& host,
                 const std::string& path, bool is_protected, clock::time_point now);
  /// An upstream of `service` begins to run the request.
  void OnRun(const std::string& id, const std::string& service, clock::time_point now);
  /// The caller has a complete response, or none (status 0).
  void OnResponse(const std::string& id, int status, clock::time_point now);

  const std::vector<rule_break>& breaks() const { return breaks_; }
  const std::map<std::string, int>& statuses() const { return statuses_; }
  /// Requests that would have broken CONFIG, had the store been sound.
  std::size_t excused() const { return excused_; }

 private:
  struct version_row {
    authored_version version;
    clock::time_point sent;
    clock::time_point confirmed = clock::time_point::max();
  };
  struct request_row {
    std::string entry;
    std::string host;
    std::string path;
    bool is_protected = false;
    clock::time_point sent;
    int runs = 0;
    bool was_refused = false;
    int status = -1;
  };

  /// The versions that may be in effect for a request sent at `sent` and handled until `now`.
  std::vector<const version_row*> InEffect(clock::time_point sent, clock::time_point now) const;
  void Break(std::string rule, const std::string& id, const request_row& row,
             const std::string& text);
  std::int64_t Newest(clock::time_point sent) const;
  /// True if the store was sound for the time before `sent` in which a version must arrive.
  bool IsInTouch(clock::time_point sent) const;

  bound_shape bounds_;
  std::vector<std::pair<clock::time_point, clock::time_point>> faults_;
  std::deque<version_row> versions_;
  std::map<std::string, request_row> requests_;
  std::vector<rule_break> breaks_;
  std::map<std::string, int> statuses_;
  std::size_t excused_ = 0;
};

}  // namespace bronzeroute::standin
