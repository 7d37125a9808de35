#pragma once

#include <cmath>
#include <cstdint>

namespace bronzeroute {

/// Load of an upstream as measured by its owner. Carried by responses, refusals and membership
/// datagrams, and already out of date when it is received.
struct load_hint {
  /// Orders hints of one incarnation of one owner.
  std::uint64_t sequence = 0;
  /// Slots open to work now; below the configured number while the upstream warms up.
  std::uint32_t effective_slots = 0;
  std::uint32_t in_use = 0;
  std::uint32_t running_long = 0;
  std::uint32_t queued_short = 0;
  std::uint32_t queued_long = 0;
  /// Mean time of short work at the upstream, in microseconds.
  std::uint32_t service_time_us = 0;
  /// Starts per second that the upstream takes; 0 if it names no limit.
  float max_rate = 0;
  /// Time until the limit allows a start beyond the queued ones, in microseconds.
  std::uint32_t start_wait_us = 0;
  bool failing = false;
  bool draining = false;
  /// The availability zone of the upstream is evacuated: it takes no new work.
  bool evacuated = false;
};

/// `received` if it can be a rate, else 0: a message of a peer may hold any number.
inline float SoundRate(float received) {
  return std::isfinite(received) && received > 0 ? received : 0;
}

}  // namespace bronzeroute
