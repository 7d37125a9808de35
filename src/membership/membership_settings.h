#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"

namespace bronzeroute {

/// Timing of the membership system. The defaults are what daemons run with.
struct membership_settings {
  /// Stream of the log that holds join and leave records.
  std::string stream = "members";
  /// Membership addresses asked while the log is unavailable or no peer is known.
  std::vector<std::string> seeds;
  /// Marks the log tokens of this system, so that one dispatcher can serve several systems.
  std::uint64_t first_token = std::uint64_t{1} << 32;

  duration probe_period = std::chrono::seconds(1);
  /// Silence after which other peers are asked to probe; above the 24 ms round trip between
  /// regions with room for a noisy neighbour.
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

  /// Members that a peer may know more of before their records are pulled from peers; one
  /// datagram holds about 12.
  std::size_t pull_above = 12;
  /// Every member answers as many pulls as it sends: 2.5 pages a second are 3 KB/s.
  duration pull_period = std::chrono::milliseconds(400);
  /// Changes passed on at once; in a larger storm members compare digests and pull instead.
  std::size_t most_changes = 48;
  /// Pause between acknowledgements sent on credit. A member is probed once a second on
  /// average, but a seed may be probed by all at a mass restart.
  duration forced_ack_pause = std::chrono::milliseconds(125);

  /// Time for which dead and left members are remembered.
  duration remember_dead = std::chrono::hours(2);
  duration dead_probe_period = std::chrono::seconds(10);
  /// Longest pause between looks at whether seeds have to be asked.
  duration seed_period = std::chrono::seconds(10);
  /// Longest pause between questions to seeds, and to members taken for dead, while the log is
  /// out. Two of them, one lost, leave time to fetch a configuration within 6 s.
  duration alone_period = std::chrono::seconds(2);

  duration join_spread = std::chrono::seconds(5);
  duration announcement_period = std::chrono::seconds(2);
  duration upstream_silence = std::chrono::seconds(10);
  /// Age from which a log record alone does not show that its member still runs.
  duration fresh_record = std::chrono::seconds(10);
  /// Time for peers to confirm a member known only from an old log record.
  duration confirm_within = std::chrono::seconds(20);

  duration read_pause = std::chrono::seconds(1);
  /// The same once the process has run for `settle_time`: from then on its peers tell it what
  /// the log holds, and a read is only the second way.
  duration settled_read_pause = std::chrono::seconds(1);
  duration settle_time = std::chrono::seconds(10);
  duration append_timeout = std::chrono::seconds(10);
  duration first_backoff = std::chrono::milliseconds(500);
  duration longest_backoff = std::chrono::seconds(30);
  /// Retention assumed until the first read names it.
  duration assumed_retention = std::chrono::minutes(10);

  /// Pause between pushes of urgent changes, so that several share a datagram.
  duration push_pause = std::chrono::milliseconds(100);
  /// Peers that get an urgent change from each member at once; 4 reach 98 of 100 members
  /// within a few round trips, and probes reach the rest.
  std::uint32_t push_peers = 4;
};

}  // namespace bronzeroute
