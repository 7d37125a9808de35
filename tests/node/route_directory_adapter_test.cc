#include "src/node/route_directory_adapter.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "src/base/error_response.h"
#include "src/calls/caller_request.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/configuration_system.h"
#include "src/platform/log_read.h"
#include "tests/configuration/mock_configuration_peers.h"
#include "tests/configuration/mock_log.h"
#include "tests/node/account_document.h"

namespace bronzeroute::tests {
namespace {

using testing::NiceMock;

configuration_settings Settings() {
  return {.environment = "trial",
          .self = member_id{1},
          .form = configuration_form::kVersionedDocuments,
          .read_document = ReadAccountDocument};
}

class RouteDirectoryAdapterTest : public testing::Test {
 protected:
  void Read(std::int64_t offset, const std::string& document, bool is_restored = false) {
    log_read read{.stream = ConfigurationStream("trial"),
                  .next = offset + 1,
                  .records = {{.offset = offset, .data = document}},
                  .is_newest_of_each = true,
                  .is_restored = is_restored};
    configuration_.OnLogRead(read, kNow);
  }
  route_decision Find(const std::string& path, const std::optional<std::string>& key,
                      std::uint32_t depth = 0) {
    caller_request request;
    request.method = "GET";
    request.host = "shop";
    request.path = path;
    request.depth = depth;
    if (key) request.credential = DigestCredential(*key);
    return routes_.Find(request);
  }
  error_kind Error(const std::optional<std::string>& key) {
    return Find("/orders/1", key).error;
  }

