#include "platform/read_configuration.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "src/base/credential_digest.h"
#include "src/configuration/document.h"
#include "src/configuration/document_error.h"

namespace bronzeroute::platform {
namespace {

// The users' example of a configuration document.
std::string Example() {
  return R"({"version":"r7","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
    "headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":"r5","listeners":[
    {"host":"Jepu9.example","routeRules":[{"name":"r-1","routeType":"safe",
    "targetLatencyMs":250,"priority":2,"match":{"pathPrefix":"/lepu270/"},"action":
    {"weightedClusters":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}],
    "timeoutMs":1000,"attempts":2}}]},{"host":"hulo84.example","routeRules":[{"name":"r-2",
    "routeType":"upload","targetLatencyMs":300,"priority":1,"match":
    {"pathPrefix":"/xapu221/ny95/"},"action":{"service":"wuno96b","timeoutMs":1200,
    "attempts":1}}]}],"clusters":[{"name":"huvo11a","healthPath":"/healthz",
    "maxConnections":260,"protocol":"h1","tls":false},{"name":"kafi81c","healthPath":"/healthz",
    "maxConnections":260,"protocol":"h1","tls":false},{"name":"wuno96b","healthPath":"/healthz",
    "maxConnections":200,"protocol":"h1","tls":false}]})";
}

std::string Changed(const std::string& from, const std::string& to) {
  std::string text = Example();
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Guards against a field of the document that is lost or mistaken for another one.
TEST(ReadConfiguration, ReadsEveryFieldOfTheExample) {
  const parse_result result = ReadConfiguration(Example());
  ASSERT_TRUE(result.value);
  EXPECT_TRUE(result.unknown.empty());
  const document* const read = &*result.value;
  EXPECT_EQ(read->version, 7);
  EXPECT_EQ(read->limits.head_bytes, 16384U);
  EXPECT_EQ(read->limits.body_bytes, 67108864U);
  EXPECT_EQ(read->limits.head_time, std::chrono::seconds(3));
  EXPECT_EQ(read->limits.idle_time, std::chrono::seconds(15));
  ASSERT_EQ(read->services.size(), 3U);
  EXPECT_EQ(read->FindService("wuno96b")->max_connections, 200U);
  const host_route* const split = read->FindHostRoute("jepu9.example:80", "/lepu270/2f?q=1");
  ASSERT_NE(split, nullptr);
  EXPECT_FALSE(split->is_protected);
  EXPECT_EQ(split->time_limit, std::chrono::seconds(1));
  EXPECT_EQ(split->objective_latency, std::chrono::milliseconds(250));
  EXPECT_EQ(split->max_attempts, 2U);
  EXPECT_EQ(split->priority, 2U);
  ASSERT_EQ(split->targets.size(), 2U);
  EXPECT_EQ(split->targets[1].service, "kafi81c");
  EXPECT_EQ(split->targets[1].weight, 10U);
  const host_route* const upload = read->FindHostRoute("hulo84.example", "/xapu221/ny95/x");
  ASSERT_NE(upload, nullptr);
  EXPECT_TRUE(upload->is_protected);
  EXPECT_EQ(read->FindHostRoute("hulo84.example", "/xapu221/other/"), nullptr);
}

// Guards against a version that removes all routes and leaves them in use, since the first
// segment of a path then named its service.
TEST(ReadConfiguration, DocumentWithoutRoutesRefusesAllRequests) {
  std::string text = Example();
  const std::size_t first = text.find("\"listeners\":[") + 13;
  text.erase(first, text.find("],\"clusters\"") - first);
  const parse_result result = ReadConfiguration(text);
  ASSERT_TRUE(result.value) << text;
  EXPECT_TRUE(result.value->host_routes.empty());
  EXPECT_TRUE(result.value->IsRoutedByHost());
}

// Guards against a damaged document that partly takes effect or terminates the process.
TEST(ReadConfiguration, RejectsInvalidDocuments) {
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("[]"), Example().substr(0, 400),
        Changed("\"r7\"", "7"), Changed("\"r7\"", "\"r7x\""), Changed("\"r7\"", "\"r-7\""),
        Changed("\"safe\"", "5"), Changed("\"/lepu270/\"", "\"lepu270/\""),
        Changed("\"priority\":2", "\"priority\":-2"),
        Changed("\"priority\":2", "\"priority\":4294967296"),
        Changed("\"timeoutMs\":1000", "\"timeoutMs\":10.5"),
        Changed("\"/lepu270/\"", "\"/lepu270\""),
        Changed("\"attempts\":2", "\"attempts\":\"2\""),
        Changed("\"service\":\"wuno96b\"", "\"service\":\"unknown\""),
        Changed("\"maxHeaderBytes\":16384,", "")}) {
    const parse_result result = ReadConfiguration(text);
    EXPECT_FALSE(result.value) << text;
    ASSERT_EQ(result.errors.size(), 1U) << text;
    EXPECT_FALSE(result.errors[0].found.empty()) << text;
    EXPECT_FALSE(result.errors[0].allowed.empty()) << text;
  }
}

