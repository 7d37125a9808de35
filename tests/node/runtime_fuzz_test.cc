#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "src/base/error_answer.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

constexpr std::size_t kDaemons = 4;

enum class step_kind : std::uint8_t {
  kRequests,
  kProtected,
  kOwnKey,
  kIssuedKey,
  kLaterTry,
  kAdvance,
  kKill,
  kRestart,
  kClockBack,
  kFreeze,
  kCut,
  kLog,
  kLogAnswersLost,
  kLogSlow,
  kPublish,
  kRace,
  kUpstream,
  kUpstreamLeaves,
  kStop,
};

/// One step of a script; `a` and `b` choose among what exists.
struct step {
  step_kind kind = step_kind::kAdvance;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t time_ms = 0;
};

std::ostream& operator<<(std::ostream& os, const step& one) {
  return os << "{kind " << static_cast<int>(one.kind) << ", " << one.a << ", " << one.b << ", "
            << one.time_ms << " ms}";
}

rc::Gen<step> AnyStep() {
  using enum step_kind;
  const auto kind = rc::gen::weightedElement<step_kind>({{6, kRequests},
                                                         {4, kProtected},
                                                         {2, kOwnKey},
                                                         {3, kIssuedKey},
                                                         {4, kLaterTry},
                                                         {10, kAdvance},
                                                         {1, kKill},
                                                         {2, kRestart},
                                                         {1, kClockBack},
                                                         {2, kFreeze},
                                                         {2, kCut},
                                                         {2, kLog},
                                                         {1, kLogAnswersLost},
                                                         {1, kLogSlow},
                                                         {3, kPublish},
                                                         {2, kRace},
                                                         {2, kUpstream},
                                                         {1, kUpstreamLeaves},
                                                         {1, kStop}});
  return rc::gen::build<step>(rc::gen::set(&step::kind, kind),
                              rc::gen::set(&step::a, rc::gen::inRange(0U, 60U)),
                              rc::gen::set(&step::b, rc::gen::inRange(0U, 60U)),
                              rc::gen::set(&step::time_ms, rc::gen::inRange(1U, 1000U)));
}

/// A key in use and the number of tries made with it.
struct key_use {
  std::string key;
  std::uint32_t tries = 1;
};

void Apply(runtime_world& world, std::vector<key_use>& keys, const step& one) {
  using enum step_kind;
  const std::size_t at = one.a % kDaemons;
  const std::size_t other = one.b % kDaemons;
  const milliseconds time(one.time_ms);
  switch (one.kind) {
    case kRequests:
    case kProtected:
      for (std::uint32_t i = 0; i <= one.b % 4; ++i) {
        world.Request((at + i) % kDaemons, one.kind == kProtected, "", 1, time);
      }
      break;
    case kOwnKey:
    case kIssuedKey: {
      const std::string key =
          one.kind == kOwnKey ? "own-" + std::to_string(keys.size()) : world.IssueKey(at);
      if (!key.empty() && world.Request(other, true, key, 1, time)) keys.push_back({key});
      break;
    }
    case kLaterTry: {
      if (keys.empty()) break;
      key_use& use = keys[keys.size() - 1 - one.b % std::min<std::size_t>(keys.size(), 4)];
      if (world.Request(at, true, use.key, use.tries + 1, time)) ++use.tries;
      break;
    }
    case kAdvance:
      world.Advance(time * (one.b % 3 == 0 ? 5 : 1) / (one.b % 4 == 1 ? 50 : 1));
      break;
    case kKill:
      world.Kill(at);
      break;
    case kRestart:
    case kClockBack:
      for (std::size_t i = 0; i < kDaemons; ++i) {
        world.Restart(i, one.kind == kClockBack ? time * 50 : milliseconds(0));
      }
      break;
    case kFreeze:
      world.Freeze(at, time * (one.b % 8 + 1));
      break;
    case kCut:
      world.SetCut(one.b % 2 == 0);
      break;
    case kLog:
      world.log.is_down = one.b % 2 == 0;
      break;
    case kLogAnswersLost:
      world.log.lose_answers = static_cast<int>(one.b % 4);
      break;
    case kLogSlow:
      world.log.delay = one.b % 2 == 0 ? time * 2 : milliseconds(2);
      break;
    case kPublish:
      world.Publish();
      break;
    case kRace:
      world.Race();
      break;
    case kUpstream:
      world.SetUpstream(at, static_cast<upstream_mode>(one.b % 4));
      break;
    case kUpstreamLeaves:
      world.UpstreamLeaves(at);
      break;
    case kStop:
      world.Stop(at);
      break;
  }
}

