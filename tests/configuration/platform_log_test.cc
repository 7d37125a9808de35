#include <gtest/gtest.h>  // before the headers of cpprestsdk, whose macro U breaks it

#include <future>
#include <string>

#include "src/platform/http_log_port.h"
#include "src/platform/log_client.h"
#include "src/transport/event_loop.h"
#include "tests/configuration/log_server.h"

namespace bronzeroute {
namespace {

constexpr std::chrono::milliseconds kTimeout(5000);

// Guards against data that changes between append and read, and against a wrong record age.
TEST(LogClient, ReadsBackWhatWasAppended) {
  log_server server;
  log_client client(server.address(), kTimeout);
  std::string data("\0\xff\r\n%", 5);
  ASSERT_EQ(client.Append("members", "x").get().value(), 0);
  ASSERT_EQ(client.Append("members", data).get().value(), 1);
  const log_read read =
      client.Read("members", 1, 10, std::chrono::milliseconds(0)).get().value();
  EXPECT_EQ(read.stream, "members");
  EXPECT_EQ(read.next, 2);
  ASSERT_EQ(read.records.size(), 1U);
  EXPECT_EQ(read.records[0].data, data);
  EXPECT_EQ(read.records[0].age_ms, 1000);
}

// Guards against errors that are thrown on the thread pool or reported with the wrong code.
TEST(LogClient, GivesErrorsAsStatus) {
  log_server server;
  log_client client(server.address(), kTimeout);
  server.RefuseAppends(1, web::http::status_codes::TooManyRequests);
  EXPECT_TRUE(absl::IsResourceExhausted(client.Append("s", "x").get().status()));
  server.RefuseAppends(1, web::http::status_codes::ServiceUnavailable);
  EXPECT_TRUE(absl::IsUnavailable(client.Append("s", "x").get().status()));
  server.RefuseAppends(1, web::http::status_codes::Created);  // without a JSON body
  EXPECT_TRUE(absl::IsDataLoss(client.Append("s", "x").get().status()));
  log_client nobody("127.0.0.1:1", kTimeout);
  EXPECT_TRUE(absl::IsUnavailable(nobody.Append("s", "x").get().status()));
}

// Guards against results that are not delivered to the listener.
TEST(HttpLogPort, DeliversResultsToTheListener) {
  StartEventLoop();
  log_server server;
  std::promise<std::int64_t> appended;
  std::promise<log_read> read;
  std::promise<std::string> failed;
  http_log_port port(server.address(),
                     {[&](const log_read& result) { read.set_value(result); },
                      [](const std::string&, const absl::Status&) {},
                      [&](std::uint64_t token, const absl::StatusOr<std::int64_t>& offset) {
                        appended.set_value(token == 7 ? offset.value_or(-1) : -2);
                      }});
  port.Append("config.trial", "key", "data", 7);
  EXPECT_EQ(appended.get_future().get(), 0);
  port.Read("config.trial", 0);
  EXPECT_EQ(read.get_future().get().records.size(), 1U);
  http_log_port nobody(
      "127.0.0.1:1",
      {[](const log_read&) {},
       [&](const std::string& stream, const absl::Status&) { failed.set_value(stream); },
       [](std::uint64_t, const absl::StatusOr<std::int64_t>&) {}});
  nobody.Read("config.trial", 0);
  EXPECT_EQ(failed.get_future().get(), "config.trial");
}

}  // namespace
}  // namespace bronzeroute
