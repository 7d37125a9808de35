#include <gtest/gtest.h>

#include <array>
#include <string>

#include "src/base/error_response.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

/// The daemon that joins, leaves or fails. It is not in the region of the log.
constexpr std::size_t kTarget = 3;

/// An operation during which a fault is injected, and the times after its begin at which that
/// happens. The fault of step 0 is injected before the operation begins.
struct scenario {
  const char* name;
  std::array<const char*, 4> step_names;
  std::array<milliseconds, 4> steps;
  void (*prepare)(runtime_world&);
  void (*begin)(runtime_world&);
  /// Time until the outcome is checked; the fault persists until then.
  milliseconds limit;
  std::string (*outcome)(runtime_world&);
};

/// True if all other daemons list the target as a member in `state`.
bool AllSee(runtime_world& world, member_state state) {
  for (std::size_t i = 0; i < kTarget; ++i) {
    const member_row* row = world.daemon(i).membership().Find(member_id{kTarget + 1});
    if (row == nullptr || row->state != state) return false;
  }
  return true;
}

std::string VersionOutcome(runtime_world& world) {
  std::string text;
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (!world.IsRunning(i)) {
      text += '-';
    } else {
      text += world.daemon(i).configuration().version() == world.oracle.newest() ? '1' : '0';
    }
  }
  return text;
}

std::string JoinOutcome(runtime_world& world) {
  if (!world.IsAlive(kTarget)) return "gone";
  if (!AllSee(world, member_state::kAlive)) return "later";
  const auto request = world.Request(0, false, "", 1, seconds(1));
  world.Advance(seconds(2));
  const auto& row = world.oracle.calls.at(*request);
  return row.now == call_oracle::state::kComplete
             ? "serves"
             : std::string(ErrorResponseFor(row.reported).name);
}

std::string LeaveOutcome(runtime_world& world) {
  const auto& row = world.oracle.calls.at(0);
  std::string text = row.now == call_oracle::state::kComplete    ? "complete"
                     : row.now == call_oracle::state::kTruncated ? "cut"
                                                                 : "";
  if (text.empty()) text = ErrorResponseFor(row.reported).name;
  if (world.IsAlive(kTarget)) return text + "/runs";
  return text + (AllSee(world, member_state::kLeft)   ? "/left"
                 : AllSee(world, member_state::kDead) ? "/dead"
                                                      : "/exited");
}

void OnlyTargetServes(runtime_world& world) {
  for (std::size_t i = 0; i < kTarget; ++i) world.RemoveUpstream(i);
  world.Advance(seconds(12));
}