// Guards against an error that does not say where the document is wrong.
TEST(ReadConfiguration, ErrorNamesPlaceValueAndWhatIsAllowed) {
  const parse_result text = ReadConfiguration(Changed("\"attempts\":2", "\"attempts\":\"2\""));
  ASSERT_EQ(text.errors.size(), 1U);
  EXPECT_EQ(
      DescribeError(text.errors[0]),
      "configuration: listeners[0].routeRules[0].action.attempts: found \"2\"; allowed: a "
      "whole number from 0 to 4294967295");
  const parse_result missing = ReadConfiguration(Changed("\"maxHeaderBytes\":16384,", ""));
  ASSERT_EQ(missing.errors.size(), 1U);
  EXPECT_EQ(missing.errors[0].key, "limits.maxHeaderBytes");
  EXPECT_EQ(missing.errors[0].found, "nothing");
}

// Guards against downloads that are not repeated although they may be.
TEST(ReadConfiguration, DownloadsAreNotProtected) {
  const parse_result result = ReadConfiguration(Changed("\"safe\"", "\"download\""));
  ASSERT_TRUE(result.value);
  EXPECT_TRUE(result.unknown.empty());
  EXPECT_FALSE(result.value->FindHostRoute("jepu9.example", "/lepu270/")->is_protected);
}

// Guards against a document of a later platform that leaves the whole deployment without a
// configuration, and against requests of an unknown kind that are repeated.
TEST(ReadConfiguration, UnknownKindOfRouteIsProtectedAndReported) {
  const parse_result result = ReadConfiguration(Changed("\"safe\"", "\"odd\""));
  ASSERT_TRUE(result.value);
  EXPECT_TRUE(result.value->FindHostRoute("jepu9.example", "/lepu270/")->is_protected);
  ASSERT_EQ(result.unknown.size(), 1U);
  EXPECT_EQ(result.unknown[0].key, "listeners[0].routeRules[0].routeType");
  EXPECT_EQ(result.unknown[0].found, "\"odd\"");
}

// Guards against a document that ends the process: a number too large for the parser, which it
// reports in another way than malformed text, and a value nested more deeply than the stack
// allows.
TEST(ReadConfiguration, ExtremeValuesAreErrors) {
  const parse_result overflow =
      ReadConfiguration(Changed("\"priority\":2", "\"priority\":1e999"));
  EXPECT_FALSE(overflow.value);
  EXPECT_EQ(overflow.errors.size(), 1U);
  constexpr std::size_t kDepth = 1'000'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  const parse_result deep =
      ReadConfiguration(Changed("\"priority\":2", "\"priority\":" + nested));
  EXPECT_FALSE(deep.value);
  ASSERT_EQ(deep.errors.size(), 1U);
  EXPECT_EQ(deep.errors[0].key, "listeners[0].routeRules[0].priority");
}

