#include "src/calls/key_table.h"

#include <gtest/gtest.h>

#include <chrono>

#include "src/calls/issued_key.h"
#include "src/calls/key_home.h"

namespace bronzeroute {
namespace {

using std::chrono::minutes;

constexpr time_point kStart = time_point{} + minutes(5);
const self_identity kSelf{member_id{7}, incarnation_id{1'700'000'000'000}, kStart};

attempt_id Attempt(std::uint64_t sequence) {
  return {{member_id{1}, incarnation_id{1}, sequence}, 1};
}
std::string Issued(std::int64_t age_ms) {
  return FormatIssuedKey({{kSelf.id, kSelf.incarnation}, kSelf.UnixMs(kStart) - age_ms, 99});
}

// Guards against a second spelling of a key, which would be treated as a different key.
TEST(IssuedKey, ParsesExactlyWhatItFormats) {
  const std::string key = Issued(0);
  EXPECT_EQ(FormatIssuedKey(*ParseIssuedKey(key)), key);
  for (const std::string& bad :
       {key + "0", key + ".", key + " ", "br1.0" + key.substr(4), std::string("br1."),
        std::string("br1.1.2.3"), std::string("br1.-1.2.3.4"), std::string("own")}) {
    EXPECT_FALSE(ParseIssuedKey(bad)) << bad;
  }
}

// Guards against a key that runs twice, and against a refused key that can never run.
TEST(KeyTable, RowDecidesOnLaterTries) {
  key_table table(kSelf);
  for (const std::string& key : {std::string("own"), Issued(0)}) {
    EXPECT_EQ(table.Begin(key, 1, Attempt(1), kStart).kind, error_kind::kNone);
    EXPECT_TRUE(table.IsRunning(key, Attempt(1)));
    EXPECT_EQ(table.Begin(key, 2, Attempt(2), kStart).kind, error_kind::kKeyInProgress);
    table.End(key, Attempt(1), key_state::kNotRun, 0, kStart);
    EXPECT_EQ(table.Begin(key, 2, Attempt(3), kStart).kind, error_kind::kNone);
    table.End(key, Attempt(1), key_state::kNotRun, 0, kStart);
    EXPECT_TRUE(table.IsRunning(key, Attempt(3))) << "ended by another attempt";
    table.End(key, Attempt(3), key_state::kRan, 201, kStart);
    EXPECT_EQ(table.Begin(key, 3, Attempt(4), kStart).kind, error_kind::kDuplicateKey);
    EXPECT_EQ(table.Begin(key, 3, Attempt(4), kStart).recorded_status, 201);
  }
}

// Guards against an earlier try that runs after "not run" was reported for a later one.
TEST(KeyTable, EarlierTryIsRefusedAfterALaterOneWasNotRun) {
  key_table table(kSelf);
  EXPECT_EQ(table.Begin(Issued(0), 2, Attempt(2), kStart).kind, error_kind::kNone);
  table.End(Issued(0), Attempt(2), key_state::kNotRun, 0, kStart);
  EXPECT_EQ(table.Begin(Issued(0), 1, Attempt(1), kStart).kind, error_kind::kCancelled);
}

// Guards against a definite result for a key whose earlier tries may have had another home.
TEST(KeyTable, MissingRowIsUnknownExceptAtTheHomeOfAnIssuedKey) {
  key_table table(kSelf);
  EXPECT_EQ(table.Begin("own", 2, Attempt(1), kStart).kind, error_kind::kKeyUnknown);
  EXPECT_EQ(table.Begin(Issued(0), 2, Attempt(1), kStart).kind, error_kind::kNone);
  const std::string elsewhere =
      FormatIssuedKey({{kSelf.id, incarnation_id{5}}, kSelf.UnixMs(kStart), 1});
  EXPECT_EQ(table.Begin(elsewhere, 1, Attempt(1), kStart).kind, error_kind::kKeyHomeLost);
  EXPECT_EQ(table.Begin("br1.x", 1, Attempt(1), kStart).kind, error_kind::kBadKey);
}

// Guards against reporting "ran" or "not run" for an execution whose response was lost.
TEST(KeyTable, RunWithLostResponseStaysUnknown) {
  key_table table(kSelf);
  table.Begin("own", 1, Attempt(1), kStart);
  table.End("own", Attempt(1), key_state::kUnknown, 0, kStart);
  EXPECT_EQ(table.Begin("own", 2, Attempt(2), kStart).kind, error_kind::kAnswerLost);
}

// Guards against a valid key without a row: the row must be kept longer than the key is valid,
// also if the clock of the issuer was ahead.
TEST(KeyTable, RowOutlivesItsKey) {
  key_table table(kSelf);
  const std::string key = Issued(-50'000);
  EXPECT_EQ(table.Begin(key, 1, Attempt(1), kStart).kind, error_kind::kNone);
  table.End(key, Attempt(1), key_state::kRan, 200, kStart);
  for (time_point now = kStart; now < kStart + minutes(12); now += std::chrono::seconds(1)) {
    table.Tick(now);
    const error_kind kind = table.Begin(key, 2, Attempt(2), now).kind;
    EXPECT_TRUE(kind == error_kind::kDuplicateKey || kind == error_kind::kKeyExpired);
  }
  EXPECT_EQ(table.size(), 0U);
  EXPECT_EQ(table.Begin(Issued(600'000), 1, Attempt(3), kStart).kind, error_kind::kKeyExpired);
  EXPECT_EQ(table.Begin(Issued(-61'000), 1, Attempt(3), kStart).kind, error_kind::kKeyExpired);
}

// Guards against a full table that evicts a key early, and against expiry of a row whose work
// is still running.
TEST(KeyTable, FullTableRefusesAndRunningRowsStay) {
  key_table table(kSelf, 2);
  table.Begin("a", 1, Attempt(1), kStart);
  table.Begin("b", 1, Attempt(2), kStart);
  EXPECT_EQ(table.Begin("c", 1, Attempt(3), kStart).kind, error_kind::kKeyTableFull);
  table.End("a", Attempt(1), key_state::kRan, 200, kStart);
  table.Tick(kStart + minutes(11));
  EXPECT_EQ(table.Begin("b", 2, Attempt(4), kStart).kind, error_kind::kKeyInProgress);
  EXPECT_EQ(table.Begin("c", 1, Attempt(3), kStart).kind, error_kind::kNone);
}

// Guards against entries that compute different homes, and against a membership change that
// moves all keys.
TEST(KeyHome, AgreesInAnyOrderAndMovesFewKeys) {
  std::vector<member_target> members;
  for (std::uint64_t i = 1; i <= 8; ++i) {
    members.push_back({member_id{i * 77}, incarnation_id{i}});
  }
  const std::vector<member_target> reversed(members.rbegin(), members.rend());
  const std::span<const member_target> fewer(members.data(), 7);
  int moved = 0;
  for (int i = 0; i < 800; ++i) {
    const std::string key = "order-" + std::to_string(i);
    const member_id home = HomeOfOwnKey(key, members)->id;
    EXPECT_EQ(home, HomeOfOwnKey(key, reversed)->id);
    const bool is_moved = HomeOfOwnKey(key, fewer)->id != home;
    EXPECT_TRUE(!is_moved || home == members.back().id);
    moved += is_moved ? 1 : 0;
  }
  EXPECT_GT(moved, 50);
  EXPECT_LT(moved, 150);
  EXPECT_FALSE(HomeOfOwnKey("x", {}));
}

}  // namespace
}  // namespace bronzeroute
