#pragma once

#include <cstdint>
#include <string>

namespace bronzeroute::standin {

/// Settings of a worker stand-in.
struct worker_options {
  /// Own address, "ip:port".
  std::string listen;
  /// Address to announce, "ip:port"; empty for `listen`.
  std::string announced;
  /// Admin address of the daemon beside it, "ip:port"; empty for none.
  std::string daemon;
  std::string service;
  std::int64_t slots = 6;
  std::int64_t connections = 260;
  std::int64_t service_us = 2'000;
  std::uint64_t seed = 1;
};

}  // namespace bronzeroute::standin