// The example with accounts, home regions and cold limits.
std::string ExampleWithAccounts() {
  std::string text =
      Changed("\"baseVersion\"",
              R"("tenants":[{"name":"pulo780","apiKeys":["first-key","second-key"],"priority":1,
    "ratePerS":235.5,"burst":20,"allowedRegions":["north"]},{"name":"kesu12",
    "apiKeys":["third-key"],"allowedRegions":[]}],"baseVersion")");
  const auto replace = [&text](const std::string& from, const std::string& to) {
    const std::size_t at = text.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
  };
  replace("\"attempts\":1", "\"attempts\":1,\"allowedRegions\":[\"north\",\"south\"]");
  replace("\"routeType\":\"upload\"", "\"routeType\":\"upload\",\"authExempt\":true");
  replace("\"tls\":false", "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":7.5");
  return text;
}

std::string ReplacedIn(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Guards against a field of an account, a home region or a cold limit that is lost.
TEST(ReadConfiguration, ReadsAccountsRegionsAndColdLimits) {
  const parse_result result = ReadConfiguration(ExampleWithAccounts());
  ASSERT_TRUE(result.value);
  EXPECT_TRUE(result.unknown.empty());
  const document& read = *result.value;
  const account_spec* const account = read.FindAccount(DigestCredential("second-key"));
  ASSERT_NE(account, nullptr);
  EXPECT_EQ(account->name, "pulo780");
  EXPECT_EQ(account->priority, 1U);
  EXPECT_EQ(account->rate_per_s, 235.5);
  EXPECT_EQ(account->burst, 20);
  EXPECT_TRUE(account->regions.Allows("north"));
  EXPECT_FALSE(account->regions.Allows("south"));
  const account_spec* const other = read.FindAccountByName("kesu12");
  ASSERT_NE(other, nullptr);
  EXPECT_FALSE(other->is_capped());
  EXPECT_FALSE(other->regions.is_limited());
  EXPECT_EQ(read.FindAccount(DigestCredential("fourth-key")), nullptr);
  const host_route* const upload = read.FindHostRoute("hulo84.example", "/xapu221/ny95/x");
  ASSERT_NE(upload, nullptr);
  EXPECT_TRUE(upload->needs_no_account);
  EXPECT_TRUE(upload->regions.Allows("south"));
  EXPECT_FALSE(upload->regions.Allows("west"));
  EXPECT_FALSE(read.FindHostRoute("jepu9.example", "/lepu270/")->needs_no_account);
  EXPECT_EQ(read.FindService("huvo11a")->cold_rate_per_s, 7.5);
  EXPECT_EQ(read.FindService("huvo11a")->cold_time, std::chrono::seconds(3));
  EXPECT_EQ(read.FindService("wuno96b")->cold_rate_per_s, 0);
}

// Guards against a key that two accounts hold, so that requests run for the wrong one, and
// against keys in log lines, which quote the errors of a document.
TEST(ReadConfiguration, RefusesSharedKeysWithoutQuotingThem) {
  const std::string text = ExampleWithAccounts();
  for (const std::string& changed :
       {ReplacedIn(text, "third-key", "first-key"), ReplacedIn(text, "kesu12", "pulo780"),
        ReplacedIn(text, "\"third-key\"", "\"\""), ReplacedIn(text, "\"third-key\"", "[5]"),
        ReplacedIn(text, "235.5", "-1"), text.substr(0, text.find("second-key") + 4)}) {
    const parse_result result = ReadConfiguration(changed);
    EXPECT_FALSE(result.value) << changed;
    ASSERT_EQ(result.errors.size(), 1U) << changed;
    EXPECT_EQ(DescribeError(result.errors[0]).find("-key\""), std::string::npos);
    EXPECT_EQ(DescribeError(result.errors[0]).find("seco"), std::string::npos);
  }
  const parse_result shared = ReadConfiguration(ReplacedIn(text, "third-key", "first-key"));
  ASSERT_EQ(shared.errors.size(), 1U);
  EXPECT_EQ(DescribeError(shared.errors[0]),
            "configuration: tenants[1].apiKeys[0]: found a key that tenants[0] also holds; "
            "allowed: a key of one account only");
}

// Each guards against a version that is in effect nowhere, so that withdrawn keys stay in use,
// though the users' pages allow the value.
TEST(ReadConfiguration, NamesOfAccountsMayBeAnyTextThatAFieldCarries) {
  for (const std::string name : {"Gelo Nordeste", "a\\tb", "São João", "\\u00e9t\\u00e9", "氷",
                                 "\\\"quoted\\\"", "a:b;c,d"}) {
    const parse_result result =
        ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "kesu12", name));
    ASSERT_TRUE(result.value) << name;
    EXPECT_TRUE(result.unknown.empty()) << name;
    EXPECT_NE(result.value->FindAccount(DigestCredential("third-key")), nullptr) << name;
  }
}

