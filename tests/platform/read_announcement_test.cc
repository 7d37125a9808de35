#include "platform/read_announcement.h"

#include <gtest/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bronzeroute::platform {
namespace {

using nlohmann::json;

constexpr time_point kNow{std::chrono::seconds(100)};

std::string Report(const std::string& info, const std::string& status,
                   const std::string& more = "") {
  return R"({"address":"10.128.0.9:8080","info":{)" + info + R"(},"status":{)" + status + "}" +
         more + "}";
}

constexpr char kInfo[] = R"("service":"huvo11a","version":"v1","zone":"bkk-a","slots":9)";
// Fields that the service is announced with.
const std::string kNamed = R"("version":"v1","zone":"bkk-a",)";
constexpr char kStatus[] = R"("state":"ready","sequence":4,"coldLeftMs":1500)";

// Guards against a field that is lost or mistaken for another one.
TEST(ReadAnnouncement, ReadsEveryField) {
  const auto read =
      ReadAnnouncement("i-7f3a91c2", Report(kInfo, kStatus, R"(,"born":1774519957076)"), kNow)
          .value;
  ASSERT_TRUE(read);
  EXPECT_EQ(read->identity, "i-7f3a91c2");
  EXPECT_EQ(read->address, "10.128.0.9:8080");
  EXPECT_EQ(read->service, "huvo11a");
  EXPECT_EQ(read->slots, 9U);
  EXPECT_EQ(read->sequence, 4U);
  EXPECT_EQ(read->started_ms, 1774519957076);
  EXPECT_FALSE(read->is_leaving);
  EXPECT_EQ(read->warm_at, kNow + std::chrono::milliseconds(1500));
}

TEST(ReadAnnouncement, ReadsStateDrainingAsLeaving) {
  const auto read =
      ReadAnnouncement("i-1",
                       Report(kInfo, R"("state":"draining","sequence":5,"coldLeftMs":0)"), kNow)
          .value;
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->is_leaving);
}

// Guards against a malformed announcement that makes an upstream usable or terminates the
// process.
TEST(ReadAnnouncement, RejectsMalformedAnnouncements) {
  for (const std::string& text :
       {std::string(), std::string("\xff\x00{", 3), std::string("[1]"),
        Report(kNamed + R"("service":7,"slots":9)", kStatus),
        Report(kNamed + R"("slots":9)", kStatus),
        Report(kNamed + R"("service":"a","slots":0)", kStatus),
        Report(kNamed + R"("service":"a","slots":"9")", kStatus),
        Report(kNamed + R"("service":"a","slots":2.5)", kStatus),
        Report(kInfo, R"("state":"odd","sequence":4,"coldLeftMs":0)"),
        Report(kInfo, R"("state":"ready","sequence":-4,"coldLeftMs":0)"),
        Report(kInfo, R"("state":"ready","coldLeftMs":0)"),
        Report(kInfo, kStatus, R"(,"born":"yesterday")")}) {
    EXPECT_FALSE(ReadAnnouncement("i-1", text, kNow).value) << text;
  }
}

// Guards against an announcement of another writer, which lacks a field or has one of another
// type, that counts as one of the upstream: its sequence made those of the upstream look late.
TEST(ReadAnnouncement, RejectsAnnouncementsWithoutAFieldThatUpstreamsSend) {
  const json whole = json::parse(Report(kInfo, kStatus));
  ASSERT_TRUE(ReadAnnouncement("i-1", whole.dump(), kNow).value);
  for (const char* const place :
       {"/address", "/info", "/info/service", "/info/version", "/info/zone", "/info/slots",
        "/status", "/status/state", "/status/sequence", "/status/coldLeftMs"}) {
    const json::json_pointer field(place);
    std::vector<json> changed(2, whole);
    changed[0][field.parent_pointer()].erase(field.back());
    for (const json& other : {json(nullptr), json(true), json(json::array()), json(0.5)}) {
      changed.push_back(whole);
      changed.back()[field] = other;
    }
    const bool is_text = whole[field].is_string();
    changed[1][field] = is_text ? json(7) : json("7");
    for (const json& each : changed) {
      const announcement_result read = ReadAnnouncement("i-1", each.dump(), kNow);
      EXPECT_FALSE(read.value) << each;
      EXPECT_FALSE(read.error.key.empty()) << each;
      EXPECT_FALSE(read.error.allowed.empty()) << each;
    }
  }
}

// Guards against a log line that does not tell an operator what is wrong with an announcement.
TEST(ReadAnnouncement, ErrorNamesFieldFoundAndAllowed) {
  const document_error error =
      ReadAnnouncement("i-1", Report(kInfo, R"("state":"odd","sequence":4,"coldLeftMs":0)"),
                       kNow)
          .error;
  EXPECT_EQ(error.key, "status.state");
  EXPECT_EQ(error.found, R"("odd")");
  EXPECT_EQ(error.allowed, "ready or draining");
}

// Guards against an announcement of another writer that terminates the process or names an
// upstream that cannot exist: deep nesting, numbers that no type holds, a port out of range.
TEST(ReadAnnouncement, RejectsOddAnnouncementsOfOtherWriters) {
  constexpr std::size_t kDepth = 100'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string objects = [] {
    std::string text;
    for (std::size_t i = 0; i < kDepth; ++i) text += R"({"a":)";
    return text + "1" + std::string(kDepth, '}');
  }();
  const auto with_address = [](const std::string& address) {
    return R"({"address":")" + address + R"(","info":{)" + kInfo + R"(},"status":{)" + kStatus +
           "}}";
  };
  ASSERT_TRUE(ReadAnnouncement("i-1", with_address("10.128.0.9:8080"), kNow).value);
  for (const std::string& text :
       {nested, objects, Report(kInfo, "\"state\":" + nested),
        Report(kNamed + R"("service":"a","slots":1e999)", kStatus),
        Report(kNamed + R"("service":"a","slots":99999999999999999999999)", kStatus),
        Report(kNamed + R"("service":"a","slots":18446744073709551615)", kStatus),
        Report(kInfo, R"("state":"ready","sequence":18446744073709551615,"coldLeftMs":0)"),
        Report(kInfo, R"("state":"ready","sequence":1e400,"coldLeftMs":0)"),
        Report(kInfo, R"("state":"ready","sequence":4,"coldLeftMs":9223372036854775807)"),
        Report(kInfo, kStatus, R"(,"born":1e999)"), with_address("10.128.0.9:65536"),
        with_address("10.128.0.9:99999"), with_address("10.128.0.9:0"),
        with_address("10.128.0.9:-1"), with_address("10.128.0.9"), with_address("nowhere:80"),
        with_address("")}) {
    EXPECT_FALSE(ReadAnnouncement("i-1", text, kNow).value) << text.substr(0, 200);
  }
}

TEST(ReadStart, ReturnsTheStartIfThereIsAValidOne) {
  EXPECT_EQ(ReadStart(R"({"born":1774519957076})"), 1774519957076);
  for (const std::string text : {"", "{}", "[]", R"({"born":"x"})", R"({"born":1e999})"}) {
    EXPECT_FALSE(ReadStart(text)) << text;
  }
}

}  // namespace
}  // namespace bronzeroute::platform
