#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "src/base/error_kind.h"
#include "src/base/time.h"

namespace bronzeroute::tests {

/// Checks the guarantees to callers. Its only inputs are what callers sent, what was reported
/// to them, and what upstreams executed.
class call_oracle {
 public:
  enum class state : std::uint8_t {
    kOpen,
    kErrorReported,
    kComplete,
    kTruncated,
    kDisconnected
  };
  struct request {
    std::string key;
    std::uint32_t caller_try = 1;
    bool is_protected = false;
    /// Time by which the response has to end.
    time_point response_due = time_point::max();
    state now = state::kOpen;
    error_kind reported = error_kind::kNone;
    int runs = 0;
  };

  std::size_t OnRequest(const std::string& key, std::uint32_t caller_try, bool is_protected);
  void OnRun(std::size_t index, bool is_fresh_connection, time_point deadline, time_point now);
  void OnError(std::size_t index, error_kind kind, time_point now);
  /// The response ended; its body was that of request `body_of`.
  void OnComplete(std::size_t index, std::size_t body_of, bool body_is_whole, time_point now);
  void OnTruncated(std::size_t index, time_point now);
  /// The caller disconnected or its entry was killed.
  void OnGone(std::size_t index);
  /// Called some time after the last fault, when no request and no row may be open.
  void OnEnd(std::size_t open_rows);

  request& at(std::size_t index) { return requests_[index]; }
  std::size_t size() const { return requests_.size(); }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void Expect(bool holds, std::size_t index, const std::string& text);
  void End(std::size_t index, state ended, time_point now);
  void CheckNotRun(std::size_t index);

  std::vector<request> requests_;
  std::vector<std::string> violations_;
};

}  // namespace bronzeroute::tests
