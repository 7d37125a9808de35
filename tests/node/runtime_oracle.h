#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/base/time.h"
#include "tests/calls/call_oracle.h"

namespace bronzeroute::tests {

/// Checks the guarantees of complete daemons. In addition to the calls that `call_oracle`
/// checks, it records publications and the results reported to their operators, the version in
/// effect on each daemon, the work and the announced leave of each upstream, and the bytes of
/// membership datagrams.
class runtime_oracle {
 public:
  call_oracle calls;

  /// A publication reached the log at `offset`, whether or not its operator received a
  /// response.
  void OnPublished(std::int64_t offset, std::int64_t base) {
    if (base == newest_) newest_ = offset;
    bases_[offset] = base;
  }
  /// The publication at `offset` was reported to its operator as accepted.
  void OnReportedAccepted(std::int64_t offset) {
    const std::int64_t base = bases_.at(offset);
    const auto [known, is_new] = accepted_.emplace(base, offset);
    Expect(is_new || known->second == offset,
           "two racing publications were accepted on base " + std::to_string(base));
  }
  /// `process` counts the processes of the whole test.
  void OnVersion(std::size_t process, std::int64_t version) {
    std::int64_t& last = versions_.try_emplace(process, -1).first->second;
    Expect(version >= last, "process " + std::to_string(process) + ": version fell from " +
                                std::to_string(last) + " to " + std::to_string(version));
    Expect(version == -1 || bases_.contains(version),
           "a version is in effect that was never published");
    last = version;
  }
  /// Called once the time allowed after the faults has passed: the daemon must have `expected`.
  void OnSettledVersion(std::size_t daemon, std::int64_t version, std::int64_t expected) {
    Expect(version == expected, "daemon " + std::to_string(daemon) + ": version " +
                                    std::to_string(version) + " instead of " +
                                    std::to_string(expected) + " after the faults");
  }
  void OnWorkStarted(std::size_t upstream, std::size_t running, std::size_t slots,
                     std::optional<time_point> leave_announced_at, time_point now) {
    const std::string name = "upstream " + std::to_string(upstream) + ": ";
    Expect(running <= slots, name + "slots exceeded");
    Expect(!leave_announced_at || now < *leave_announced_at + std::chrono::seconds(3),
           name + "new work 3 s after it announced its leave");
  }
  /// A process ended a graceful stop.
  void OnStopped(std::size_t daemon, std::size_t open_callers, std::size_t open_work) {
    Expect(open_callers + open_work == 0,
           "daemon " + std::to_string(daemon) + ": graceful stop aborted work");
  }
  /// A process sent `bytes` of measuring data during `time`; its budget is `per_second`.
  void OnMeasured(std::size_t daemon, std::uint64_t bytes, duration time,
                  std::uint64_t per_second) {
    // Two seconds of budget are added for the burst and the credit that the budget allows.
    const auto allowed = static_cast<std::uint64_t>(
        static_cast<double>(per_second) *
        std::chrono::duration<double>(time + std::chrono::seconds(2)).count());
    Expect(bytes <= allowed, "daemon " + std::to_string(daemon) + ": measuring sent " +
                                 std::to_string(bytes) + " bytes of " +
                                 std::to_string(allowed));
  }

  std::int64_t newest() const { return newest_; }
  std::string Violations() const {
    std::string text;
    for (const auto& line : calls.violations()) text += line + '\n';
    for (const auto& line : violations_) text += line + '\n';
    return text;
  }

 private:
  void Expect(bool holds, const std::string& text) {
    if (!holds) violations_.push_back(text);
  }

  /// The version in effect: of several publications on one base, the first one wins.
  std::int64_t newest_ = -1;
  std::map<std::int64_t, std::int64_t> bases_;
  std::map<std::int64_t, std::int64_t> accepted_;
  std::map<std::size_t, std::int64_t> versions_;
  std::vector<std::string> violations_;
};

}  // namespace bronzeroute::tests