const std::array<scenario, 3> kScenarios{
    {{"change",
      {"before", "appended", "read by some", "in effect"},
      {milliseconds(0), milliseconds(1), milliseconds(30), milliseconds(300)},
      [](runtime_world&) {},
      [](runtime_world& world) { world.Publish(); },
      milliseconds(6000),
      VersionOutcome},
     {"join",
      {"before", "started", "log read", "joined"},
      {milliseconds(0), milliseconds(1), milliseconds(1000), milliseconds(7000)},
      [](runtime_world& world) {
        world.Kill(kTarget);
        OnlyTargetServes(world);
      },
      [](runtime_world& world) { world.Restart(kTarget); },
      milliseconds(25'000),
      JoinOutcome},
     {"leave",
      {"before", "stop requested", "work in flight", "leave record"},
      {milliseconds(0), milliseconds(1), milliseconds(700), milliseconds(1516)},
      [](runtime_world& world) {
        OnlyTargetServes(world);
        world.SetUpstream(kTarget, upstream_mode::kSlow);
        world.Request(0, true, "", 1, seconds(5));
        world.Advance(milliseconds(5));
      },
      [](runtime_world& world) { world.Stop(kTarget); },
      milliseconds(25'000),
      LeaveOutcome}}};

using cells = std::array<const char*, 4>;
constexpr cells All(const char* outcome) { return {outcome, outcome, outcome, outcome}; }
constexpr const char* kNoProcess = "never: no process runs yet";

struct fault_row {
  const char* name;
  void (*inject)(runtime_world&);
  /// For each scenario, the outcomes at its steps. An outcome that begins with "never: " states
  /// why the fault cannot occur there.
  std::array<cells, 3> outcomes;
};

// In "change", each digit shows whether a daemon has the newest version after 6 s. A version
// that no daemon read before the log became unavailable spreads only once the log is back, and
// a partitioned region receives it only after the partition ends.
// clang-format off
const auto kMatrix = std::to_array<fault_row>({
    {"none", [](runtime_world&) {},
     {All("1111"), All("serves"), All("complete/left")}},
    {"killed", [](runtime_world& w) { w.Kill(kTarget); },
     {All("111-"), cells{kNoProcess, "gone", "gone", "gone"}, cells{"answer_lost/dead", "answer_lost/dead", "answer_lost/dead", "complete/dead"}}},
    {"frozen for 5 s", [](runtime_world& w) { w.Freeze(kTarget, seconds(5)); },
     {All("1111"), cells{kNoProcess, "serves", "serves", "serves"}, cells{"complete/left", "complete/left", "deadline_exceeded/left", "complete/left"}}},
    {"partitioned", [](runtime_world& w) { w.SetPartitioned(true); },
     {cells{"1100", "1100", "1111", "1111"}, All("later"), cells{"answer_lost/exited", "answer_lost/exited", "answer_lost/exited", "complete/exited"}}},
    {"delayed", [](runtime_world& w) { w.options.max_delay = milliseconds(500); },
     {All("1111"), cells{"answer_lost", "serves", "serves", "answer_lost"}, All("complete/left")}},
    {"duplicated", [](runtime_world& w) { w.options.duplicate_percent = 100; },
     {All("1111"), All("serves"), All("complete/left")}},
    {"log unavailable", [](runtime_world& w) { w.log.is_down = true; },
     {cells{"1111", "0000", "1111", "1111"}, All("serves"), All("complete/left")}},
    {"log slow", [](runtime_world& w) { w.log.delay = seconds(2); },
     {All("1111"), All("serves"), All("complete/left")}},
    {"log responses lost", [](runtime_world& w) { w.log.lose_answers = 100; },
     {All("1111"), All("serves"), All("complete/left")}},
    {"frozen for 15 s", [](runtime_world& w) { w.Freeze(kTarget, seconds(15)); },
     {All("111-"), cells{kNoProcess, "serves", "serves", "serves"}, cells{"deadline_exceeded/left", "deadline_exceeded/left", "deadline_exceeded/left", "complete/left"}}},
    {"racing operators", [](runtime_world& w) { w.Race(); },
     {All("1111"), All("serves"), All("complete/left")}},
    {"upstream slow", [](runtime_world& w) { w.SetUpstream(kTarget, upstream_mode::kSlow); },
     {All("1111"), All("deadline_exceeded"), All("complete/left")}},
    {"upstream draining", [](runtime_world& w) { w.UpstreamLeaves(kTarget); },
     {All("1111"), All("no_upstream"), All("complete/left")}},
    {"upstream failing fast", [](runtime_world& w) { w.SetUpstream(kTarget, upstream_mode::kFailingFast); },
     {All("1111"), All("serves"), All("complete/left")}},
});
// clang-format on

std::string RunCell(const fault_row& fault, const scenario& what, std::size_t step) {
  runtime_world world(4, {});
  world.Publish();
  world.Advance(seconds(20));
  what.prepare(world);
  if (step == 0) fault.inject(world);
  what.begin(world);
  if (step > 0) {
    world.Advance(what.steps[step]);
    fault.inject(world);
  }
  world.Advance(what.limit);
  std::string text = what.outcome(world);
  world.Settle();
  return text + world.oracle.Violations();
}

// Guards against a fault at any step of a configuration change, a join or a leave that blocks
// the change, hides the member, aborts work in flight or violates a guarantee.
TEST(RuntimeFaultMatrix, ExpectedOutcomeForEveryFaultAtEveryStep) {
  for (const fault_row& fault : kMatrix) {
    for (std::size_t i = 0; i < kScenarios.size(); ++i) {
      for (std::size_t step = 0; step < 4; ++step) {
        const std::string expected = fault.outcomes[i][step];
        if (expected.starts_with("never: ")) continue;
        EXPECT_EQ(RunCell(fault, kScenarios[i], step), expected)
            << fault.name << " at " << kScenarios[i].name << ", step "
            << kScenarios[i].step_names[step];
      }
    }
  }
}

}  // namespace
}  // namespace bronzeroute::tests