TEST(ReadConfiguration, AccountWhoseNameNoFieldCanCarryIsLeftOutAndReported) {
  for (const std::string name :
       {"", " a", "a ", "\\ta", "a\\r\\nb: c", "a\\u0000b", "a\\u007f"}) {
    const parse_result result =
        ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "kesu12", name));
    ASSERT_TRUE(result.value) << name;
    EXPECT_EQ(result.value->FindAccount(DigestCredential("third-key")), nullptr) << name;
    EXPECT_NE(result.value->FindAccount(DigestCredential("first-key")), nullptr) << name;
    ASSERT_EQ(result.unknown.size(), 1U) << name;
    EXPECT_EQ(result.unknown[0].key, "tenants[1].name");
    EXPECT_EQ(DescribeError(result.unknown[0]).find("-key"), std::string::npos);
  }
}

TEST(ReadConfiguration, NumbersMayHaveAnyForm) {
  const parse_result split = ReadConfiguration(Changed("\"weight\":90", "\"weight\":0.9"));
  ASSERT_TRUE(split.value);
  EXPECT_TRUE(split.unknown.empty());
  const host_route* const route = split.value->FindHostRoute("jepu9.example", "/lepu270/");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->targets[0].weight, 0.9);
  for (const std::string form : {"2.0", "2e0", "0.2e1", "20E-1"}) {
    const parse_result result =
        ReadConfiguration(Changed("\"priority\":2", "\"priority\":" + form));
    ASSERT_TRUE(result.value) << form;
    EXPECT_EQ(result.value->FindHostRoute("jepu9.example", "/lepu270/")->priority, 2U);
  }
  for (const std::string form : {"2.5", "-2.0", "4294967296.0", "1e300", "true", "\"2\""}) {
    EXPECT_FALSE(ReadConfiguration(Changed("\"priority\":2", "\"priority\":" + form)).value)
        << form;
  }
}

// Guards against an error that lets work leave its regions, and against one that makes the rest
// of the document useless.
TEST(ReadConfiguration, InvalidRegionsAllowNoneAndAreReported) {
  for (const char* invalid : {"\"north\"", "[5]", "[\"\"]", "{}"}) {
    const parse_result result =
        ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "[\"north\",\"south\"]", invalid));
    ASSERT_TRUE(result.value) << invalid;
    EXPECT_EQ(result.unknown.size(), 1U) << invalid;
    const host_route* const upload =
        result.value->FindHostRoute("hulo84.example", "/xapu221/ny95/");
    ASSERT_NE(upload, nullptr);
    EXPECT_TRUE(upload->regions.is_limited());
    EXPECT_FALSE(upload->regions.Allows("north"));
  }
  const parse_result cold = ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "7.5", "-7.5"));
  ASSERT_TRUE(cold.value);
  EXPECT_EQ(cold.unknown.size(), 1U);
  EXPECT_EQ(cold.value->FindService("huvo11a")->cold_rate_per_s, 1);
}

TEST(ReadConfiguration, UnknownMembersAreIgnored) {
  EXPECT_TRUE(ReadConfiguration(Changed("\"priority\":2", "\"priority\":2,\"new\":{}")).value);
}

}  // namespace
}  // namespace bronzeroute::platform
