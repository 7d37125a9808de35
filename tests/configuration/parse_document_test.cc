#include "src/configuration/parse_document.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "src/configuration/document_error.h"
#include "tests/configuration/sample_document.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;

std::vector<std::string> Errors(std::string_view text) {
  const parse_result result = ParseDocument(text, "test.toml");
  EXPECT_EQ(result.value.has_value(), result.errors.empty());
  std::vector<std::string> lines;
  for (const document_error& error : result.errors) lines.push_back(DescribeError(error));
  return lines;
}

std::string WithRoute(std::string_view route) {
  return SampleDocument(1) + "[[service.route]]\n" + std::string(route);
}

// Guards against a field that is read from the wrong key or in the wrong unit.
TEST(ParseDocument, ReadsEveryKey) {
  const parse_result result = ParseDocument(R"(format = 1
name = "full"
[measuring]
bytes_per_second = 1500
upstream_ms_per_second = 7
[[service]]
name = "media"
deadline_ms = 900
slots = 6
connections = 260
queue_limit = 12
long_share = 0.25
warmup_ms = 4000
regions = ["central", "north"]
objective = 0.995
objective_latency_ms = 200
[[service.route]]
method = "POST"
prefix = "/media/sets"
class = "long"
protected = true
deadline_ms = 60000
)",
                                            "full.toml");
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->name, "full");
  EXPECT_EQ(result.value->measuring_bytes_per_second, 1500U);
  EXPECT_EQ(result.value->measuring_upstream_ms_per_second, 7U);
  const service_spec* service = result.value->FindService("media");
  ASSERT_NE(service, nullptr);
  EXPECT_EQ(service->time_limit, milliseconds(900));
  EXPECT_EQ(service->max_slots, 6U);
  EXPECT_EQ(service->max_connections, 260U);
  EXPECT_EQ(service->queue_limit, 12U);
  EXPECT_EQ(service->long_share, 0.25);
  EXPECT_EQ(service->warmup, milliseconds(4000));
  EXPECT_EQ(service->regions, (std::vector<std::string>{"central", "north"}));
  EXPECT_EQ(service->objective, 0.995);
  EXPECT_EQ(service->objective_latency, milliseconds(200));
  ASSERT_EQ(service->routes.size(), 1U);
  EXPECT_EQ(service->routes[0].method, "POST");
  EXPECT_EQ(service->routes[0].prefix, "/media/sets");
  EXPECT_TRUE(service->routes[0].is_long);
  EXPECT_TRUE(service->routes[0].is_protected);
  EXPECT_EQ(service->routes[0].time_limit, milliseconds(60000));
}

// Guards against reporting only one error at a time, and against errors without file, line and
// key.
TEST(ParseDocument, ReportsAllErrorsAtOnceInOrderOfLines) {
  const std::vector<std::string> errors = Errors(R"(format = 2
name = "Bad Name"
colour = "red"
[[service]]
name = "media"
deadline_ms = 0
slots = "six"
connections = 260
long_share = nan
[[service.route]]
prefix = "/scoring"
class = "slow"
[[service]]
name = "media"
deadline_ms = 900
slots = 6
)");
  ASSERT_EQ(errors.size(), 10U);
  EXPECT_EQ(errors[0], "test.toml:1: format: found 2; allowed: the integer 1");
  EXPECT_TRUE(errors[1].starts_with("test.toml:2: name: found \"Bad Name\"; allowed: 1 to 63"));
  EXPECT_EQ(errors[2],
            "test.toml:3: colour: found an unknown key; allowed: one of format, name, "
            "measuring, service");
  EXPECT_EQ(errors[3],
            "test.toml:6: service[0].deadline_ms: found 0; allowed: an integer from 1 to "
            "86400000");
  EXPECT_EQ(
      errors[4],
      "test.toml:7: service[0].slots: found \"six\"; allowed: an integer from 1 to 10000");
  EXPECT_EQ(errors[5],
            "test.toml:9: service[0].long_share: found nan; allowed: a number from 0 to 1");
  EXPECT_TRUE(errors[6].starts_with("test.toml:11: service[0].route[0].prefix: found"));
  EXPECT_EQ(errors[7],
            "test.toml:12: service[0].route[0].class: found \"slow\"; allowed: \"short\" or "
            "\"long\"");
  EXPECT_EQ(errors[8],
            "test.toml:13: service[1].connections: found nothing; allowed: an integer from 1 "
            "to 100000");
  EXPECT_TRUE(errors[9].starts_with("test.toml:14: service[1].name: found \"media\" again"));
}

