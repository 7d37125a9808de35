#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/configuration/configuration_counters.h"
#include "src/configuration/configuration_event.h"

namespace bronzeroute {

class configuration_peer_port;

/// Fetches the configuration from peers that have a higher version, when the log does not
/// supply it. While a peer does not respond, further ones are asked as well.
class version_fetcher {
 public:
  /// `peers` must outlive the fetcher.
  version_fetcher(configuration_peer_port& peers, std::uint64_t seed);

  /// `peer` has `version`, which is above the one in effect. `log_fails` shortens the time for
  /// which the log is given to supply it. Returns true if no peer reported such a high version
  /// before.
  bool OnPeerVersion(member_id peer, std::int64_t version, bool log_fails, time_point now);
  /// `peer` responded with a version.
  void OnResponse(member_id peer, time_point now);
  /// `peer` did not supply its version. Has no effect if it was not asked.
  void OnFailed(member_id peer, time_point now);
  /// Versions up to `version` are no longer needed.
  void Drop(std::int64_t version);
  /// Asks the next peer for a version above `known` if that is due.
  void Tick(std::int64_t known, time_point now);

  /// Fetches and failed ones, since the start.
  std::uint64_t fetches() const { return fetches_; }
  std::uint64_t failed_fetches() const { return failed_fetches_; }
  /// Highest version that a peer reported; -1 before the first report.
  std::int64_t highest_reported() const { return highest_; }
  /// Returns the first reports of versions and the failures since the last call.
  std::vector<configuration_event> TakeEvents() { return std::exchange(events_, {}); }

 private:
  /// A peer and the version that it reported.
  struct source {
    member_id peer;
    std::int64_t version = -1;
  };
  struct open_fetch {
    source from;
    time_point deadline;
  };

  bool IsOpen(member_id peer) const;
  /// Time until the next peer is asked.
  duration NextDelay() const;
  duration Spread(duration limit);

  configuration_peer_port& peers_;
  std::mt19937_64 random_;
  std::vector<source> sources_;
  std::vector<open_fetch> open_;
  std::int64_t highest_ = -1;
  time_point next_fetch_{};
  /// Failed fetches since a peer responded or reported a higher version.
  std::uint32_t failures_in_a_row_ = 0;
  std::uint64_t fetches_ = 0;
  std::uint64_t failed_fetches_ = 0;
  std::vector<configuration_event> events_;
};

}  // namespace bronzeroute
