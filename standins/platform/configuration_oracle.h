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
#include "standins/platform/rule_break.h"
#include "standins/platform/site_shape.h"

namespace bronzeroute::standin {

class upstream_oracle;

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
  /// The daemon `entry` is stopped at `from`, which excuses its versions that are late, and
  /// runs again from `until` on.
  void OnDaemonFault(const std::string& entry, clock::time_point from, clock::time_point until);
  void OnDaemonStarted(const std::string& entry, clock::time_point now);
  /// A caller sends a request to the daemon `entry`.
  void OnRequest(const std::string& id, const std::string& entry, const std::string& host,
                 const std::string& path, bool is_protected, clock::time_point now);
  /// The request reached `upstream`, which `upstreams` judges by where and when it was sent.
  void OnArrival(const std::string& id, const std::string& upstream, upstream_oracle& upstreams,
                 clock::time_point now) const;
  /// An upstream of `service` begins to run the request.
  void OnRun(const std::string& id, const std::string& service, clock::time_point now);
  /// The caller has a complete response, or none (status 0).
  void OnResponse(const std::string& id, int status, clock::time_point now);

  /// True if the daemon `entry` ran for the stability window before `version` was due.
  bool RanBeforeDue(const std::string& entry, std::int64_t version) const;

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
  /// True if the daemon `entry`, or the store if it is empty, had a fault in the stability
  /// window before `at`.
  bool HadFault(const std::string& entry, clock::time_point at) const;
  /// True if the store and the daemon `entry` were sound for the time before `sent` in which a
  /// version must arrive.
  bool IsInTouch(const std::string& entry, clock::time_point sent) const;

  bound_shape bounds_;
  struct fault_row {
    /// The daemon with the fault; empty for the store.
    std::string entry;
    clock::time_point from;
    clock::time_point until;
  };
  std::vector<fault_row> faults_;
  std::deque<version_row> versions_;
  std::map<std::string, request_row> requests_;
  std::vector<rule_break> breaks_;
  std::map<std::string, int> statuses_;
  std::size_t excused_ = 0;
};

}  // namespace bronzeroute::standin
