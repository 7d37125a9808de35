#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "tests/calls/call_world.h"
#include "tests/calls/fuzz_script.h"

namespace bronzeroute::tests {
namespace {

constexpr std::size_t kNodes = 4;

enum class step_kind : std::uint8_t {
  kRequest,
  kProtected,
  kOwnKey,
  kIssuedKey,
  kLaterTry,
  kCallerLeaves,
  kAdvance,
  kKill,
  kRestart,
  kFreeze,
  kPartition,
  kLink,
  kDrain,
  kUpstream,
};

using step = fuzz_step<step_kind>;

rc::Gen<step> AnyStep() {
  using enum step_kind;
  const auto kind = rc::gen::weightedElement<step_kind>({{6, kRequest},
                                                         {6, kProtected},
                                                         {4, kOwnKey},
                                                         {4, kIssuedKey},
                                                         {8, kLaterTry},
                                                         {1, kCallerLeaves},
                                                         {10, kAdvance},
                                                         {1, kKill},
                                                         {3, kRestart},
                                                         {2, kFreeze},
                                                         {2, kPartition},
                                                         {1, kLink},
                                                         {1, kDrain},
                                                         {4, kUpstream}});
  return AnyStepOf<step_kind>(kind);
}

template <typename Rules>
void Apply(call_world<Rules>& world, std::vector<key_use>& keys, const step& one) {
  using enum step_kind;
  const std::size_t node = one.a % kNodes;
  const std::size_t other = one.b % kNodes;
  const milliseconds time(one.time_ms);
  switch (one.kind) {
    case kRequest:
    case kProtected:
      // One step in four sends a burst, so that queues fill up.
      for (std::uint32_t i = 0; i <= (one.b % 4 == 0 ? one.b / 4 : 0); ++i) {
        world.Request(node, one.kind == kProtected, "", 1, time);
      }
      break;
    case kOwnKey:
    case kIssuedKey:
      TryNewKey(world, keys, one.kind == kOwnKey, node, other, time);
      break;
    case kLaterTry:
      TryKeyAgain(world, keys, node, one.b, time);
      break;
    case kCallerLeaves:
      if (world.oracle.size() > 0) world.DisconnectCaller(world.oracle.size() - 1);
      break;
    case kAdvance:
      world.Advance(time / (one.b % 2 == 0 ? 1 : 20));
      break;
    case kKill:
      world.Kill(node);
      break;
    case kRestart:
      for (std::size_t i = 0; i < kNodes; ++i) world.Restart(i);
      break;
    case kFreeze:
      world.Freeze(node, time * (one.b % 8 + 1));
      break;
    case kPartition:
      world.BreakStreams(node, other);
      break;
    case kLink:
      world.SetLink(node, other, one.time_ms % 3 != 0);
      break;
    case kDrain:
      world.Drain(node);
      break;
    case kUpstream:
      world.SetUpstream(node, static_cast<upstream_mode>(one.b % 6));
      break;
  }
}

std::string Violations(const call_oracle& oracle) {
  std::ostringstream text;
  for (const std::string& line : oracle.violations()) text << line << '\n';
  return text.str();
}

template <typename Rules>
std::string RunScript(const world_options& options, const std::vector<step>& script,
                      coverage* seen = nullptr) {
  call_world<Rules> world(kNodes, options);
  std::vector<key_use> keys;
  for (const step& one : script) Apply(world, keys, one);
  world.Settle();
  if (seen != nullptr) seen->Count(world.oracle);
  return Violations(world.oracle);
}

/// Runs random scripts; returns the report of the first one with a violation that contains
/// `violation`, or nothing.
template <typename Rules>
std::string Fuzz(std::uint64_t seed, int cases, const std::string& violation,
                 bool reuse_incarnation, coverage* seen = nullptr) {
  const auto property = [&] {
    world_options options;
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000).as("seed of the world");
    options.max_delay =
        milliseconds(*rc::gen::element(1, 5, 60, 400).as("longest delay in ms"));
    options.duplicate_percent = *rc::gen::element(0, 20);
    options.lose_percent = *rc::gen::element(0, 0, 5);
    options.key_capacity = *rc::gen::element<std::size_t>(1000, 4).as("capacity for keys");
    options.reuse_incarnation = reuse_incarnation;
    const auto script =
        *rc::gen::scale(3.0, rc::gen::container<std::vector<step>>(AnyStep())).as("script");
    const std::string violations = RunScript<Rules>(options, script, seen);
    const bool is_wanted = violations.find(violation) != std::string::npos;
    if (!violations.empty() && is_wanted) RC_FAIL(violations);
  };
  // For rules that are broken on purpose, shrinking the failing script is of no use.
  return CheckWithSeed(property, seed, cases, seen != nullptr);
}

// Guards against any sequence of faults that breaks a guarantee: a protected request or a key
// that runs twice, a false "not run", a response to the wrong caller, a truncated body reported
// as complete, a caller without a response, and rows that are never removed.
TEST(CallFuzz, PromisesHoldUnderFaults) {
  coverage seen;
  EXPECT_EQ(Fuzz<call_rules>(20'261'204, FuzzCases(2000), "", false, &seen), "");
  seen.Print();
  // Guards against a script generator that no longer reaches the listed outcomes.
  for (const char* name :
       {"complete", "cut", "gone", "answer_lost", "deadline_exceeded", "overloaded",
        "duplicate_key", "key_home_lost", "key_unknown", "key_in_progress", "key_table_full",
        "wrong_incarnation", "draining", "upstream_connect_failed"}) {
    EXPECT_GT(seen.reported[name], 0) << name;
  }
}

struct repeats_lost_protected : call_rules {
  static constexpr bool MayRepeatAfterLoss(bool /*is_protected*/) { return true; }
};
struct reports_not_run_after_loss : call_rules {
  static constexpr bool MayReportNotRun(bool /*may_have_run*/) { return true; }
};
struct passes_truncated_bodies : call_rules {
  static constexpr bool AbortsPartialResponse() { return false; }
};
struct accepts_duplicates : call_rules {
  static constexpr bool IsDuplicate(bool /*on_record*/) { return false; }
};
struct skips_deadline_check : call_rules {
  static constexpr bool IsLate(time_point /*deadline*/, time_point /*now*/) { return false; }
};
struct ignores_key_rows : call_rules {
  static constexpr bool ChecksKeyRow() { return false; }
};

template <typename Rules>
void ExpectCaught(const std::string& violation, bool reuse_incarnation = false) {
  EXPECT_NE(Fuzz<Rules>(7, 4000, violation, reuse_incarnation), "");
}

// Each of these guards against an oracle that does not detect the absence of one rule.
TEST(CallOracle, CatchesRepeatOfLostProtectedCall) {
  ExpectCaught<repeats_lost_protected>("protected request ran twice");
}
TEST(CallOracle, CatchesNotRunAfterLoss) {
  ExpectCaught<reports_not_run_after_loss>("reported not run, but ran");
}
TEST(CallOracle, CatchesTruncatedBodyReportedAsComplete) {
  ExpectCaught<passes_truncated_bodies>("a truncated body was reported as complete");
}
TEST(CallOracle, CatchesMissingDuplicateCheck) {
  ExpectCaught<accepts_duplicates>("protected request ran twice");
}
TEST(CallOracle, CatchesMissingDeadlineCheck) {
  ExpectCaught<skips_deadline_check>("handed to the upstream after its deadline");
}
TEST(CallOracle, CatchesIgnoredKeyRows) { ExpectCaught<ignores_key_rows>("key ran twice"); }
TEST(CallOracle, CatchesReusedIncarnation) {
  ExpectCaught<call_rules>("got the response to request", true);
}

}  // namespace
}  // namespace bronzeroute::tests
