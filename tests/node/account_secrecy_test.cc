#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "src/base/concat.h"
#include "src/base/error_response.h"
#include "src/calls/call_history.h"
#include "src/calls/caller_port.h"
#include "src/calls/caller_request.h"
#include "src/calls/peer_port.h"
#include "src/calls/upstream_port.h"
#include "src/configuration/configuration_peer_port.h"
#include "src/configuration/configuration_record.h"
#include "src/logging/log_line.h"
#include "src/logging/log_sink.h"
#include "src/measuring/exposition.h"
#include "src/membership/datagram_port.h"
#include "src/membership/upstream_announcement.h"
#include "src/node/node_runtime.h"
#include "src/node/peer_link_port.h"
#include "src/node/runtime_ports.h"
#include "src/node/runtime_settings.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"
#include "tests/node/account_document.h"

namespace bronzeroute::tests {
namespace {

using std::chrono::milliseconds;
using testing::_;
using testing::NiceMock;

struct mock_ports : caller_port,
                    peer_port,
                    upstream_port,
                    datagram_port,
                    log_port,
                    configuration_peer_port,
                    peer_link_port {
  MOCK_METHOD(void, SetAccount, (exchange_id, std::string_view), (override));
  MOCK_METHOD(void, RespondWithError, (exchange_id, const call_id&, error_kind, int, duration),
              (override));
  MOCK_METHOD(void, RelayResponse, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, AbortResponse, (exchange_id), (override));
  MOCK_METHOD(bool, IsReady, (member_id, bool), (override));
  MOCK_METHOD(bool, SendAttempt, (exchange_id, const attempt_head&), (override));
  MOCK_METHOD(void, CancelAttempt, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, AdmitAttempt, (exchange_id, const load_hint&), (override));
  MOCK_METHOD(void, RefuseAttempt, (exchange_id, error_kind, int, const load_hint&),
              (override));
  MOCK_METHOD(void, RelayToEntry, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, FinishAttempt, (exchange_id, bool, const load_hint&), (override));
  MOCK_METHOD(void, StartUpstream, (exchange_id, const attempt_id&, time_point, bool),
              (override));
  MOCK_METHOD(void, CancelUpstream, (exchange_id, const attempt_id&), (override));
  MOCK_METHOD(void, SendDatagram, (std::string_view, std::string_view), (override));
  MOCK_METHOD(void, Append,
              (std::string_view, std::string_view, std::string_view, std::uint64_t),
              (override));
  MOCK_METHOD(void, Read, (std::string_view, std::int64_t), (override));
  MOCK_METHOD(void, FetchSnapshot, (member_id, std::int64_t), (override));
  MOCK_METHOD(void, OpenPeer, (member_id, std::string_view, bool), (override));
  MOCK_METHOD(void, ClosePeer, (member_id), (override));
  MOCK_METHOD(void, SetUpstream, (std::string_view, std::string_view), (override));
};

struct recording_sink : log_sink {
  void Write(const log_line& line) override { text += line.text() + "\n"; }
  std::string text;
};

/// One daemon with an upstream of the service "orders" and the document "1 alpha:secret-one".
class AccountSecrecyTest : public testing::Test {
 protected:
  AccountSecrecyTest() {
    ON_CALL(ports_, StartUpstream)
        .WillByDefault(
            [this](exchange_id, const attempt_id& id, time_point, bool) { started_ = id; });
    Publish(0, "1 alpha:secret-one");
    runtime_.OnAnnouncement(
        {.service = "orders", .address = "10.0.1.1:80", .slots = 4, .connections = 50}, now_);
    Tick();
  }
  void Tick() {
    now_ += milliseconds(10);
    runtime_.Tick(now_);
  }
  void Publish(std::int64_t offset, const std::string& document) {
    log_read read{.stream = ConfigurationStream("trial"),
                  .next = offset + 1,
                  .records = {{.offset = offset, .data = document}}};
    runtime_.OnLogRead(read, now_);
  }
  /// A request with `key` at the path; returns the explanation of its call once it has ended.
  std::string Ask(const std::string& key, const std::string& path = "/orders/1") {
    caller_request request;
    request.exchange.value = ++last_exchange_;
    request.method = "GET";
    request.host = "shop";
    request.path = path;
    request.content_length = 0;
    if (!key.empty()) request.credential = DigestCredential(key);
    started_ = {};
    const call_id id = runtime_.calls().OnCallerRequest(request, now_);
    Tick();
    if (started_ != attempt_id{}) {
      runtime_.calls().OnUpstreamResponseHead(started_, 200, now_);
      runtime_.calls().OnUpstreamEnded(started_, true, now_);
    }
    const call_record* row = runtime_.calls().entry().history().Find(id);
    return row == nullptr ? "" : ExplainCall(*row);
  }
  static member_row Self() {
    member_row self;
    self.id = member_id{1};
    self.incarnation = incarnation_id{1000};
    self.region = "east";
    self.peer_address = "10.0.0.1:7001";
    self.membership_address = "10.0.0.1:7002";
    return self;
  }
  static runtime_settings Settings() {
    return {.environment = "trial",
            .seeds = {},
            .seed = 1,
            .form = configuration_form::kVersionedDocuments,
            .read_document = ReadAccountDocument};
  }
  std::string Metrics() { return ExpositionText(runtime_.metrics(), runtime_.budget(), now_); }