struct coverage {
  std::map<std::string, int> told;
  int requests = 0;
  int runs = 0;
};

std::string RunScript(const world_options& options, const std::vector<step>& script,
                      coverage* seen) {
  runtime_world world(kDaemons, options);
  world.Publish();
  world.Advance(seconds(8));
  std::vector<key_use> keys;
  for (const step& one : script) Apply(world, keys, one);
  world.Settle();
  for (std::size_t i = 0; seen != nullptr && i < world.oracle.calls.size(); ++i) {
    const auto& row = world.oracle.calls.at(i);
    ++seen->requests;
    seen->runs += row.runs;
    std::string name(AnswerFor(row.told).name);
    if (row.now != call_oracle::state::kTold) {
      name = row.now == call_oracle::state::kCut    ? "cut"
             : row.now == call_oracle::state::kGone ? "gone"
                                                    : "complete";
    }
    ++seen->told[name];
  }
  return world.oracle.Violations();
}

int Cases(int by_default) {
  const char* text = std::getenv("BRONZEROUTE_FUZZ_CASES");
  return text == nullptr ? by_default : std::atoi(text);
}

/// Runs random scripts; returns the report of the first one with a violation that contains
/// `violation`, or nothing.
std::string Fuzz(std::uint64_t seed, int cases, broken_part broken,
                 const std::string& violation, coverage* seen) {
  const auto property = [&] {
    world_options options;
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000).as("seed of the world");
    options.max_delay =
        milliseconds(*rc::gen::element(1, 5, 60, 300).as("longest delay in ms"));
    options.duplicate_percent = *rc::gen::element(0, 20);
    options.lose_percent = *rc::gen::element(0, 0, 5, 20);
    options.retention = seconds(*rc::gen::element(60, 600).as("retention in s"));
    options.ends_without_log = *rc::gen::arbitrary<bool>().as("log out at the end");
    options.broken = broken;
    const auto script =
        *rc::gen::scale(2.0, rc::gen::container<std::vector<step>>(AnyStep())).as("script");
    const std::string violations = RunScript(options, script, seen);
    const bool is_wanted = violations.find(violation) != std::string::npos;
    if (!violations.empty() && is_wanted) RC_FAIL(violations);
  };
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  // A build that is broken on purpose only has to fail.
  params.disableShrinking = true;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  if (result.template is<rc::detail::SuccessResult>()) return "";
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

// Guards against any sequence of faults that breaks a promise of whole daemons: what call_fuzz
// guards for calls alone, and versions that fall or stay behind, two accepted racing
// publications, exceeded slots, work at an upstream that left, a stop that cuts work, and
// measuring above its budget.
TEST(RuntimeFuzz, PromisesHoldUnderFaults) {
  coverage seen;
  EXPECT_EQ(Fuzz(20'261'204, Cases(150), broken_part::kNone, "", &seen), "");
  std::ostringstream text;
  for (const auto& [name, count] : seen.told) text << ' ' << name << ' ' << count;
  std::cout << "requests " << seen.requests << ", runs " << seen.runs << ':' << text.str()
            << '\n';
  // Guards against a generator that no longer reaches the outcomes that matter.
  for (const char* name : {"complete", "gone", "answer_lost", "deadline_exceeded",
                           "duplicate_key", "key_home_lost", "not_ready"}) {
    EXPECT_GT(seen.told[name], 0) << name;
  }
}

void ExpectCaught(broken_part broken, const std::string& violation) {
  EXPECT_NE(Fuzz(7, 400, broken, violation, nullptr), "");
}

// Each of these guards against an oracle that would not notice a broken daemon.
TEST(RuntimeOracle, CatchesLowerVersion) {
  ExpectCaught(broken_part::kTakesLowerVersion, "version fell");
}
TEST(RuntimeOracle, CatchesDrainThatIsNotTold) {
  ExpectCaught(broken_part::kDrainNotTold, "new work 3 s after it said that it leaves");
}
TEST(RuntimeOracle, CatchesMissingSlotLimit) {
  ExpectCaught(broken_part::kNoSlotLimit, "slots exceeded");
}
TEST(RuntimeOracle, CatchesTwoWinnersOfARace) {
  ExpectCaught(broken_part::kTrustsAppend, "two racing publications were accepted");
}
TEST(RuntimeOracle, CatchesStopThatCutsWork) {
  ExpectCaught(broken_part::kStopsAtOnce, "graceful stop cut work");
}
TEST(RuntimeOracle, CatchesMeasuringAboveBudget) {
  ExpectCaught(broken_part::kIgnoresBudget, "measuring sent");
}

}  // namespace
}  // namespace bronzeroute::tests
