#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"

namespace bronzeroute {

/// Timing of the membership system. Daemons use the defaults.
struct membership_settings {
  /// Stream of the log that holds join and leave records.
  std::string stream = "members";
  /// Membership addresses probed while the log is unavailable or the table has no live peer.
  std::vector<std::string> seeds;
  /// Marks the log tokens of this system, so that one dispatcher can serve several systems.
  std::uint64_t first_token = std::uint64_t{1} << 32;

  duration probe_period = std::chrono::seconds(1);
  /// Silence after which other peers are asked to probe; above the 24 ms round trip between
  /// regions with a margin for delays by other load on the instance.
  duration indirect_after = std::chrono::milliseconds(400);
  std::uint32_t indirect_peers = 3;
  /// Silence after which a probe failed; below the shortest jittered probe period.
  duration probe_timeout = std::chrono::milliseconds(850);
  /// Longest probe period on an empty budget. At 4 s a member is still probed once in 4 s on
  /// average, and goes unprobed for 20 s with probability e^-5; a longer period would let a
  /// dead member outlive the 10 s after which a silent upstream counts as gone.
  duration longest_probe_period = std::chrono::seconds(4);
  /// A suspicion lasts this long plus one second per doubling of the membership, so that it
  /// reaches the suspected member and the refutation comes back.
  duration suspicion_base = std::chrono::seconds(2);

  /// Gap between ticks that counts as a freeze.
  duration freeze_gap = std::chrono::seconds(3);
  /// Gap between ticks from which deadlines on other members move by the gap.
  duration tick_slack = std::chrono::milliseconds(200);

  /// Records are pulled from peers if a peer has more than this many live members more than
  /// this process; one datagram holds about 12.
  std::size_t pull_above = 12;
  /// Every member replies to as many pulls as it sends on average: 2.5 pages a second are 3
  /// KB/s.
  duration pull_period = std::chrono::milliseconds(400);
  /// Changes passed on at the same time; beyond that, members compare digests and pull instead.
  std::size_t max_changes = 48;
  /// Pause between acknowledgements sent on credit. A member is probed once a second on
  /// average, but a seed may be probed by all at a mass restart.
  duration forced_ack_pause = std::chrono::milliseconds(125);

  /// Time for which rows of dead and left members are kept.
  duration remember_dead = std::chrono::hours(2);
  duration dead_probe_period = std::chrono::seconds(10);
  /// Longest pause between checks whether seeds have to be probed.
  duration seed_period = std::chrono::seconds(10);
  /// Longest pause between probes of seeds and of dead members while the log is unavailable.
  /// Two probes, one of them lost, leave time to fetch a configuration within 6 s.
  duration alone_period = std::chrono::seconds(2);

  duration join_spread = std::chrono::seconds(5);
  duration announcement_period = std::chrono::seconds(2);
  duration upstream_silence = std::chrono::seconds(10);
  /// Age from which a log record alone does not show that its member is still alive.
  duration fresh_record = std::chrono::seconds(10);
  /// Time for peers to confirm a member that was read only from an old log record.
  duration confirm_within = std::chrono::seconds(20);

  duration read_pause = std::chrono::seconds(1);
  /// Pause between reads once the process has run for `settle_time`: from then on it receives
  /// the log's content from its peers too, and the log is only the second source.
  duration settled_read_pause = std::chrono::seconds(1);
  duration settle_time = std::chrono::seconds(10);
  duration append_timeout = std::chrono::seconds(10);
  duration first_backoff = std::chrono::milliseconds(500);
  duration longest_backoff = std::chrono::seconds(30);
  /// Log retention assumed until the first read returns it.
  duration assumed_retention = std::chrono::minutes(10);

  /// Pause between pushes of urgent changes, so that several share a datagram.
  duration push_pause = std::chrono::milliseconds(100);
  /// Peers that get an urgent change from each member at once; 4 reach 98 of 100 members
  /// within a few round trips, and probes reach the rest.
  std::uint32_t push_peers = 4;
};

}  // namespace bronzeroute
