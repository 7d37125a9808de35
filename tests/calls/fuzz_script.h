#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "src/base/error_response.h"
#include "src/base/time.h"
#include "tests/base/number_from_environment.h"
#include "tests/calls/call_oracle.h"

namespace bronzeroute::tests {

/// One step of a script; `a` and `b` select nodes, upstream modes or keys, depending on the
/// kind.
template <typename Kind>
struct fuzz_step {
  Kind kind{};
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t time_ms = 0;

  friend std::ostream& operator<<(std::ostream& os, const fuzz_step& one) {
    return os << "{kind " << static_cast<int>(one.kind) << ", " << one.a << ", " << one.b
              << ", " << one.time_ms << " ms}";
  }
};

/// A step of a kind drawn from `kind`.
template <typename Kind>
rc::Gen<fuzz_step<Kind>> AnyStepOf(const rc::Gen<Kind>& kind) {
  using step = fuzz_step<Kind>;
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

/// A first try with a new key, which is chosen by the caller or issued.
template <typename World>
void TryNewKey(World& world, std::vector<key_use>& keys, bool is_own, std::size_t issuer,
               std::size_t entry, duration time) {
  const std::string key =
      is_own ? "own-" + std::to_string(keys.size()) : world.IssueKey(issuer);
  if (!key.empty() && world.Request(entry, true, key, 1, time)) keys.push_back({key});
}

/// A later try with one of the four newest keys, whose earlier tries may still be in progress.
template <typename World>
void TryKeyAgain(World& world, std::vector<key_use>& keys, std::size_t entry,
                 std::uint32_t which, duration time) {
  if (keys.empty()) return;
  key_use& use = keys[keys.size() - 1 - which % std::min<std::size_t>(keys.size(), 4)];
  if (world.Request(entry, true, use.key, use.tries + 1, time)) ++use.tries;
}

/// Counts of the outcomes that the scripts of one test reached.
struct coverage {
  std::map<std::string, int> reported;
  int requests = 0;
  int runs = 0;

  void Count(call_oracle& oracle) {
    for (std::size_t i = 0; i < oracle.size(); ++i) {
      const auto& row = oracle.at(i);
      ++requests;
      runs += row.runs;
      std::string name(ErrorResponseFor(row.reported).name);
      if (row.now != call_oracle::state::kErrorReported) {
        name = row.now == call_oracle::state::kTruncated      ? "cut"
               : row.now == call_oracle::state::kDisconnected ? "gone"
                                                              : "complete";
      }
      ++reported[name];
    }
  }

  void Print() const {
    std::cout << "requests " << requests << ", runs " << runs << ':';
    for (const auto& [name, count] : reported) std::cout << ' ' << name << ' ' << count;
    std::cout << '\n';
  }
};

/// Number of scripts: BRONZEROUTE_FUZZ_CASES, or `by_default` without it.
inline int FuzzCases(int by_default) {
  return static_cast<int>(
      NumberFromEnvironment("BRONZEROUTE_FUZZ_CASES", static_cast<std::uint64_t>(by_default)));
}

/// Checks `property` with a fixed seed; returns the report of its failure, or nothing.
template <typename Property>
std::string CheckWithSeed(const Property& property, std::uint64_t seed, int cases,
                          bool shrinks) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  params.disableShrinking = !shrinks;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  if (result.template is<rc::detail::SuccessResult>()) return "";
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

}  // namespace bronzeroute::tests
