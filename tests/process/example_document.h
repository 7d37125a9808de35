#pragma once

#include <string>

namespace bronzeroute::testing {

/// A document with one short, one protected and one long route.
inline std::string ExampleDocument() {
  return R"(format = 1
name = "test"
[measuring]
bytes_per_second = 5000
upstream_ms_per_second = 20
[[service]]
name = "orders"
deadline_ms = 5000
slots = 6
connections = 260
queue_limit = 32
long_share = 0.5
objective = 0.99
[[service.route]]
method = "GET"
prefix = "/orders"
[[service.route]]
method = "POST"
prefix = "/orders/new"
protected = true
[[service.route]]
method = "POST"
prefix = "/orders/photos"
class = "long"
deadline_ms = 60000
)";
}

}  // namespace bronzeroute::testing
