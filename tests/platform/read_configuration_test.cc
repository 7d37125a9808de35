#include "platform/read_configuration.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "src/base/credential_digest.h"
#include "src/configuration/document.h"
#include "src/configuration/document_error.h"
#include "src/configuration/substitution.h"

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

std::string ReplacedIn(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

std::string Changed(const std::string& from, const std::string& to) {
  return ReplacedIn(Example(), from, to);
}

// Guards against a field of the document that is lost or mistaken for another one.
TEST(ReadConfiguration, ReadsEveryFieldOfTheExample) {
  const parse_result result = ReadConfiguration(Example());
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->substitutions, 0U);
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

// Guards against a damaged text that takes effect in part or terminates the process.
TEST(ReadConfiguration, RefusesOnlyWhatIsNoDocument) {
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("[]"), std::string("null"),
        std::string("\"r7\""), std::string("{}"), Example().substr(0, 400),
        Changed("\"r7\"", "7"), Changed("\"r7\"", "\"r7x\""), Changed("\"r7\"", "\"r-7\""),
        Changed("\"r7\"", "\"r\""), Changed("\"r7\"", "\"r+7\""), Changed("\"r7\"", "\"r 7\""),
        Changed("\"r7\"", "\"7\""), Changed("\"r7\"", "null"),
        Changed("\"r7\"", "\"r99999999999999999999\""), Changed("\"version\":\"r7\",", "")}) {
    const parse_result result = ReadConfiguration(text);
    EXPECT_FALSE(result.value) << text;
    ASSERT_EQ(result.errors.size(), 1U) << text;
    EXPECT_FALSE(result.errors[0].found.empty()) << text;
    EXPECT_FALSE(result.errors[0].allowed.empty()) << text;
  }
}

// The route of the example that begins with /lepu270/ after `from` was replaced by `to`.
host_route ChangedRoute(const std::string& from, const std::string& to) {
  const parse_result result = ReadConfiguration(Changed(from, to));
  EXPECT_TRUE(result.value) << to;
  if (!result.value) return {};
  EXPECT_EQ(result.value->substitutions, 1U) << to;
  const host_route* const route = result.value->FindHostRoute("jepu9.example", "/lepu270/");
  EXPECT_NE(route, nullptr) << to;
  return route == nullptr ? host_route() : *route;
}

// Each guards against a version that is in effect nowhere for one value, so that withdrawn
// routes and keys stay in use, and against a substitute that allows more than the version.
TEST(ReadConfiguration, KindThatIsNoTextIsProtected) {
  for (const char* kind : {"5", "null", "[]", "\"Safe\"", "\"\""}) {
    EXPECT_TRUE(ChangedRoute("\"safe\"", kind).is_protected) << kind;
  }
  EXPECT_TRUE(ChangedRoute("\"routeType\":\"safe\",", "").is_protected);
}

TEST(ReadConfiguration, NumbersOutOfRangeAreReplacedByTheNearest) {
  EXPECT_EQ(ChangedRoute("\"priority\":2", "\"priority\":-2").priority, 0U);
  EXPECT_EQ(ChangedRoute("\"priority\":2", "\"priority\":4294967296").priority, 4294967295U);
  EXPECT_EQ(ChangedRoute("\"priority\":2", "\"priority\":1e999").priority, 4294967295U);
  EXPECT_EQ(ChangedRoute("\"priority\":2", "\"priority\":2.5").priority, 2U);
  EXPECT_EQ(ChangedRoute("\"attempts\":2", "\"attempts\":0").max_attempts, 1U);
  EXPECT_EQ(ChangedRoute("\"attempts\":2", "\"attempts\":-1e999").max_attempts, 1U);
  EXPECT_EQ(ChangedRoute("\"attempts\":2", "\"attempts\":1e20").max_attempts, 4294967295U);
  EXPECT_EQ(ChangedRoute("\"timeoutMs\":1000", "\"timeoutMs\":1e300").time_limit,
            std::chrono::hours(365 * 24));
  EXPECT_EQ(ChangedRoute("\"timeoutMs\":1000", "\"timeoutMs\":-5").time_limit, duration(0));
}

