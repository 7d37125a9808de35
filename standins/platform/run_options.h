#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "standins/platform/store_fault.h"

namespace bronzeroute::standin {

/// Options of one run.
struct run_options {
  std::string daemon;
  std::string settings_template;
  /// Folder for settings and logs of the daemons.
  std::string folder;
  std::chrono::milliseconds length{60'000};
  /// Mean time between two versions; 0 for none after the first.
  std::chrono::milliseconds change_period{2'000};
  /// Mean time between two faults of the store; 0 for none.
  std::chrono::milliseconds fault_period{0};
  /// Share of the machines for which the store has a fault.
  double fault_share = 1;
  /// The only fault to play; nullopt for one of all at random.
  std::optional<store_fault> fault;
  /// Mean time between two planned restarts of a daemon; 0 for none.
  std::chrono::milliseconds restart_period{0};
  /// Mean time between two kills of a daemon, which is started again; 0 for none.
  std::chrono::milliseconds kill_period{0};
  /// Share of the upstreams of the first service that name a limit for a part of the run.
  double limited_share = 0;
  /// The limit as a share of the requests that the upstream got before.
  double limit_factor = 0.5;
  /// Number of upstreams that leave, one after the other.
  int leaving = 0;
  /// Number of upstreams that depart, by turns with a report and without one. Once that is
  /// acknowledged, the daemon beside is killed and started again, and a report from before
  /// arrives late.
  int departing = 0;
  /// Number of client accounts; 0 for none. One of them sends `hot_account` times its cap.
  int accounts = 0;
  double hot_account = 1;
  /// Requests per second with a key that daemons have to refuse, over all machines.
  double refused_per_second = 0;
  /// Number of evacuations of a zone, one after the other.
  int evacuations = 0;
  std::chrono::milliseconds retention{20'000};
  /// Adds values to each version that no sound operator would write.
  bool odd_values = false;
  /// Requests per second, as a share of those of the site.
  double load = 1;
  std::uint64_t seed = 1;
};

}  // namespace bronzeroute::standin
