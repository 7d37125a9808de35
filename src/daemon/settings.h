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
  /// "ip:port" of the platform's log.
  std::string log_address;
  /// Address at which upstreams announce themselves in the form of the deployment, and the one
  /// that is asked for readiness; empty if there is none.
  std::string announcements_address;
  std::string ready_address;
  /// Service of the upstream beside this daemon, where requests of this machine name it.
  std::string service;
  /// Longest time that a read waits at the log for new records. 2.5 s: one waiting read of each
  /// of 540 daemons puts 216 requests/s on an idle log.
  duration log_wait = std::chrono::milliseconds(2500);
  /// Pause after a read of the configuration that brought records.
  duration configuration_read_pause{};
  /// Members announce themselves within this time of their start.
  duration join_spread = std::chrono::seconds(5);
  /// Pause between reads of the members' records once the process has settled.
  duration member_read_pause = std::chrono::seconds(1);
  /// A daemon that stops takes requests of callers for at least this long: peers learn of the
  /// drain within one push (100 ms) and a round trip.
  duration stop_linger = std::chrono::seconds(1);
  /// A daemon that stops ends after this time even if requests are open; 0 for no limit.
  duration stop_limit{};
  /// Membership addresses of other daemons, asked while the log is unavailable.
  std::vector<std::string> seeds;
  /// Share of an upstream's slots that is filled.
  double slot_share = 1;
  /// What a byte that leaves a zone or a region is worth in microseconds of waiting.
  transfer_cost costs;
  /// Errors that an upstream answers itself count as its failures. Where upstreams call each
  /// other, one that fails makes all its callers answer errors too.
  bool eject_on_error_answers = true;
  retry_shares retries{};
  /// Bytes of log lines that a daemon writes a second at most, over ten seconds. 64 KB hold two
  /// lines for each of about 100 requests a second.
  std::size_t log_bytes_per_second = 64'000;
};

}  // namespace bronzeroute
