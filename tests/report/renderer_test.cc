#include <gtest/gtest.h>

// After GoogleTest, whose names its macro U would replace.
#include <cpprest/json.h>

#include <string>
#include <vector>

#include "src/report/html_renderer.h"
#include "src/report/json_renderer.h"
#include "src/report/member_list_parser.h"
#include "src/report/text_renderer.h"
#include "tests/report/report_fixture.h"

namespace bronzeroute {
namespace {

constexpr const char* kHostile = "<script>alert('x')</script>&\"\x1b[2J";

burn_report HostileReport() {
  service_metrics metrics = StartedMetrics();
  metrics.SetObjective(kHostile, 1);
  RecordMany(metrics, kHostile, request_class::kShort, request_result::kFailed, 7, kStart);
  const std::vector<process_reading> readings = {
      ReadingOf(kHostile, metrics, kStart),
      ReadingNamed(kHostile, absl::UnavailableError(kHostile))};
  return MakeReport(readings, {{.name = kHostile, .state = "dead"}});
}

// Guards against names from other processes that are executed as scripts or break the page, and
// against a page that loads other resources.
TEST(HtmlReport, EscapesNamesAndLoadsNoOtherResources) {
  const std::string page = HtmlReport(HostileReport());
  for (const char* bad :
       {"<script", "alert('x')", "\x1b", "http://", "https://", "src=", "@import", "url("}) {
    EXPECT_EQ(page.find(bad), std::string::npos) << bad;
  }
  EXPECT_NE(page.find("&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt;&amp;&quot;?[2J"),
            std::string::npos);
  EXPECT_NE(page.find("<svg"), std::string::npos);
  EXPECT_NE(page.find("prefers-color-scheme: dark"), std::string::npos);
}

// Guards against coordinates that are not numbers for objectives of 0 and 1.
TEST(HtmlReport, PlotsEveryObjective) {
  for (const double objective : {0.0, 0.5, 1.0}) {
    for (const request_result result :
         {request_result::kServedInTime, request_result::kFailed}) {
      service_metrics metrics = StartedMetrics();
      metrics.SetObjective("a", objective);
      RecordMany(metrics, "a", request_class::kLong, result, 3, kStart);
      const std::vector<process_reading> readings = {ReadingOf("p", metrics, kStart)};
      const std::string page = HtmlReport(MakeReport(readings, {}));
      EXPECT_NE(page.find("<rect"), std::string::npos);
      EXPECT_EQ(page.find("nan"), std::string::npos) << objective;
      EXPECT_EQ(page.find("inf\""), std::string::npos) << objective;
    }
  }
}

// Guards against control characters that reach a terminal.
TEST(TextReport, HasNoControlCharacters) {
  EXPECT_EQ(TextReport(HostileReport()).find('\x1b'), std::string::npos);
}

// Guards against JSON that cannot be parsed because of a name or an infinite burn rate.
TEST(JsonReport, IsValidAndKeepsNames) {
  const web::json::value parsed = web::json::value::parse(JsonReport(HostileReport()));
  const web::json::value& service = parsed.at("services").at(0);
  EXPECT_EQ(service.at("service").as_string(), kHostile);
  EXPECT_EQ(service.at("severity").as_string(), "page");
  const web::json::value& row = service.at("classes").at(0);
  EXPECT_TRUE(row.at("window_5m").at("burn_rate").is_null());
  EXPECT_EQ(row.at("window_1h").at("failed").as_integer(), 7);
  EXPECT_EQ(parsed.at("coverage").at("unreadable").as_integer(), 1);
}

// Guards against skipping live members and against accepting a malformed member list.
TEST(ParseMemberList, SplitsLiveAndAbsentMembers) {
  const auto member = [](const std::string& state, const std::string& address) {
    return R"({"state":")" + state + R"(","admin_address":")" + address +
           R"(","service":"s","region":"r","availability_zone":"z"})";
  };
  const auto parsed = ParseMemberList(R"({"members":[)" + member("alive", "a") + "," +
                                      member("suspect", "b") + "," + member("dead", "c") + "," +
                                      member("left", "d") + "," + member("alive", "") + "]}");
  ASSERT_TRUE(parsed.ok());
  ASSERT_EQ(parsed->live.size(), 3U);
  EXPECT_EQ(parsed->live[1].name, "b");
  EXPECT_EQ(parsed->live[1].availability_zone, "z");
  ASSERT_EQ(parsed->absent.size(), 2U);
  EXPECT_EQ(parsed->absent[0].state, "dead");
  EXPECT_FALSE(ParseMemberList(R"({"members":[)" + member("new", "a") + "]}").ok());
  EXPECT_FALSE(ParseMemberList(R"({"members":[{"state":"alive"}]})").ok());
  EXPECT_FALSE(ParseMemberList("<html>").ok());
}

}  // namespace
}  // namespace bronzeroute
