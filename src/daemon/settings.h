#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/calls/retry_shares.h"
#include "src/routing/transfer_cost.h"

namespace bronzeroute {

/// Settings of one daemon, from its TOML file.
struct settings {
  /// "trial" or "production".
  std::string environment;
  std::string region;
  std::string availability_zone;
  /// Own addresses as "ip:port".
  std::string callers_address;
  std::string peers_address;
  std::string membership_address;
  std::string admin_address;
  /// "ip:port" of the log service.
  std::string log_address;
  /// Address of the deployment's own announcement endpoints, and address of the readiness
  /// probe; empty if not served.
  std::string announcements_address;
  std::string ready_address;
  /// Service of the upstream beside this daemon. Sent as the calling service of each request
  /// that this daemon takes from a caller, if `http_dialect::caller_service` names a field for
  /// it; unused otherwise.
  std::string service;
  /// Longest time that the log service holds a read open for new records. With 2.5 s, 540
  /// daemons with one read each send 216 requests/s to an idle log.
  duration log_wait = std::chrono::milliseconds(2500);
  /// Pause after a configuration read that returned records.
  duration configuration_read_pause{};
  /// Each member appends its record at a random time within this span after its start.
  duration join_spread = std::chrono::seconds(5);
  /// Pause between reads of the members' records once the process has settled.
  duration member_read_pause = std::chrono::seconds(1);
  /// A stopping daemon accepts requests of callers for at least this long. Peers receive the
  /// drain within one push period (100 ms) and a round trip.
  duration stop_linger = std::chrono::seconds(1);
  /// Membership addresses of other daemons, contacted while the log is unavailable.
  std::vector<std::string> seeds;
  /// Largest share of an upstream's slots that admission uses.
  double slot_share = 1;
  /// Cost of a byte sent to another availability zone or region, in microseconds of waiting.
  transfer_cost costs;
  /// Error responses of an upstream count as its failures. Set to false where upstreams call
  /// each other: one failing upstream then makes all its callers return errors too.
  bool eject_on_error_answers = true;
  retry_shares retries{};
  /// Largest rate at which a daemon writes log lines, averaged over ten seconds. 64 KB/s hold
  /// two lines for each of about 100 requests per second.
  std::size_t log_bytes_per_second = 64'000;
};

}  // namespace bronzeroute
