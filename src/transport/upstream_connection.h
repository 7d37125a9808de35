#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "src/base/time.h"
#include "src/transport/message_reader.h"

namespace bronzeroute {

/// A connection to an upstream, with the reader that parses the bytes received on it.
struct upstream_connection {
  explicit upstream_connection(std::string to);

  /// True if the connection is open and no unread bytes are pending. False if the upstream
  /// closed it or sent unsolicited bytes.
  bool IsReusable();

  std::string address;
  boost::asio::ip::tcp::socket socket;
  internal::message_reader<false> reader;
  /// Number of requests completed on the connection.
  int served = 0;
  /// The caller's id of the last request that the upstream refused on the connection; empty if
  /// there is none.
  std::string refused_request;
  /// Time until which the idle connection may be reused.
  time_point kept_until;
};

}  // namespace bronzeroute
