#pragma once

#include <absl/status/status.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <string_view>

#include "src/membership/datagram_port.h"

namespace bronzeroute {

class transport_events;

/// The UDP socket for membership datagrams.
class udp_socket : public datagram_port {
 public:
  /// `events` must outlive the socket.
  explicit udp_socket(transport_events& events);
  ~udp_socket() override;
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;

  /// Binds to `address` ("ip:port") and starts to receive. Not on the event loop.
  absl::Status Start(std::string_view address);
  /// Not on the event loop.
  void Stop();

  /// Drops the datagram if the address is malformed or the socket's buffer is full.
  void SendDatagram(std::string_view address, std::string_view payload) override;

 private:
  struct receiver;
  std::shared_ptr<receiver> receiver_;
  transport_events& events_;
};

}  // namespace bronzeroute