// Times above a day are allowed, and so are fractions of a millisecond.
TEST(ReadConfiguration, LongAndFractionalTimesAreUsedAsWritten) {
  const parse_result result = ReadConfiguration(
      ReplacedIn(ReplacedIn(Changed("\"timeoutMs\":1000", "\"timeoutMs\":90000000"),
                            "\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":86400001"),
                 "\"targetLatencyMs\":250", "\"targetLatencyMs\":10.5"));
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->substitutions, 0U);
  const host_route* const route = result.value->FindHostRoute("jepu9.example", "/lepu270/");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->time_limit, std::chrono::hours(25));
  EXPECT_EQ(route->objective_latency, std::chrono::microseconds(10'500));
  EXPECT_EQ(result.value->limits.idle_time, std::chrono::milliseconds(86'400'001));
}

TEST(ReadConfiguration, NumbersOfAnotherTypeGetACautiousSubstitute) {
  for (const char* other : {"null", "\"2\"", "[2]", "{}", "true"}) {
    const std::string value = other;
    EXPECT_EQ(ChangedRoute("\"attempts\":2", "\"attempts\":" + value).max_attempts, 1U)
        << value;
    EXPECT_EQ(ChangedRoute("\"priority\":2", "\"priority\":" + value).priority, 4294967295U)
        << value;
    EXPECT_EQ(ChangedRoute("\"timeoutMs\":1000", "\"timeoutMs\":" + value).time_limit,
              std::chrono::seconds(30))
        << value;
    const host_route weighted = ChangedRoute("\"weight\":90", "\"weight\":" + value);
    ASSERT_EQ(weighted.targets.size(), 1U) << value;
    EXPECT_EQ(weighted.targets[0].service, "kafi81c") << value;
  }
  const parse_result limits = ReadConfiguration(
      ReplacedIn(ReplacedIn(Changed("\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":1e30"),
                            "\"maxBodyBytes\":67108864", "\"maxBodyBytes\":1e30"),
                 "\"maxConnections\":260", "\"maxConnections\":1e30"));
  ASSERT_TRUE(limits.value);
  EXPECT_EQ(limits.value->substitutions, 3U);
  EXPECT_EQ(limits.value->limits.head_bytes, 4294967295U);
  EXPECT_EQ(limits.value->limits.body_bytes, std::uint64_t{1} << 53);
  EXPECT_EQ(limits.value->FindService("huvo11a")->max_connections, 4294967295U);
}

// Guards against a limit that a wrong one turns into none.
TEST(ReadConfiguration, LimitsOfAnotherTypeLeaveThoseOfTheDaemon) {
  for (const char* other : {"null", "5", "[]", "\"\""}) {
    std::string text = Example();
    const std::size_t first = text.find("{\"maxHeaderBytes\"");
    text.replace(first, text.find('}') + 1 - first, other);
    const parse_result result = ReadConfiguration(text);
    ASSERT_TRUE(result.value) << other;
    EXPECT_EQ(result.value->limits, caller_limits()) << other;
    EXPECT_EQ(result.value->substitutions, 1U) << other;
  }
}

TEST(ReadConfiguration, ShareWithoutAServiceIsRefusedAndTheOthersServed) {
  for (const char* name : {"\"kafi81d\"", "\"\"", "null", "7"}) {
    const host_route route =
        ChangedRoute("\"service\":\"kafi81c\"", std::string("\"service\":") + name);
    ASSERT_EQ(route.targets.size(), 2U) << name;
    EXPECT_EQ(route.targets[0].service, "huvo11a") << name;
    EXPECT_EQ(route.targets[0].weight, 90) << name;
    EXPECT_EQ(route.targets[1].service, "") << name;
    EXPECT_EQ(route.targets[1].weight, 10) << name;
  }
  const host_route none = ChangedRoute("\"weight\":90},{\"service\":\"kafi81c\",\"weight\":10}",
                                       "\"weight\":0},{\"service\":\"kafi81c\",\"weight\":0}");
  ASSERT_EQ(none.targets.size(), 1U);
  EXPECT_EQ(none.targets[0].service, "");
}

TEST(ReadConfiguration, PrefixLacksItsSlashes) {
  EXPECT_EQ(ChangedRoute("\"/lepu270/\"", "\"lepu270/\"").prefix, "/lepu270/");
  EXPECT_EQ(ChangedRoute("\"/lepu270/\"", "\"/lepu270\"").prefix, "/lepu270/");
  for (const char* other : {"\"\"", "null", "7", "[]"}) {
    const parse_result result = ReadConfiguration(Changed("\"/lepu270/\"", other));
    ASSERT_TRUE(result.value) << other;
    EXPECT_EQ(result.value->substitutions, 1U) << other;
    EXPECT_EQ(result.value->FindHostRoute("jepu9.example", "/lepu270/"), nullptr) << other;
    EXPECT_NE(result.value->FindHostRoute("hulo84.example", "/xapu221/ny95/"), nullptr)
        << other;
  }
}

// Guards against a route that falls to a rule that stands before it and lacks a '/'.
TEST(ReadConfiguration, PrefixAsWrittenGoesBeforeACompletedOne) {
  const std::string first = R"({"routeType":"safe","targetLatencyMs":1,"priority":0,
      "match":{"pathPrefix":"/lepu270"},"action":{"service":"wuno96b","timeoutMs":7,
      "attempts":1}},)";
  const parse_result result =
      ReadConfiguration(Changed("\"routeRules\":[", "\"routeRules\":[" + first));
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->substitutions, 2U);
  const host_route* const route = result.value->FindHostRoute("jepu9.example", "/lepu270/");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->time_limit, std::chrono::seconds(1));
}

