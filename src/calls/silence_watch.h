#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/base/attempt_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Finds attempts that the upstream most likely never answers. Some upstreams answer neither a
/// request that they cannot queue nor any later one on its connection. Such silence differs
/// from slowness by what other responses show: an attempt counts as silent once it has waited
/// several times the usual time of its route while many attempts that started later were
/// answered. If the whole upstream is slow or hangs, nothing is silent.
class silence_watch {
 public:
  /// An attempt of the route was sent to the upstream. `route` is 0 for none.
  void OnStarted(const attempt_id& id, std::uint64_t route, time_point now);
  /// The head of its response arrived.
  void OnResponse(const attempt_id& id, time_point now);
  /// It ended, with or without a response.
  void OnEnded(const attempt_id& id) { rows_.erase(id); }

  /// The attempts found silent, in the order of their ids. Call it once per tick: an attempt is
  /// returned at the earliest by the second call that finds it silent, since responses that
  /// arrived while the process was paused are read between two ticks.
  std::vector<attempt_id> FindSilent(time_point now);

  /// Usual time to the response on the route; 0 before enough were observed.
  duration Usual(std::uint64_t route) const;

 private:
  struct open_row {
    std::uint64_t route = 0;
    time_point started;
    /// Attempts that started later and were answered.
    std::uint32_t overtaken = 0;
    bool is_suspect = false;
  };
  struct route_row {
    std::uint64_t count = 0;
    double mean_us = 0;
    /// Mean absolute deviation from the mean.
    double deviation_us = 0;
  };

  /// Time without a response from which on an attempt may be silent; nothing may be if
  /// `time_point::max()`.
  time_point SilentFrom(const open_row& row) const;

  absl::flat_hash_map<attempt_id, open_row> rows_;
  absl::flat_hash_map<std::uint64_t, route_row> routes_;
};

}  // namespace bronzeroute
