// Measures what reading a configuration of the users' platform costs: time for each document
// and memory kept. tools/compare_document_cost.sh runs two builds of this program by turns.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/read_configuration.h"
#include "src/base/concat.h"

namespace {

using bronzeroute::Concat;
using nlohmann::json;

constexpr int kServices = 43;
constexpr int kRoutes = 500;
constexpr int kAccounts = 1'000;
constexpr int kRoutesPerHost = 10;
constexpr int kReads = 60;

std::string Document() {
  json clusters = json::array();
  for (int i = 0; i < kServices; ++i) {
    clusters.push_back({{"name", Concat("service-", i)},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 860},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"coldStartS", 3.0},
                        {"coldPerS", 14.0}});
  }
  json listeners = json::array();
  for (int i = 0; i < kRoutes; ++i) {
    if (i % kRoutesPerHost == 0) {
      listeners.push_back(
          {{"host", Concat("host-", i, ".example")}, {"routeRules", json::array()}});
    }
    const std::string service = Concat("service-", i % kServices);
    listeners.back()["routeRules"].push_back(
        {{"name", Concat("r-", i)},
         {"routeType", i % 2 == 0 ? "safe" : "unsafe"},
         {"targetLatencyMs", 500},
         {"priority", 1},
         {"authExempt", false},
         {"match", {{"pathPrefix", Concat("/path-", i, "/part/")}}},
         {"action",
          {{"service", service},
           {"timeoutMs", 1200},
           {"attempts", 2},
           {"allowedRegions", json::array()}}}});
  }
  json accounts = json::array();
  for (int i = 0; i < kAccounts; ++i) {
    accounts.push_back({{"name", Concat("account-", i)},
                        {"apiKeys", {Concat("key-of-account-", i), Concat("other-key-", i)}},
                        {"priority", 1},
                        {"ratePerS", 235},
                        {"burst", 235},
                        {"allowedRegions", json::array()}});
  }
  const json document = {{"version", "r7"},
                         {"limits",
                          {{"maxHeaderBytes", 16384},
                           {"maxBodyBytes", 67108864},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}}},
                         {"listeners", std::move(listeners)},
                         {"clusters", std::move(clusters)},
                         {"tenants", std::move(accounts)}};
  return document.dump();
}

}  // namespace

int main() {
  const std::string text = Document();
  std::vector<double> milliseconds;
  for (int i = 0; i < kReads; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const auto result = bronzeroute::platform::ReadConfiguration(text);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - start;
    if (!result.value) return EXIT_FAILURE;
    milliseconds.push_back(took.count());
  }
  std::ranges::sort(milliseconds);
  const std::size_t before = mallinfo2().uordblks;
  const auto kept = bronzeroute::platform::ReadConfiguration(text);
  const std::size_t after = mallinfo2().uordblks;
  std::printf("%.3f ms %zu bytes kept, document of %zu bytes\n",
              milliseconds[milliseconds.size() / 2], after - before, text.size());
  return kept.value ? EXIT_SUCCESS : EXIT_FAILURE;
}