// Guards against a substitution that does not say where the document is wrong.
TEST(ReadConfiguration, SubstitutionNamesPlaceValueWhatIsAllowedAndWhatIsUsed) {
  const parse_result text = ReadConfiguration(Changed("\"attempts\":2", "\"attempts\":\"2\""));
  ASSERT_TRUE(text.value);
  ASSERT_EQ(text.value->listed_substitutions.size(), 1U);
  EXPECT_EQ(
      DescribeSubstitution(text.value->listed_substitutions[0]),
      "configuration: listeners[0].routeRules[0].action.attempts: found \"2\"; allowed: a "
      "whole number from 1 to 4294967295; used: 1");
  const parse_result missing = ReadConfiguration(Changed("\"maxHeaderBytes\":16384,", ""));
  ASSERT_TRUE(missing.value);
  ASSERT_EQ(missing.value->listed_substitutions.size(), 1U);
  EXPECT_EQ(missing.value->listed_substitutions[0].error.key, "limits.maxHeaderBytes");
  EXPECT_EQ(missing.value->listed_substitutions[0].error.found, "nothing");
}

// Guards against a list that grows with the document.
TEST(ReadConfiguration, ListsOnlySoManySubstitutionsAndCountsAll) {
  std::string text = Example();
  for (int i = 0; i < 3; ++i) text = ReplacedIn(text, "\"maxConnections\":2", "\"none\":2");
  const parse_result result = ReadConfiguration(text, 2);
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->substitutions, 3U);
  EXPECT_EQ(result.value->listed_substitutions.size(), 2U);
}

// Guards against downloads that are not repeated although they may be.
TEST(ReadConfiguration, DownloadsAreNotProtected) {
  const parse_result result = ReadConfiguration(Changed("\"safe\"", "\"download\""));
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->substitutions, 0U);
  EXPECT_FALSE(result.value->FindHostRoute("jepu9.example", "/lepu270/")->is_protected);
}

// Guards against a document of a later platform that leaves the whole deployment without a
// configuration, and against requests of an unknown kind that are repeated.
TEST(ReadConfiguration, UnknownKindOfRouteIsProtectedAndReported) {
  const parse_result result = ReadConfiguration(Changed("\"safe\"", "\"odd\""));
  ASSERT_TRUE(result.value);
  EXPECT_TRUE(result.value->FindHostRoute("jepu9.example", "/lepu270/")->is_protected);
  ASSERT_EQ(result.value->listed_substitutions.size(), 1U);
  EXPECT_EQ(result.value->listed_substitutions[0].error.key,
            "listeners[0].routeRules[0].routeType");
  EXPECT_EQ(result.value->listed_substitutions[0].error.found, "\"odd\"");
}

