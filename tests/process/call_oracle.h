#pragma once

#include <cstddef>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/process/deployment.h"

namespace bronzeroute::testing {

/// A call that a test made, with what its caller was told.
struct told_call {
  std::size_t entry = 0;
  std::string key;
  std::string mark;
  call_result result;
};

/// Sends calls in parallel and compares what callers were told with what workers ran.
class call_oracle {
 public:
  /// `name` keeps the calls apart from those of other oracles of the same deployment.
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
  const std::vector<told_call>& calls() const { return calls_; }
  /// Contradictions between what callers were told and what the workers ran, one line each.
  /// Needs the run records of all workers, so no worker may have restarted.
  std::string Contradictions();

 private:
  void Start(const std::string& method, const std::string& path, told_call call,
             const std::string& deadline_ms);

  deployment& deployment_;
  std::string name_;
  std::vector<told_call> calls_;
  std::vector<std::thread> callers_;
};

}  // namespace bronzeroute::testing
