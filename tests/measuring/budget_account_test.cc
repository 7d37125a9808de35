#include "src/measuring/budget_account.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace bronzeroute {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(100)};

// Guards against a refused charge that still takes tokens from one of the buckets.
TEST(BudgetAccount, ChargesBothOrNeither) {
  budget_account account(5000, milliseconds(10));
  EXPECT_FALSE(account.TryCharge(100, milliseconds(11), kStart));
  EXPECT_TRUE(account.TryCharge(5000, milliseconds(0), kStart));
  EXPECT_FALSE(account.TryCharge(1, milliseconds(0), kStart));
  EXPECT_TRUE(account.TryCharge(0, milliseconds(10), kStart));
}

// Guards against charges that pass a limit of 0, as set by a document that forbids measuring.
TEST(BudgetAccount, ZeroLimitRefuses) {
  budget_account account(0, duration(0));
  EXPECT_FALSE(account.TryCharge(1, duration(0), kStart));
  EXPECT_FALSE(account.TryCharge(0, microseconds(1), kStart));
  EXPECT_TRUE(account.TryCharge(0, duration(0), kStart));
}

// Guards against a small limit whose burst is below the size of a full datagram.
TEST(BudgetAccount, SmallLimitPassesOneFullDatagram) {
  budget_account account(100, duration(0));
  EXPECT_TRUE(account.TryCharge(1228, duration(0), kStart));
  EXPECT_FALSE(account.TryCharge(1, duration(0), kStart));
}

// Guards against debt that has no effect, or that blocks charges without limit.
TEST(BudgetAccount, DebtDelaysLaterChargesForALimitedTime) {
  budget_account account(1000, duration(0));
  account.ChargeAlways({.bytes = 1'000'000}, kStart);
  EXPECT_FALSE(account.TryCharge(100, duration(0), kStart + milliseconds(10'000)));
  EXPECT_TRUE(account.TryCharge(100, duration(0), kStart + milliseconds(10'200)));
  EXPECT_EQ(account.Counter(charge_purpose::kMembershipProbe, distance::kSameZone).forced, 1U);
}

// Guards against other charges that use up the reserve of membership probes.
TEST(BudgetAccount, ProbesHaveAReserve) {
  budget_account account(5000, duration(0));
  const auto charge = [&account](charge_purpose purpose, std::uint64_t bytes) {
    return account.TryCharge({.bytes = bytes, .purpose = purpose}, kStart);
  };
  const std::uint64_t largest = account.MaxCharge(charge_purpose::kHealthProbe);
  EXPECT_FALSE(charge(charge_purpose::kHealthProbe, largest + 1));
  EXPECT_TRUE(charge(charge_purpose::kHealthProbe, largest));
  EXPECT_FALSE(charge(charge_purpose::kMembershipChange, 1));
  EXPECT_TRUE(charge(charge_purpose::kMembershipProbe, 5000 - largest));
  EXPECT_FALSE(charge(charge_purpose::kMembershipProbe, 1));
}

// Guards against charges counted under the wrong purpose or distance.
TEST(BudgetAccount, CountsPerPurposeAndDistance) {
  budget_account account(1000, milliseconds(100));
  account.TryCharge({.bytes = 300,
                     .upstream_time = milliseconds(6),
                     .purpose = charge_purpose::kHealthProbe,
                     .where = distance::kOtherRegion},
                    kStart);
  account.TryCharge(
      {.bytes = 2000, .purpose = charge_purpose::kHealthProbe, .where = distance::kOtherRegion},
      kStart);
  const budget_counter& row =
      account.Counter(charge_purpose::kHealthProbe, distance::kOtherRegion);
  EXPECT_EQ(row.charges, 1U);
  EXPECT_EQ(row.bytes, 300U);
  EXPECT_EQ(row.upstream_time, milliseconds(6));
  EXPECT_EQ(row.refused, 1U);
  EXPECT_EQ(account.Counter(charge_purpose::kHealthProbe, distance::kSameZone).charges, 0U);
}

// Guards against sequences of charges that together exceed the limit plus one burst.
RC_GTEST_PROP(BudgetAccountProperty, NeverExceedsLimitAndBurst, ()) {
  const auto limit = *rc::gen::inRange<std::uint64_t>(1, 10'000);
  budget_account account(limit, duration(0));
  time_point now = kStart;
  std::uint64_t spent = 0;
  const auto charges = *rc::gen::container<std::vector<std::pair<int, std::uint64_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 500'000), rc::gen::inRange<std::uint64_t>(1, 1500)));
  for (const auto& [pause, bytes] : charges) {
    now += microseconds(pause);
    if (account.TryCharge(bytes, duration(0), now)) spent += bytes;
    const auto elapsed = static_cast<std::uint64_t>((now - kStart).count());
    RC_ASSERT(spent <= std::max<std::uint64_t>(limit, 1228) + limit * elapsed / 1'000'000 + 1);
  }
}

}  // namespace
}  // namespace bronzeroute