// Guards against a document that ends the process: a number too large for the parser, which it
// reports in another way than malformed text, a value nested more deeply than the stack allows,
// and an escape of half a character.
TEST(ReadConfiguration, ExtremeValuesAreReplaced) {
  constexpr std::size_t kDepth = 1'000'000;
  const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
  EXPECT_EQ(ChangedRoute("\"priority\":2", "\"priority\":" + nested).priority, 4294967295U);
  const std::string digits(400, '9');
  EXPECT_EQ(ChangedRoute("\"attempts\":2", "\"attempts\":" + digits).max_attempts, 4294967295U);
  EXPECT_EQ(ChangedRoute("\"attempts\":2", "\"attempts\":-" + digits).max_attempts, 1U);
  for (const char* half : {"\\ud800", "\\udfff\\ud800", "\\ud800x", "\\\\\\ud83d"}) {
    const parse_result result =
        ReadConfiguration(Changed("\"r-1\"", std::string("\"") + half + "\""));
    EXPECT_TRUE(result.value) << half;
  }
  EXPECT_FALSE(ReadConfiguration(Changed("\"r-1\"", "\"\\u12\"")).value);
  EXPECT_FALSE(ReadConfiguration(Changed("\"r-1\"", "\"\\")).value);
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

// Guards against a field of an account, a home region or a cold limit that is lost.
TEST(ReadConfiguration, ReadsAccountsRegionsAndColdLimits) {
  const parse_result result = ReadConfiguration(ExampleWithAccounts());
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->substitutions, 0U);
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
// against keys in log lines, which quote the substitutions of a document.
TEST(ReadConfiguration, SharedKeyBelongsToNoAccountAndIsNotQuoted) {
  const parse_result result =
      ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "third-key", "first-key"));
  ASSERT_TRUE(result.value);
  EXPECT_EQ(result.value->FindAccount(DigestCredential("first-key")), nullptr);
  EXPECT_TRUE(result.value->IsRefused(DigestCredential("first-key")));
  EXPECT_NE(result.value->FindAccount(DigestCredential("second-key")), nullptr);
  EXPECT_FALSE(result.value->IsRefused(DigestCredential("second-key")));
  EXPECT_FALSE(result.value->IsRefused(DigestCredential("third-key")));
  ASSERT_EQ(result.value->listed_substitutions.size(), 1U);
  EXPECT_EQ(DescribeSubstitution(result.value->listed_substitutions[0]),
            "configuration: tenants[1].apiKeys[0]: found a key of another account as well; "
            "allowed: a key of one account only; used: no account, requests with this key are "
            "refused with 503");
}

// Guards against a key in an error or a substitution, wherever in the accounts it stands.
TEST(ReadConfiguration, KeysAreNeverQuoted) {
  const std::string text = ExampleWithAccounts();
  for (const std::string& changed :
       {ReplacedIn(text, "\"third-key\"", "[\"third-key\"]"),
        ReplacedIn(text, "[\"third-key\"]", "\"third-key\""),
        ReplacedIn(text, "\"third-key\"", "\"third-key\\n\""),
        ReplacedIn(text, "235.5", "\"third-key\""),
        ReplacedIn(text, "\"kesu12\"", "\"third-key \""),
        ReplacedIn(text, "[\"north\"]", "\"third-key\""),
        ReplacedIn(text, "{\"name\":\"pulo780\"", "\"third-key\",{\"name\":\"pulo780\"")}) {
    const parse_result result = ReadConfiguration(changed);
    ASSERT_TRUE(result.value) << changed;
    EXPECT_GT(result.value->substitutions, 0U) << changed;
    for (const substitution& each : result.value->listed_substitutions) {
      EXPECT_EQ(DescribeSubstitution(each).find("-key"), std::string::npos) << changed;
    }
  }
  const parse_result damaged = ReadConfiguration(text.substr(0, text.find("second-key") + 4));
  ASSERT_EQ(damaged.errors.size(), 1U);
  EXPECT_EQ(DescribeError(damaged.errors[0]).find("seco"), std::string::npos);
}

// Guards against an account that gets rid of its cap by a wrong value, and against one that is
// served by the looser of two caps.
TEST(ReadConfiguration, CapThatCannotBeReadIsACautiousOne) {
  for (const char* rate : {"-1", "null", "\"235\"", "[]", "-1e999"}) {
    const parse_result result =
        ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "235.5", rate));
    ASSERT_TRUE(result.value) << rate;
    EXPECT_EQ(result.value->FindAccountByName("pulo780")->rate_per_s, 1) << rate;
    EXPECT_EQ(result.value->FindAccountByName("pulo780")->burst, 20) << rate;
  }
  for (const char* burst : {"-1", "null", "\"20\""}) {
    const parse_result result = ReadConfiguration(
        ReplacedIn(ExampleWithAccounts(), "\"burst\":20", std::string("\"burst\":") + burst));
    ASSERT_TRUE(result.value) << burst;
    EXPECT_EQ(result.value->FindAccountByName("pulo780")->burst, 0) << burst;
  }
  const parse_result high =
      ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "235.5", "1e9"));
  ASSERT_TRUE(high.value);
  EXPECT_EQ(high.value->FindAccountByName("pulo780")->rate_per_s, 1e7);
  const parse_result named_twice =
      ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "kesu12", "pulo780"));
  ASSERT_TRUE(named_twice.value);
  EXPECT_EQ(named_twice.value->accounts.size(), 1U);
  const account_spec* const both =
      named_twice.value->FindAccount(DigestCredential("third-key"));
  ASSERT_NE(both, nullptr);
  EXPECT_EQ(both, named_twice.value->FindAccount(DigestCredential("first-key")));
  EXPECT_EQ(both->rate_per_s, 235.5);
  EXPECT_FALSE(both->regions.Allows("south"));
}

