#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/deployment.h"
#include "tests/soak/keep_alive_caller.h"
#include "tests/soak/loopback_proxy.h"

namespace bronzeroute::testing {

/// A soak run with one seed: a deployment of real processes under load with overlapping random
/// faults, and a check of the results reported to callers against the run records of upstreams.
class soak_run {
 public:
  /// `services` daemons serve `orders`; one more only forwards its requests.
  soak_run(std::uint64_t seed, std::size_t services, std::chrono::seconds faults_for);
  ~soak_run();

  /// Runs and returns the violated guarantees, one per line, with the timeline of faults; empty
  /// if there are none.
  std::string Run();

 private:
  using clock = std::chrono::steady_clock;
  struct sent_request {
    std::size_t entry = 0;
    std::string mark;
    bool is_protected = false;
    clock::time_point begin;
    clock::time_point end;
    keep_alive_response response;
  };
  /// A fault, or its end.
  struct event {
    std::chrono::milliseconds at;
    std::string text;
    std::function<void()> act;
  };
  /// A period in which a daemon was killed, paused or starting.
  struct disruption {
    std::size_t daemon = 0;
    clock::time_point begin;
    clock::time_point end;
  };

  bool Deploy();
  void Load(std::size_t entry, std::uint64_t seed);
  void Plan();
  void Add(int at_ms, std::string text, std::function<void()> act);
  void AddFault(std::size_t kind, int at_ms);
  void AddSignal(std::size_t daemon, int at_ms, int length_ms, bool is_kill);
  void AddStop(std::size_t daemon, int at_ms);
  void AddLinkFault(loopback_proxy& link, const std::string& name, int at_ms, int length_ms);
  void AddUpstreamFault(std::size_t daemon, int at_ms, int length_ms);
  void WatchVersions();
  void CheckEnd();
  void CheckRequests();
  bool WasDisrupted(const sent_request& request);
  void AddViolation(const std::string& text);
  int Draw(int low, int high);

  std::uint64_t seed_;
  std::mt19937_64 random_;
  std::size_t services_;
  std::chrono::milliseconds faults_for_;
  deployment deployment_;
  std::unique_ptr<loopback_proxy> log_link_;
  std::vector<std::unique_ptr<loopback_proxy>> upstream_links_;
  std::vector<event> events_;
  std::vector<disruption> disruptions_;
  std::atomic<bool> stop_ = false;
  std::vector<std::thread> callers_;
  std::mutex mutex_;
  std::vector<sent_request> requests_;
  std::string violations_;
  std::string timeline_;
  std::vector<std::int64_t> versions_;
  std::vector<pid_t> pids_;
  int documents_ = 0;
  clock::time_point start_;
};

}  // namespace bronzeroute::testing
