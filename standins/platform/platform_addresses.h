#pragma once

#include <string>

namespace bronzeroute::standin {

/// Ports of every machine of a deployment, on loopback addresses of their own.
inline constexpr int kControlPort = 18620;
inline constexpr int kInboundPort = 18624;
inline constexpr int kReadyPort = 18625;
inline constexpr int kStorePort = 18627;
inline constexpr int kUpstreamPort = 18628;
inline constexpr int kOutboundPort = 18629;
inline constexpr int kMembershipPort = 17600;
inline constexpr int kAdminPort = 17601;

inline std::string Address(const std::string& ip, int port) {
  return ip + ":" + std::to_string(port);
}

}  // namespace bronzeroute::standin