// Guards against the key of the last account, which was served after its withdrawal.
TEST(ReadConfiguration, ListOfAccountsWithoutOneKnowsNoKey) {
  std::string text = ExampleWithAccounts();
  const std::size_t first = text.find("\"tenants\":") + 10;
  const std::size_t size = text.find(",\"baseVersion\"") - first;
  for (const char* none : {"[]", "null", "{}", "5", "\"\""}) {
    const parse_result result = ReadConfiguration(std::string(text).replace(first, size, none));
    ASSERT_TRUE(result.value) << none;
    EXPECT_TRUE(result.value->HasAccounts()) << none;
    EXPECT_TRUE(result.value->accounts.empty()) << none;
    EXPECT_EQ(result.value->substitutions, std::string(none) == "[]" ? 0U : 1U) << none;
  }
  EXPECT_FALSE(ReadConfiguration(Example()).value->HasAccounts());
}

// Each guards against a version that is in effect nowhere, so that withdrawn keys stay in use,
// though the users' pages allow the value.
TEST(ReadConfiguration, NamesOfAccountsMayBeAnyTextThatAFieldCarries) {
  for (const std::string name : {"Gelo Nordeste", "a\\tb", "São João", "\\u00e9t\\u00e9", "氷",
                                 "\\\"quoted\\\"", "a:b;c,d"}) {
    const parse_result result =
        ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "kesu12", name));
    ASSERT_TRUE(result.value) << name;
    EXPECT_EQ(result.value->substitutions, 0U) << name;
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
    EXPECT_TRUE(result.value->IsRefused(DigestCredential("third-key"))) << name;
    ASSERT_EQ(result.value->listed_substitutions.size(), 1U) << name;
    EXPECT_EQ(result.value->listed_substitutions[0].error.key, "tenants[1].name");
    EXPECT_EQ(DescribeSubstitution(result.value->listed_substitutions[0]).find("-key"),
              std::string::npos);
  }
}

TEST(ReadConfiguration, NumbersMayHaveAnyForm) {
  const parse_result split = ReadConfiguration(Changed("\"weight\":90", "\"weight\":0.9"));
  ASSERT_TRUE(split.value);
  EXPECT_EQ(split.value->substitutions, 0U);
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
    const parse_result result =
        ReadConfiguration(Changed("\"priority\":2", "\"priority\":" + form));
    ASSERT_TRUE(result.value) << form;
    EXPECT_EQ(result.value->substitutions, 1U) << form;
  }
}

// Guards against an error that lets work leave its regions, and against one that makes the rest
// of the document useless.
TEST(ReadConfiguration, InvalidRegionsAllowNoneAndAreReported) {
  for (const char* invalid : {"\"north\"", "[5]", "[\"\"]", "{}"}) {
    const parse_result result =
        ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "[\"north\",\"south\"]", invalid));
    ASSERT_TRUE(result.value) << invalid;
    EXPECT_EQ(result.value->substitutions, 1U) << invalid;
    const host_route* const upload =
        result.value->FindHostRoute("hulo84.example", "/xapu221/ny95/");
    ASSERT_NE(upload, nullptr);
    EXPECT_TRUE(upload->regions.is_limited());
    EXPECT_FALSE(upload->regions.Allows("north"));
  }
  // The names that can be read still hold.
  const parse_result part =
      ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "\"south\"]", "5]"));
  ASSERT_TRUE(part.value);
  const host_route* const upload =
      part.value->FindHostRoute("hulo84.example", "/xapu221/ny95/");
  ASSERT_NE(upload, nullptr);
  EXPECT_TRUE(upload->regions.Allows("north"));
  EXPECT_FALSE(upload->regions.Allows("south"));
  const parse_result cold = ReadConfiguration(ReplacedIn(ExampleWithAccounts(), "7.5", "-7.5"));
  ASSERT_TRUE(cold.value);
  EXPECT_EQ(cold.value->substitutions, 1U);
  EXPECT_EQ(cold.value->FindService("huvo11a")->cold_rate_per_s, 1);
}

TEST(ReadConfiguration, UnknownMembersAreIgnored) {
  EXPECT_TRUE(ReadConfiguration(Changed("\"priority\":2", "\"priority\":2,\"new\":{}")).value);
}

}  // namespace
}  // namespace bronzeroute::platform
