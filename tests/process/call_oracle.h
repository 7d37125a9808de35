#pragma once

#include <cstddef>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/process/deployment.h"

namespace bronzeroute::testing {

/// A call that a test made, with the result that was reported to its caller.
struct reported_call {
  std::size_t entry = 0;
  std::string key;
  std::string mark;
  call_result result;
};

/// Sends calls in parallel and compares the results reported to callers with the run records of
/// the workers.
class call_oracle {
 public:
  /// `name` distinguishes the calls from those of other oracles on the same deployment.
  explicit call_oracle(deployment& deployed, std::string name = "")
      : deployment_(deployed), name_(std::move(name)) {}
  ~call_oracle() { Join(); }
  call_oracle(const call_oracle&) = delete;
  call_oracle& operator=(const call_oracle&) = delete;

  /// Starts a repeatable call.
  void StartRepeatable(std::size_t entry, const std::string& path,
                       const std::string& deadline_ms);
  /// Starts a protected call with `key`, or without any key if it is empty.
  void StartProtected(std::size_t entry, const std::string& path, const std::string& key,
                      const std::string& deadline_ms);
  /// Waits until every caller has its response.
  void Join();
  /// The calls; valid after `Join`.
  const std::vector<reported_call>& calls() const { return calls_; }
  /// The result of each call, one line each; valid after `Join`.
  std::string Results() const;
  /// Contradictions between the results reported to callers and the run records, one line each.
  /// Needs the run records of all workers, so no worker may have restarted.
  std::string Contradictions();

 private:
  void Start(const std::string& method, const std::string& path, reported_call call,
             const std::string& deadline_ms);

  deployment& deployment_;
  std::string name_;
  std::vector<reported_call> calls_;
  std::vector<std::thread> callers_;
};

}  // namespace bronzeroute::testing
