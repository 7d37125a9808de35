#include "src/calls/call_history.h"

#include <gtest/gtest.h>

#include <chrono>

#include "src/calls/call_id_text.h"

namespace bronzeroute {
namespace {

call_id Id(std::uint64_t sequence) { return {member_id{0xab}, incarnation_id{0x12}, sequence}; }

// Guards against a copied call identity that is parsed as that of another call.
TEST(CallIdText, RoundTripsAndRejectsOtherText) {
  EXPECT_EQ(ParseCallId(FormatCallId(Id(77))), Id(77));
  for (const char* bad : {"", "1-2", "1-2-3-4", "1-2-", "x-2-3", "1-2-3 "}) {
    EXPECT_FALSE(ParseCallId(bad)) << bad;
  }
}

// Guards against memory that grows with the number of calls, and against finding evicted calls.
TEST(CallHistory, KeepsTheLastCalls) {
  call_history log(3);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    call_record row;
    row.id = Id(i);
    log.Add(row);
  }
  EXPECT_EQ(log.size(), 3U);
  EXPECT_EQ(log.Find(Id(2)), nullptr);
  for (std::uint64_t i = 3; i <= 5; ++i) EXPECT_EQ(log.Find(Id(i))->id, Id(i));
}

// Guards against an explanation without the targets of a call or the reasons of its refusals.
TEST(CallHistory, ExplainsTargetsAndReasons) {
  const time_point start{};
  call_record row;
  row.id = Id(1);
  row.service = "orders";
  row.is_protected = true;
  row.deadline = start + std::chrono::milliseconds(300);
  row.attempts = {
      {.target = {member_id{0xcd}, incarnation_id{9}},
       .reason = target_reason::kOwnUpstreamFree,
       .result = error_kind::kDraining},
      {.target = {member_id{0xef}, incarnation_id{8}}, .result = error_kind::kOverloaded}};
  row.result = error_kind::kRetryBudgetEmpty;
  const std::string text = ExplainCall(row);
  for (const char* part :
       {"service orders", "protected", "00000000000000cd", "own upstream is free", "draining",
        "00000000000000ef", "chosen by load", "overloaded", "retry_budget_empty (not-run)"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << '\n' << text;
  }
}

}  // namespace
}  // namespace bronzeroute
