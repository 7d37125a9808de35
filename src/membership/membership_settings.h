#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"

namespace bronzeroute {

/// Parameters of the membership system, a SWIM-like protocol. Daemons use the default times and
/// limits except `join_spread` and `settled_read_pause`.
struct membership_settings {
  /// Stream of the log that holds join and leave records.
  std::string stream = "members";
  /// Membership addresses probed while the log is unavailable or the table has no live peer.
  std::vector<std::string> seeds;
  /// Start of this system's range of log tokens, so that one dispatcher can serve several
  /// systems.
  std::uint64_t first_token = std::uint64_t{1} << 32;

  duration probe_interval = std::chrono::seconds(1);
  /// Time without an acknowledgement after which indirect probes are sent: the 24 ms round trip
  /// between regions and a margin for delays by other load on the instance.
  duration indirect_probe_delay = std::chrono::milliseconds(400);
  std::uint32_t indirect_probe_peers = 3;
  /// Time without an acknowledgement after which a probe has failed; below the shortest
  /// jittered probe interval.
  duration probe_timeout = std::chrono::milliseconds(850);
  /// Longest probe interval while the budget is empty. At 4 s a member is probed once in 4 s on
  /// average and not at all within 20 s with probability e^-5. With a longer interval, a dead
  /// member could go undetected for longer than `upstream_timeout`.
  duration max_probe_interval = std::chrono::seconds(4);
  /// The suspicion timeout is this base plus one second per doubling of the membership, enough
  /// for the suspicion to reach the suspected member and for its refutation to spread.
  duration suspicion_timeout_base = std::chrono::seconds(2);

  /// Gap between ticks above which the process counts as frozen in between.
  duration freeze_threshold = std::chrono::seconds(3);
  /// Gap between ticks above which deadlines of other members are extended by the gap.
  duration tick_gap_tolerance = std::chrono::milliseconds(200);

  /// Anti-entropy: records are pulled if a peer has over this many live members more than this
  /// process. One datagram holds about 12.
  std::size_t anti_entropy_threshold = 12;
  /// Average interval between pulls. Each member replies to as many pulls as it sends on
  /// average; 2.5 pages per second are 3 KB/s.
  duration anti_entropy_interval = std::chrono::milliseconds(400);
  /// Limit of changes gossiped at the same time. Beyond it, members obtain records with details
  /// by comparing digests and pulling.
  std::size_t max_pending_changes = 48;
  /// Average interval between acknowledgements sent on credit. A member is probed once per
  /// second on average, but all members may probe the same seed after a mass restart.
  duration forced_ack_interval = std::chrono::milliseconds(125);

  /// Time for which rows of dead and left members are kept as tombstones.
  duration tombstone_retention = std::chrono::hours(2);
  duration dead_probe_interval = std::chrono::seconds(10);
  /// Longest interval between checks whether seeds have to be probed.
  duration seed_check_interval = std::chrono::seconds(10);
  /// Longest interval between probes of seeds and of dead members while the log is unavailable.
  /// Allows for one lost probe and a configuration fetch within 6 s.
  duration log_outage_probe_interval = std::chrono::seconds(2);

  duration join_spread = std::chrono::seconds(5);
  duration announcement_interval = std::chrono::seconds(2);
  duration upstream_timeout = std::chrono::seconds(10);
  /// Age above which a log record alone does not prove that its member is still alive.
  duration max_fresh_record_age = std::chrono::seconds(10);
  /// Time within which a peer has to confirm a member that was read only from an old log
  /// record.
  duration confirmation_timeout = std::chrono::seconds(20);

  duration read_pause = std::chrono::seconds(1);
  /// Pause between reads once the process is `settle_time` old. From then on it receives the
  /// same records from peers, and the log is the secondary source.
  duration settled_read_pause = std::chrono::seconds(1);
  duration settle_time = std::chrono::seconds(10);
  /// Time after the start for which the first append waits for a read. A log that serves
  /// appends but no reads must not hide the member for longer.
  duration first_read_wait = std::chrono::seconds(5);
  duration append_timeout = std::chrono::seconds(10);
  duration initial_backoff = std::chrono::milliseconds(500);
  duration max_backoff = std::chrono::seconds(30);
  /// Log retention assumed until a read returns the actual one.
  duration assumed_retention = std::chrono::minutes(10);

  /// Interval between pushes of urgent changes, so that several changes share a datagram.
  duration push_interval = std::chrono::milliseconds(100);
  /// Peers to which each member pushes an urgent change at once. With 4, a change reaches 98 of
  /// 100 members within a few round trips, and the others with probes.
  std::uint32_t push_fanout = 4;
  /// Pushes of a new configuration version. Members that read the log receive a version from it
  /// at about the same time; the pushes are for those whose read does not deliver it. With two
  /// pushes to 4 peers each, fewer than one of 1000 members hears of a version only from
  /// probes.
  std::uint32_t version_pushes = 2;
};

}  // namespace bronzeroute