// Guards against accepting routes that can never match or that are ambiguous.
TEST(ParseDocument, RefusesRoutesThatNeverMatchOrRepeat) {
  for (const std::string prefix : {"/mediation", "media", "/media//sets", "/media/../scoring",
                                   "/media/a%20b", "/media?x=1", "/media/./sets", "/"}) {
    EXPECT_EQ(Errors(WithRoute("prefix = \"" + prefix + "\"\n")).size(), 1U) << prefix;
  }
  EXPECT_EQ(
      Errors(WithRoute("prefix = \"/media\"\n[[service.route]]\nprefix = \"/media\"\n")).size(),
      1U);
  EXPECT_EQ(Errors(WithRoute("prefix = \"/media\"\nmethod = \"get\"\n")).size(), 1U);
  EXPECT_EQ(Errors(WithRoute("prefix = \"/media\"\nprotected = \"yes\"\n")).size(), 1U);
}

// Guards against a crash or a missing error for input that is not a document.
TEST(ParseDocument, RefusesMalformedInput) {
  for (const std::string text :
       {"", "format = ", "service = 3", "[[service]]", "\xff\xfe", "service = [1]\n",
        "measuring = 1\n", "format = 1\nformat = 1\n", "service = []\n"}) {
    EXPECT_FALSE(Errors(text).empty()) << text;
  }
  const std::vector<std::string> errors = Errors("format = 1\nname = \n");
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_TRUE(errors[0].starts_with("test.toml:2: found ")) << errors[0];
  EXPECT_EQ(Errors(std::string(kMaxDocumentBytes + 1, '#')).size(), 1U);
}

// Guards against a crash, a refusal without an error, or an error without a line for damaged
// documents.
TEST(ParseDocumentProperty, DamagedDocumentsGiveADocumentOrErrors) {
  EXPECT_TRUE(rc::check([] {
    std::string text = WithRoute("method = \"POST\"\nprefix = \"/media\"\nprotected = true\n");
    const int edits = *rc::gen::inRange(1, 6);
    for (int edit = 0; edit < edits; ++edit) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto size = *rc::gen::inRange<std::size_t>(0, 8);
      text.replace(at, size, *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
      if (text.empty()) text = "x";
    }
    const parse_result result = ParseDocument(text, "damaged.toml");
    RC_ASSERT(result.value.has_value() == result.errors.empty());
    for (const document_error& error : result.errors) {
      RC_ASSERT(error.line >= 1U);
      RC_ASSERT(DescribeError(error).find('\n') == std::string::npos);
    }
  }));
}

// Guards against accepting fewer connections than slots: some slots could then never be used.
TEST(ParseDocument, RefusesFewerConnectionsThanSlots) {
  std::string text = SampleDocument(1);
  text.replace(text.find("260"), 3, "5");
  const std::vector<std::string> errors = Errors(text);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_TRUE(errors[0].ends_with("found 5; allowed: at least the number of slots (6)"));
}

// Guards against examples that the parser no longer accepts.
TEST(ParseDocument, AcceptsTheExamples) {
  for (const std::string name : {"gelo.toml", "siam.toml"}) {
    std::ifstream file(std::string(BRONZEROUTE_SOURCE) + "/examples/" + name);
    std::stringstream text;
    text << file.rdbuf();
    EXPECT_EQ(Errors(text.str()), std::vector<std::string>{}) << name;
    EXPECT_EQ(ParseDocument(text.str(), name).value->services.size(), 3U);
  }
}

}  // namespace
}  // namespace bronzeroute
