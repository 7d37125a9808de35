#include "src/node/metered_peer_port.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/calls/attempt_head.h"
#include "src/measuring/budget_account.h"
#include "src/routing/load_hint.h"

namespace bronzeroute {
namespace {

using ::testing::_;
using ::testing::Field;

class mock_peer_port : public peer_port {
 public:
  MOCK_METHOD(bool, IsReady, (member_id, bool), (override));
  MOCK_METHOD(bool, SendAttempt, (exchange_id, const attempt_head&), (override));
  MOCK_METHOD(void, CancelAttempt, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, AdmitAttempt, (exchange_id, const load_hint&), (override));
  MOCK_METHOD(void, RefuseAttempt, (exchange_id, error_kind, int, const load_hint&),
              (override));
  MOCK_METHOD(void, RelayToEntry, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, FinishAttempt, (exchange_id, bool, const load_hint&), (override));
};

constexpr time_point kStart{std::chrono::hours(1)};

// Guards against hints that exceed the measuring budget, and against responses that are delayed
// or lost because the budget is exhausted.
TEST(MeteredPeerPort, OmitsHintsWhenTheBudgetIsExhausted) {
  ::testing::NiceMock<mock_peer_port> peers;
  constexpr std::uint64_t kBytesPerSecond = 1000;
  budget_account budget(kBytesPerSecond, std::chrono::milliseconds(1));
  metered_peer_port port(peers, budget);
  load_hint hint;
  hint.sequence = 7;
  int with_hint = 0;
  constexpr int kResponses = 2000;
  EXPECT_CALL(peers, FinishAttempt(_, true, _))
      .Times(kResponses)
      .WillRepeatedly([&with_hint](exchange_id, bool, const load_hint& sent) {
        with_hint += sent.sequence == 7 ? 1 : 0;
      });
  constexpr auto kTime = std::chrono::seconds(10);
  for (int i = 0; i < kResponses; ++i) {
    port.SetTime(kStart + i * std::chrono::duration_cast<duration>(kTime) / kResponses);
    port.OnPeerAttempt(exchange_id{1}, member_id{static_cast<std::uint64_t>(i)},
                       distance::kOtherRegion);
    port.FinishAttempt(exchange_id{1}, true, hint);
  }
  EXPECT_GT(with_hint, 0);
  EXPECT_LE(budget.Counter(charge_purpose::kLoadHint, distance::kOtherRegion).bytes,
            2 * kBytesPerSecond * 10);
  EXPECT_LT(with_hint, kResponses);
}

// Guards against a hint on every response to one entry, which costs more than periodic reports.
TEST(MeteredPeerPort, LimitsRateOfHintsToOneEntry) {
  ::testing::NiceMock<mock_peer_port> peers;
  budget_account budget(100'000, std::chrono::milliseconds(1));
  metered_peer_port port(peers, budget);
  load_hint hint;
  hint.sequence = 7;
  int with_hint = 0;
  ON_CALL(peers, FinishAttempt)
      .WillByDefault([&with_hint](exchange_id, bool, const load_hint& sent) {
        with_hint += sent.sequence == 7 ? 1 : 0;
      });
  for (int ms = 0; ms < 100; ++ms) {
    port.SetTime(kStart + std::chrono::milliseconds(ms));
    port.OnPeerAttempt(exchange_id{1}, member_id{5}, distance::kSameZone);
    port.FinishAttempt(exchange_id{1}, true, hint);
  }
  EXPECT_EQ(with_hint, 10);
}

// Guards against charging two hints for one attempt: the end of the attempt carries a newer
// one.
TEST(MeteredPeerPort, AdmissionCarriesNoHint) {
  ::testing::StrictMock<mock_peer_port> peers;
  budget_account budget(1000, std::chrono::milliseconds(1));
  metered_peer_port port(peers, budget);
  load_hint hint;
  hint.sequence = 7;
  EXPECT_CALL(peers, AdmitAttempt(_, Field(&load_hint::sequence, 0)));
  port.AdmitAttempt(exchange_id{1}, hint);
  EXPECT_EQ(budget.Counter(charge_purpose::kLoadHint, distance::kOtherRegion).bytes, 0);
}

}  // namespace
}  // namespace bronzeroute
