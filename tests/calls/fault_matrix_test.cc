#include <gtest/gtest.h>

#include <array>
#include <span>
#include <string>

#include "tests/calls/call_world.h"

namespace bronzeroute::tests {
namespace {

constexpr std::size_t kEntry = 0;
constexpr std::size_t kOwner = 1;  // chosen first; a third node can run the call instead
constexpr milliseconds kLimit(1000);

/// A step of a call and the time after the request at which the fault is injected. A message
/// takes 1 ms; the upstream sends the head after 10 ms and the end after 20 ms.
struct call_step {
  const char* name;
  std::chrono::microseconds at;
  bool is_behind_other_work = false;
};
using std::chrono::microseconds;
constexpr std::array<call_step, 7> kSteps{{{"before send", microseconds(0)},
                                           {"sent", microseconds(500)},
                                           {"queued", microseconds(5000), true},
                                           {"started", microseconds(5000)},
                                           {"head received", microseconds(12'500)},
                                           {"body half", microseconds(16'000)},
                                           {"finished", microseconds(25'000)}}};

/// Expected outcome as "<result reported to the caller>/<executions at upstreams>", or the
/// reason why the fault cannot occur at this step.
struct cell {
  const char* is_protected = nullptr;
  const char* repeatable = nullptr;
  const char* reason = nullptr;
};
constexpr cell NotApplicable(const char* reason) { return {.reason = reason}; }

using world = call_world<call_rules>;
struct fault_row {
  const char* name;
  void (*inject)(world&, std::size_t owner);
  std::array<cell, 7> cells;
};

constexpr cell kComplete{"complete/1", "complete/1"};
constexpr cell kTruncated{"cut/1", "cut/1"};
constexpr cell kDisconnected{"disconnected/1", "disconnected/1"};
constexpr cell kLate{"deadline_exceeded/1", "deadline_exceeded/1"};
/// The attempt was on its way or queued when the owner was lost; only a repeatable call may be
/// sent again.
constexpr cell kLostBeforeRun{"answer_lost/0", "complete/1"};
constexpr cell kLostInRun{"answer_lost/1", "complete/2"};
constexpr cell kNoMessageLeft = NotApplicable("the last message has arrived");
constexpr cell kNoWorkLeft = NotApplicable("the upstream has finished the call");
constexpr cell kConnected = NotApplicable("the connection to the upstream is open");

// The cells follow kSteps.
// clang-format off
// The owner is another process than the entry.
const auto kMatrix = std::to_array<fault_row>({
    {"owner killed", [](world& w, std::size_t owner) { w.Kill(owner); },
     {kComplete, kLostBeforeRun, kLostBeforeRun, kLostInRun, kTruncated, kTruncated, kComplete}},
    {"entry killed", [](world& w, std::size_t) { w.Kill(kEntry); },
     {NotApplicable("no process receives the request"), {"disconnected/0", "disconnected/0"},
      {"disconnected/0", "disconnected/0"}, kDisconnected, kDisconnected, kDisconnected, kComplete}},
    {"owner frozen and resumed", [](world& w, std::size_t owner) { w.Freeze(owner, std::chrono::seconds(5)); },
     {kLate, kLate, {"deadline_exceeded/0", "deadline_exceeded/0"}, kLate, kTruncated, kTruncated, kComplete}},
    {"entry frozen and resumed", [](world& w, std::size_t) { w.Freeze(kEntry, std::chrono::seconds(5)); },
     {kComplete, kComplete, kComplete, kComplete, kComplete, kComplete, kComplete}},
    {"link partitioned",
     [](world& w, std::size_t owner) {
       w.BreakStreams(kEntry, owner);
       w.SetLink(kEntry, owner, false);
     },
     {kComplete, kLostBeforeRun, kLostBeforeRun, kLostInRun, kTruncated, kTruncated, kComplete}},
    {"messages delayed",
     [](world& w, std::size_t) { w.options.min_delay = w.options.max_delay = milliseconds(300); },
     {kComplete, kComplete, kComplete, kComplete, kComplete, kComplete, kNoMessageLeft}},
    {"messages duplicated", [](world& w, std::size_t) { w.options.duplicate_percent = 100; },
     {kComplete, kComplete, kComplete, kComplete, kComplete, kComplete, kNoMessageLeft}},
    {"upstream slow",
     [](world& w, std::size_t owner) {
       w.SetUpstream(owner, upstream_mode::kSlow);
       w.StallUpstream(owner, milliseconds(1500));
     },
     {kLate, kLate, {"queue_timeout/0", "queue_timeout/0"}, kLate, kTruncated, kTruncated, kNoWorkLeft}},
    {"upstream draining", [](world& w, std::size_t owner) { w.Drain(owner); },
     {kComplete, kComplete, kComplete, kComplete, kComplete, kComplete, kNoWorkLeft}},
    {"upstream failing fast",
     [](world& w, std::size_t owner) {
       w.SetUpstream(owner, upstream_mode::kFailingFast);
       w.FailRunningWork(owner);
     },
     {kComplete, kComplete, kComplete, kLostInRun, kTruncated, kTruncated, kNoWorkLeft}},
    {"upstream refuses connections",
     [](world& w, std::size_t owner) { w.SetUpstream(owner, upstream_mode::kConnectFails); },
     {kComplete, kComplete, kComplete, kConnected, kConnected, kConnected, kNoWorkLeft}},
});
// The entry's own upstream runs the call.
constexpr cell kNoHop = NotApplicable("there is no message between processes");
const auto kLocalMatrix = std::to_array<fault_row>({
    {"process killed", [](world& w, std::size_t owner) { w.Kill(owner); },
     {NotApplicable("no process receives the request"), kNoHop, {"disconnected/0", "disconnected/0"},
      kDisconnected, kDisconnected, kDisconnected, kComplete}},
    {"process frozen and resumed",
     [](world& w, std::size_t owner) { w.Freeze(owner, std::chrono::seconds(5)); },
     {kComplete, kNoHop, {"queue_timeout/0", "queue_timeout/0"}, kComplete, kComplete, kComplete,
      kComplete}},
    {"upstream slow",
     [](world& w, std::size_t owner) {
       w.SetUpstream(owner, upstream_mode::kSlow);
       w.StallUpstream(owner, milliseconds(1500));
     },
     {kLate, kNoHop, {"queue_timeout/0", "queue_timeout/0"}, kLate, kTruncated, kTruncated, kNoWorkLeft}},
    {"upstream draining", [](world& w, std::size_t owner) { w.Drain(owner); },
     {kComplete, kNoHop, kComplete, kComplete, kComplete, kComplete, kNoWorkLeft}},
    {"upstream failing fast",
     [](world& w, std::size_t owner) {
       w.SetUpstream(owner, upstream_mode::kFailingFast);
       w.FailRunningWork(owner);
     },
     {kComplete, kNoHop, kComplete, kLostInRun, kTruncated, kTruncated, kNoWorkLeft}},
    {"upstream refuses connections",
     [](world& w, std::size_t owner) { w.SetUpstream(owner, upstream_mode::kConnectFails); },
     {kComplete, kNoHop, kComplete, kConnected, kConnected, kConnected, kNoWorkLeft}},
});
// clang-format on

std::string Outcome(const call_oracle::request& row) {
  std::string reported(ErrorResponseFor(row.reported).name);
  if (row.now == call_oracle::state::kComplete) reported = "complete";
  if (row.now == call_oracle::state::kTruncated) reported = "cut";
  if (row.now == call_oracle::state::kDisconnected) reported = "disconnected";
  return reported + "/" + std::to_string(row.runs);
}

std::string RunCell(const fault_row& fault, const call_step& step, std::size_t owner,
                    bool is_protected) {
  world_options options;
  options.unsent_known_percent = 0;
  world net(3, options);
  net.choose_first = true;
  if (owner != kEntry) net.RemoveUpstream(kEntry);
  if (step.is_behind_other_work) {
    // Sent by another entry, so that it does not change this entry's budgets.
    net.gate(owner).slots = 1;
    net.gate(2).slots = 0;
    net.Request(2, false, "", 1, kLimit);
    net.gate(2).slots = 2;
    net.Advance(milliseconds(2));
  }
  if (step.at == microseconds(0)) fault.inject(net, owner);
  const auto request = net.Request(kEntry, is_protected, "", 1, kLimit);
  if (!request) return "no entry";
  if (step.at > microseconds(0)) {
    net.Advance(step.at);
    fault.inject(net, owner);
  }
  net.Settle();
  std::string text = Outcome(net.oracle.at(*request));
  for (const std::string& line : net.oracle.violations()) text += "; " + line;
  return text;
}

void CheckMatrix(std::span<const fault_row> matrix, std::size_t owner) {
  for (const fault_row& fault : matrix) {
    for (std::size_t i = 0; i < kSteps.size(); ++i) {
      const cell& expected = fault.cells[i];
      const std::string name = std::string(fault.name) + " at step " + kSteps[i].name;
      if (expected.reason != nullptr) continue;
      EXPECT_EQ(RunCell(fault, kSteps[i], owner, true), expected.is_protected) << name;
      EXPECT_EQ(RunCell(fault, kSteps[i], owner, false), expected.repeatable) << name;
    }
  }
}

// Each guards against a fault at any step of a call that leads to an incorrect report, a
// repeated protected request, or an avoidable failure.
TEST(FaultMatrix, EveryFaultAtEveryStepOfACall) { CheckMatrix(kMatrix, kOwner); }
TEST(FaultMatrix, EveryFaultAtEveryStepAtTheOwnUpstream) { CheckMatrix(kLocalMatrix, kEntry); }

}  // namespace
}  // namespace bronzeroute::tests
