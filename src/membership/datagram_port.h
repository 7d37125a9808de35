#pragma once

#include <string_view>

namespace bronzeroute {

/// Sends membership datagrams. Implemented over UDP, mocked in tests.
class datagram_port {
 public:
  virtual ~datagram_port() = default;

  /// Sends `payload`, at most 1200 bytes, to `address` ("ip:port"). Delivery is not assured.
  virtual void SendDatagram(std::string_view address, std::string_view payload) = 0;
};

}  // namespace bronzeroute
