#pragma once

#include <cpprest/http_client.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "standins/load/class_result.h"
#include "standins/load/load_options.h"

namespace bronzeroute::standin {

/// Open-loop load generator: calls start at random times at the given rates, independently of
/// whether earlier calls have ended. Runs on a pool of one thread, so its state needs no lock.
class load_runner {
 public:
  enum call_class : std::uint8_t { kShort, kProtected, kLong, kClasses };

  explicit load_runner(const load_options& options);

  /// Schedules all calls; `IsDone` becomes true once the last one has ended.
  void Start();
  bool IsDone() const;
  const class_result& result(call_class kind) const { return results_[kind]; }
  static std::string_view ClassName(call_class kind);

 private:
  using clock = std::chrono::steady_clock;

  void ScheduleNext(call_class kind, clock::time_point at);
  void StartCall(call_class kind);
  void SendCall(call_class kind, std::size_t target, const std::string& key,
                clock::time_point started);
  void CountResponse(call_class kind, clock::time_point started,
                     const web::http::http_response& response, const std::string& mark);
  double Rate(call_class kind) const;
  std::string OwnKey();

  load_options options_;
  std::vector<std::shared_ptr<web::http::client::http_client>> clients_;
  std::array<class_result, kClasses> results_;
  std::mt19937_64 random_;
  clock::time_point end_;
  int open_schedules_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace bronzeroute::standin
