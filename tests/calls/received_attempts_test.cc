#include "src/calls/received_attempts.h"

#include <gtest/gtest.h>

#include <chrono>

namespace bronzeroute {
namespace {

constexpr time_point kStart{};

attempt_id Id(std::uint64_t incarnation, std::uint64_t sequence, std::uint32_t number = 1) {
  return {{member_id{3}, incarnation_id{incarnation}, sequence}, number};
}

// Guards against a duplicate that runs because its identity was evicted.
TEST(ReceivedAttempts, ForgottenIdentitiesStayRefused) {
  received_attempts record(2);
  EXPECT_TRUE(record.Insert(Id(1, 1), kStart));
  EXPECT_FALSE(record.Insert(Id(1, 1), kStart));
  EXPECT_TRUE(record.Insert(Id(1, 1, 2), kStart));
  EXPECT_TRUE(record.Insert(Id(1, 5), kStart));
  EXPECT_FALSE(record.Insert(Id(1, 1), kStart)) << "evicted at the capacity";
  record.Tick(kStart + std::chrono::minutes(3));
  EXPECT_FALSE(record.Insert(Id(1, 5), kStart)) << "evicted at its expiry";
  EXPECT_TRUE(record.Insert(Id(1, 6), kStart));
}

// Guards against work for an earlier incarnation of the entry, and against refusing a new one.
TEST(ReceivedAttempts, NewIncarnationOfTheEntryIsAccepted) {
  received_attempts record;
  EXPECT_TRUE(record.Insert(Id(1, 9), kStart));
  EXPECT_TRUE(record.Insert(Id(2, 1), kStart));
  EXPECT_FALSE(record.Insert(Id(1, 10), kStart));
}

}  // namespace
}  // namespace bronzeroute
