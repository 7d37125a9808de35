#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "src/base/time.h"
#include "src/transport/message_reader.h"

namespace bronzeroute {

/// A connection to an upstream with the bytes received on it.
struct upstream_connection {
  explicit upstream_connection(std::string to);

  /// False if the upstream closed the connection or sent something without being asked.
  bool IsQuiet();

  std::string address;
  boost::asio::ip::tcp::socket socket;
  internal::message_reader<false> reader;
  /// Requests answered on it so far.
  int served = 0;
  /// End of the time for which it may be kept without use.
  time_point kept_until;
};

}  // namespace bronzeroute
