#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "src/base/credential_digest.h"
#include "src/configuration/document.h"
#include "src/configuration/parse_result.h"

namespace bronzeroute::tests {

/// Reads documents of the form "VERSION NAME:KEY NAME:KEY ...", with the service "orders" at
/// the paths /orders/ and, without the need of an account, /free/ of the host "shop". The route
/// /orders/ has the priority 3 and allows the regions "east" and "west". The accounts have the
/// priorities 1, 2 and so on; the account "eastern" allows only the regions "east" and "south".
/// In a document of the form "VERSION unrouted" there are no routes, and in one of the form
/// "VERSION closed NAME:KEY ..." requests need a key even without accounts, /orders/ has no
/// service, the key "refused" belongs to no account, and two values were replaced.
inline parse_result ReadAccountDocument(std::string_view bytes) {
  parse_result result;
  const std::vector<std::string> words = absl::StrSplit(std::string(bytes), ' ');
  document& read = result.value.emplace();
  if (!absl::SimpleAtoi(words.front(), &read.version)) read.version = -1;
  service_spec& service = read.services.emplace_back();
  service.name = "orders";
  service.max_slots = 4;
  service.max_connections = 20;
  service.queue_limit = 4;
  service.long_share = 1;
  service.objective = 0.99;
  service.objective_latency = std::chrono::seconds(1);
  if (words.size() > 1 && words[1] == "unrouted") {
    read.needs_host_route = true;
    return result;
  }
  const bool is_closed = words.size() > 1 && words[1] == "closed";
  for (const char* prefix : {"/orders/", "/free/"}) {
    host_route route;
    route.host = "shop";
    route.prefix = prefix;
    route.targets = {{.service = "orders"}};
    if (is_closed && route.prefix == "/orders/") route.targets = {route_target()};
    route.time_limit = std::chrono::seconds(1);
    route.priority = 3;
    route.needs_no_account = route.prefix == "/free/";
    if (!route.needs_no_account) route.regions = region_limit({"east", "west"});
    read.host_routes.push_back(route);
  }
  read.IndexRoutes();
  if (is_closed) {
    read.needs_account = true;
    read.refused_credentials = {DigestCredential("refused")};
    read.substitutions = 2;
    read.listed_substitutions = {{.error = {.file = "configuration",
                                            .key = "orders.service",
                                            .found = "null",
                                            .allowed = "a name"},
                                  .used = "none"}};
  }
  for (std::size_t i = is_closed ? 2 : 1; i < words.size(); ++i) {
    const std::vector<std::string> parts = absl::StrSplit(words[i], ':');
    account_spec account;
    account.name = parts.front();
    account.priority = static_cast<std::uint32_t>(i);
    account.credentials = {DigestCredential(parts.back())};
    if (account.name == "eastern") account.regions = region_limit({"east", "south"});
    read.accounts.push_back(account);
  }
  read.IndexAccounts();
  return result;
}

}  // namespace bronzeroute::tests
