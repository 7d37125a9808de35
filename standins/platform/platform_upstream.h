#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "standins/platform/caller_client.h"
#include "standins/platform/configuration_author.h"
#include "standins/platform/http_endpoint.h"
#include "standins/platform/run_oracles.h"
#include "standins/platform/site_shape.h"

namespace bronzeroute::standin {

/// Where an upstream and the daemon beside it stand.
struct machine_place {
  std::string name;
  std::string zone;
  std::string region;
  std::string ip;
  /// Address of the store for this machine. Each has its own, so that the store can turn some
  /// machines away.
  std::string store;
  /// Service as the site file names it.
  std::string service;
};

/// A worker of the platform: runs requests in its slots, makes the calls that their class asks
/// for through the daemon beside it, and reports itself to that daemon. Used on the event loop.
class platform_upstream {
 public:
  platform_upstream(const site_shape& site, const configuration_author& author,
                    const machine_place& place, caller_client& client,
                    const run_oracles& oracles, std::uint64_t seed);

  /// Listens. Not on the event loop.
  absl::Status Start();
  void Stop() { endpoint_.Stop(); }
  /// Sends the next liveness report.
  void Announce();
  /// Names a limit in requests per second in each response from now on; below 0 for none.
  void SetLimit(double per_second);
  /// Says in each response that it leaves; its reports say so from `reported_at` on, since they
  /// may be late.
  void BeginLeaving(std::chrono::steady_clock::time_point reported_at);
  /// Tells the daemon that it leaves, with a last report or, if `deregisters`, without one, and
  /// sends no report from then on. `done` gets whether the daemon acknowledged it.
  void Depart(bool deregisters, std::function<void(bool)> done);
  /// A report from before `Depart`, the next in its order, arrives now.
  void SendLateReport();
  /// Is cold from now until `until`; its reports say so, the next at the earliest.
  void BecomeCold(std::chrono::steady_clock::time_point until);
  const machine_place& place() const { return place_; }
  const std::string& identity() const { return identity_; }
  /// Requests that it got since the last call.
  int TakeArrivals() { return std::exchange(arrivals_, 0); }

 private:
  struct job {
    received_request request;
    http_endpoint::responder respond;
    std::string id;
    std::chrono::steady_clock::time_point deadline;
    int open_calls = 0;
    bool has_failed = false;
  };

  /// The body of a report with the state `ready` or `draining`.
  std::string Report(std::string_view state, std::uint64_t sequence) const;
  /// Sends `body` to the daemon beside it.
  void Tell(std::string_view call, std::string body, std::function<void(bool)> done);
  void Handle(const received_request& request, const http_endpoint::responder& respond);
  void RefuseRun(const http_endpoint::responder& respond, int status);
  void Run(const std::shared_ptr<job>& work);
  void Call(const std::shared_ptr<job>& work, const class_shape& nested);
  void Finish(const std::shared_ptr<job>& work);
  const class_shape* ClassOf(const received_request& request) const;
  std::string Load() const;
  milliseconds ColdLeft() const;
  /// `fields` and those in which the upstream states its load, its limit and that it leaves.
  header_list WithNotice(header_list fields) const;

  const site_shape& site_;
  const configuration_author& author_;
  machine_place place_;
  caller_client& client_;
  run_oracles oracles_;
  std::mt19937_64 random_;
  const service_shape& service_;
  std::string identity_;
  std::int64_t born_;
  std::uint64_t sequence_ = 0;
  std::uint64_t calls_ = 0;
  int running_ = 0;
  int arrivals_ = 0;
  double limit_ = -1;
  bool is_leaving_ = false;
  bool has_departed_ = false;
  std::chrono::steady_clock::time_point cold_until_;
  std::chrono::steady_clock::time_point leaving_reported_at_;
  std::deque<std::shared_ptr<job>> queue_;
  http_endpoint endpoint_;
};

}  // namespace bronzeroute::standin
