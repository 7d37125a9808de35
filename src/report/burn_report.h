#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/measuring/burn_window.h"
#include "src/measuring/request_class.h"
#include "src/report/member_list.h"
#include "src/report/process_source.h"
#include "src/report/service_assessment.h"

namespace bronzeroute {

/// Service-level burn over several processes.
struct burn_report {
  struct process {
    process_source source;
    /// Why it could not be read; empty if it was read.
    std::string problem;
    duration uptime{};
  };
  /// The highest latency of all processes, in seconds, and the process that reported it.
  struct worst_latency {
    double seconds = 0;
    std::string process;
  };
  struct class_row {
    request_class of = request_class::kShort;
    burn_window::counts short_window{};
    burn_window::counts long_window{};
    /// See burn_window::Rate.
    double short_burn = 0;
    double long_burn = 0;
    worst_latency p50;
    worst_latency p99;

    /// Share of the long window's error budget that is left; negative once it is overspent.
    double BudgetLeft() const { return 1 - long_burn; }
  };
  struct minute {
    /// Unix time in minutes.
    std::int64_t at = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    double BadShare() const {
      return bad == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(good + bad);
    }
  };
  struct service {
    std::string name;
    /// The highest objective that a process reported.
    double objective = 0;
    /// True if the processes reported different objectives.
    bool objectives_differ = false;
    /// Number of processes that reported the service.
    std::size_t processes = 0;
    /// Classes with requests since the start of some process.
    std::vector<class_row> classes;
    /// All classes together, oldest first; minutes without requests are left out.
    std::vector<minute> minutes;
    service_assessment assessment;
  };

  /// Unix time of the latest reading.
  duration made_at{};
  /// Time between the earliest and the latest reading, by the clocks of the processes.
  duration spread{};
  std::vector<process> processes;
  /// Number of processes that could not be read.
  std::size_t unreadable = 0;
  /// Members that were not read because they are dead or have left.
  std::vector<member_list::absent_member> absent;
  /// Of the processes that were read.
  duration shortest_uptime{};
  duration longest_uptime{};
  /// Share of the processes' time in each window that the counts cover. Not covered are the
  /// time before the start of a process and all time of a process that could not be read.
  double short_coverage = 0;
  double long_coverage = 0;
  /// The most severe first, then by name.
  std::vector<service> services;

  std::size_t readable() const { return processes.size() - unreadable; }
  /// True if all processes were read.
  bool complete() const { return unreadable == 0; }
};

inline constexpr duration kShortWindow = std::chrono::minutes(5);
inline constexpr duration kLongWindow = std::chrono::hours(1);

}  // namespace bronzeroute
