#pragma once

#include <string>
#include <vector>

namespace bronzeroute {

/// Settings of one daemon, from its TOML file.
struct settings {
  /// "trial" or "production".
  std::string environment;
  std::string region;
  std::string availability_zone;
  /// Own addresses as "ip:port".
  std::string callers_address;
  std::string peers_address;
  std::string membership_address;
  std::string admin_address;
  /// "ip:port" of the platform's log.
  std::string log_address;
  /// Membership addresses of other daemons, asked while the log is unavailable.
  std::vector<std::string> seeds;
  /// log4cxx level name, for example "info".
  std::string log_level = "info";
};

}  // namespace bronzeroute