  static constexpr time_point kNow = time_point{} + std::chrono::hours(1);
  NiceMock<mock_log> log_;
  NiceMock<mock_configuration_peers> peers_;
  configuration_system configuration_{Settings(), log_, peers_};
  route_directory_adapter routes_{configuration_, 1};
};

// Guards against a request without a valid key that is served, a valid one that is refused, and
// an account whose priority or regions are not applied.
TEST_F(RouteDirectoryAdapterTest, RequestsNeedAKeyThatAnAccountHolds) {
  Read(0, "1 alpha:first eastern:second");
  const route_decision first = Find("/orders/1", "first");
  EXPECT_EQ(first.error, error_kind::kNone);
  EXPECT_TRUE(first.has_accounts);
  EXPECT_EQ(first.service, "orders");
  EXPECT_EQ(first.account, "alpha");
  EXPECT_EQ(first.account_priority, 1U);
  EXPECT_EQ(first.priority, 3U);
  EXPECT_EQ(first.regions, region_limit({"east", "west"}));
  const route_decision second = Find("/orders/1", "second");
  EXPECT_EQ(second.account, "eastern");
  EXPECT_EQ(second.account_priority, 2U);
  EXPECT_EQ(second.regions, region_limit({"east"}));
  const std::optional<std::string> unknown[] = {"third", "", "First", "first ", std::nullopt};
  for (const auto& key : unknown) {
    const route_decision refused = Find("/orders/1", key);
    EXPECT_EQ(refused.error, error_kind::kUnknownCredential) << key.value_or("none");
    EXPECT_EQ(refused.service, "");
    EXPECT_EQ(refused.account, "");
  }
  EXPECT_EQ(Find("/elsewhere/1", "third").error, error_kind::kUnknownRoute);
}

// Guards against 401 for requests that need no key: those of an exempt route, also with a key
// that is unknown, and the calls that the daemon's own upstream makes for work that runs there.
TEST_F(RouteDirectoryAdapterTest, ExemptRequestsAndCallsOfRunningWorkNeedNoKey) {
  Read(0, "1 alpha:first eastern:second");
  struct row {
    std::string path;
    std::optional<std::string> key;
    std::uint32_t depth;
  };
  for (const auto& [path, key, depth] :
       {row{"/free/1", std::nullopt, 0}, {"/free/1", "third", 0}, {"/orders/1", {}, 1}}) {
    const route_decision decision = Find(path, key, depth);
    EXPECT_EQ(decision.error, error_kind::kNone) << path;
    EXPECT_TRUE(decision.has_accounts) << path;
    EXPECT_EQ(decision.account, "") << path;
    EXPECT_EQ(decision.account_priority, 0U) << path;
  }
  EXPECT_EQ(Find("/free/1", "second").account, "eastern");
  EXPECT_EQ(Find("/free/1", "second").regions, region_limit({"east", "south"}));
  EXPECT_EQ(Find("/orders/1", "second", 1).account, "eastern");
}

// Guards against a request with a key that no account holds which runs because its caller chose
// an id that continues the one of a running request.
TEST_F(RouteDirectoryAdapterTest, UnknownKeyIsRefusedWhateverTheDepth) {
  Read(0, "1 alpha:first eastern:second");
  for (const std::uint32_t depth : {0U, 1U, 9U}) {
    for (const std::string key : {"third", "", "firs"}) {
      EXPECT_EQ(Find("/orders/1", key, depth).error, error_kind::kUnknownCredential) << key;
    }
  }
}

// Guards against a route that is served after a version has removed it and all others, since
// its prefix is the name of its service.
TEST_F(RouteDirectoryAdapterTest, VersionWithoutRoutesRefusesAllRequests) {
  Read(0, "1");
  EXPECT_EQ(Error(std::nullopt), error_kind::kNone);
  Read(1, "2 unrouted");
  EXPECT_EQ(Error(std::nullopt), error_kind::kUnknownRoute);
  EXPECT_FALSE(routes_.IsRepeatable("GET", "shop", "/orders/1"));
}

// Guards against a route that falls to another one, or to 404, since it cannot be served, and
// against callers without a valid key who learn of that.
TEST_F(RouteDirectoryAdapterTest, RouteWithoutServiceIsRefusedAsNotRun) {
  Read(0, "1 closed alpha:first");
  const route_decision refused = Find("/orders/1", "first");
  EXPECT_EQ(refused.error, error_kind::kUnservableRoute);
  EXPECT_EQ(refused.service, "");
  EXPECT_EQ(Error("second"), error_kind::kUnknownCredential);
  const error_response& response = ErrorResponseFor(error_kind::kUnservableRoute);
  EXPECT_EQ(response.http_status, 503);
  EXPECT_EQ(response.state, execution::kNotRun);
}

// Guards against 401 for a key that the version contains, and against a run for the wrong
// account.
TEST_F(RouteDirectoryAdapterTest, KeyOfNoSingleAccountIsRefusedAsNotRun) {
  Read(0, "1 closed alpha:first");
  EXPECT_EQ(Error("refused"), error_kind::kUnservableAccount);
  EXPECT_EQ(Find("/orders/1", "refused", 1).error, error_kind::kUnservableAccount);
  EXPECT_EQ(Find("/free/1", "refused").error, error_kind::kNone);
  EXPECT_EQ(Find("/free/1", "refused").account, "");
  EXPECT_EQ(ErrorResponseFor(error_kind::kUnservableAccount).http_status, 503);
}

// Guards against the withdrawn key of the last account, which was served and passed on.
TEST_F(RouteDirectoryAdapterTest, WithoutAnAccountAllKeysAreUnknownIfOneIsNeeded) {
  Read(0, "1 alpha:first");
  EXPECT_EQ(Error("first"), error_kind::kNone);
  Read(1, "2 closed");
  EXPECT_EQ(Error("first"), error_kind::kUnknownCredential);
  EXPECT_EQ(Error(std::nullopt), error_kind::kUnknownCredential);
  EXPECT_TRUE(Find("/free/1", "first").has_accounts);
  EXPECT_EQ(Find("/free/1", "first").error, error_kind::kNone);
}

// Guards against keys that are looked at, or fields that are changed, in a deployment without
// accounts, and against 401 from a daemon that has no configuration yet.
TEST_F(RouteDirectoryAdapterTest, WithoutAccountsNoKeyIsNeeded) {
  EXPECT_EQ(Error("first"), error_kind::kNotReady);
  EXPECT_EQ(Error(std::nullopt), error_kind::kNotReady);
  Read(0, "1");
  EXPECT_EQ(Error("first"), error_kind::kNone);
  EXPECT_EQ(Error(std::nullopt), error_kind::kNone);
  EXPECT_FALSE(Find("/orders/1", "first").has_accounts);
  EXPECT_EQ(Find("/orders/1", "first").account, "");
}

// Guards against a revoked key that works again because the store was restored from an older
// copy or because a peer has an older version, and against one that works after its version.
TEST_F(RouteDirectoryAdapterTest, RevokedKeyNeverWorksAgain) {
  Read(0, "1 alpha:first");
  const std::string old_record = configuration_.SnapshotFor(0);
  ASSERT_FALSE(old_record.empty());
  EXPECT_EQ(Error("first"), error_kind::kNone);
  Read(1, "2 alpha:changed");
  EXPECT_EQ(Error("first"), error_kind::kUnknownCredential);
  EXPECT_EQ(Error("changed"), error_kind::kNone);
  Read(0, "1 alpha:first", true);
  EXPECT_EQ(Error("first"), error_kind::kUnknownCredential);
  configuration_.OnPeerVersion(member_id{2}, 1, kNow);
  configuration_.OnSnapshot(member_id{2}, old_record, kNow);
  EXPECT_EQ(Error("first"), error_kind::kUnknownCredential);
  EXPECT_EQ(Error("changed"), error_kind::kNone);
  Read(2, "3");
  EXPECT_EQ(Error("first"), error_kind::kNone) << "no accounts, no keys";
  Read(3, "4 alpha:changed");
  EXPECT_EQ(Error("first"), error_kind::kUnknownCredential);
}

}  // namespace
}  // namespace bronzeroute::tests