  time_point now_ = time_point{} + std::chrono::hours(1);
  NiceMock<mock_ports> ports_;
  recording_sink events_;
  node_runtime runtime_{
      Self(), Settings(),
      runtime_ports{ports_, ports_, ports_, ports_, ports_, ports_, ports_, &events_}, now_};
  attempt_id started_;
  std::uint64_t last_exchange_ = 0;
};

// Guards against a value of a version that is replaced without an operator seeing it, and
// against a response whose cause in the version cannot be found.
TEST_F(AccountSecrecyTest, OperatorsSeeReplacedValuesAndWhatTheyRefuse) {
  EXPECT_EQ(runtime_.restrictions(now_).replaced_values, 0U);
  EXPECT_EQ(events_.text.find("values_replaced"), std::string::npos);
  Publish(1, "2 closed alpha:secret-one");
  Tick();
  EXPECT_NE(events_.text.find("event=values_replaced version=2 values=2 "
                              "value=\"configuration: orders.service: found null; allowed: a "
                              "name; used: none\"\n"),
            std::string::npos)
      << events_.text;
  const std::string metrics =
      ExpositionText(runtime_.metrics(), runtime_.budget(), now_, exposition_detail::kMinutes,
                     runtime_.restrictions(now_));
  EXPECT_NE(metrics.find("\nbronzeroute_config_replaced_values 2\n"), std::string::npos)
      << metrics;
  EXPECT_NE(Ask("secret-one").find("unservable_route (not-run)"), std::string::npos);
  EXPECT_NE(Ask("refused").find("unservable_account (not-run)"), std::string::npos);
  EXPECT_NE(events_.text.find("config=2"), std::string::npos) << events_.text;
  EXPECT_NE(events_.text.find("outcome=unservable_route"), std::string::npos);
  Publish(2, "3 alpha:secret-one");
  Tick();
  EXPECT_EQ(runtime_.restrictions(now_).replaced_values, 0U);
  EXPECT_EQ(events_.text.find("secret"), std::string::npos);
}

// Guards against a key in a log line, a metric or an explanation, and against requests refused
// for their key, or counts of an account, that operators cannot see.
TEST_F(AccountSecrecyTest, OperatorsSeeAccountsAndRefusalsButNoKey) {
  EXPECT_CALL(ports_, SetAccount(exchange_id{1}, std::string_view("alpha")));
  EXPECT_CALL(ports_, SetAccount(exchange_id{2}, _)).Times(0);
  EXPECT_CALL(ports_,
              RespondWithError(exchange_id{2}, _, error_kind::kUnknownCredential, 0, _));
  EXPECT_CALL(ports_, SetAccount(exchange_id{3}, std::string_view("")));
  std::string seen = Ask("secret-one");
  EXPECT_NE(seen.find("call: for account alpha\n"), std::string::npos) << seen;
  EXPECT_NE(seen.find("complete with status 200"), std::string::npos) << seen;
  const std::string refused = Ask("secret-two");
  EXPECT_NE(refused.find("unknown_credential (not-run)"), std::string::npos) << refused;
  seen += refused + Ask("secret-two", "/free/1");
  const std::string metrics = Metrics();
  const auto has = [&metrics](std::string_view line) {
    return metrics.find("\n" + std::string(line) + "\n") != std::string::npos;
  };
  const std::string account = R"(bronzeroute_account_requests_total{account="alpha",result=)";
  EXPECT_TRUE(has(account + "\"served_in_time\"} 1")) << metrics;
  EXPECT_TRUE(has(account + "\"refused\"} 0")) << metrics;
  EXPECT_TRUE(has("bronzeroute_unknown_credential_total 1")) << metrics;
  // Requests with unknown keys do not use up the error budget of a service.
  EXPECT_FALSE(
      has(R"(bronzeroute_requests_total{service="orders",class="short",result="refused"} 1)"));
  EXPECT_NE(events_.text.find("outcome=unknown_credential"), std::string::npos);
  EXPECT_NE(events_.text.find("account=alpha"), std::string::npos);
  for (const std::string& text : {seen, metrics, events_.text}) {
    EXPECT_EQ(text.find("secret"), std::string::npos) << text;
  }
}

// Guards against metrics that grow with each change of the document or with its size.
TEST_F(AccountSecrecyTest, MetricsAreBoundedInNumber) {
  Ask("secret-one");
  std::string many = "2";
  for (std::size_t i = 0; i < account_metrics::kMaxAccounts + 10; ++i) {
    const std::string name = "a" + std::to_string(i);
    many += Concat(" ", name, ":key-", name);
  }
  Publish(1, many);
  Tick();
  EXPECT_EQ(runtime_.metrics().accounts().accounts().size(), account_metrics::kMaxAccounts + 1);
  EXPECT_EQ(Metrics().find("alpha"), std::string::npos);
  Ask("key-a1009");
  EXPECT_NE(Metrics().find(R"({account="other accounts",result="served_in_time"} 1)"),
            std::string::npos);
  Publish(2, "3 alpha:secret-three");
  Tick();
  EXPECT_EQ(runtime_.metrics().accounts().accounts().size(), 1U);
  Ask("secret-one");
  EXPECT_EQ(runtime_.metrics().accounts().unknown_credentials(), 1U);
}

}  // namespace
}  // namespace bronzeroute::tests
