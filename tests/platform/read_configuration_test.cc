#include "platform/read_configuration.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "src/configuration/document.h"

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
  const auto read = ReadConfiguration(Example());
  ASSERT_NE(read, nullptr);
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

// Guards against a damaged document that partly takes effect or terminates the process.
TEST(ReadConfiguration, RejectsInvalidDocuments) {
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("[]"), Example().substr(0, 400),
        Changed("\"r7\"", "7"), Changed("\"r7\"", "\"r7x\""), Changed("\"r7\"", "\"r-7\""),
        Changed("\"safe\"", "\"odd\""), Changed("\"/lepu270/\"", "\"lepu270/\""),
        Changed("\"/lepu270/\"", "\"/lepu270\""),
        Changed("\"attempts\":2", "\"attempts\":\"2\""),
        Changed("\"service\":\"wuno96b\"", "\"service\":\"unknown\""),
        Changed("\"maxHeaderBytes\":16384,", "")}) {
    EXPECT_EQ(ReadConfiguration(text), nullptr) << text;
  }
}

}  // namespace
}  // namespace bronzeroute::platform
