#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bronzeroute::testing {

/// A request that is sent over a new connection.
struct raw_request {
  std::string method = "GET";
  std::string path;
  /// Headers sent in addition to Host, Connection and Content-Length.
  std::map<std::string, std::string> headers;
  /// Length of the body; its bytes are generated while they are sent.
  std::int64_t body_bytes = 0;
  /// Rate in bytes per second at which the response is read, with a receive buffer of 64 KiB; 0
  /// for no limit.
  std::int64_t read_rate = 0;
};

/// A response as it arrived on the connection.
struct raw_response {
  bool connected = false;
  int status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  /// True if the response has all bytes of its content length, or its last chunk.
  bool complete = false;
  /// Where and why an incomplete response ended.
  std::string error;
  std::int64_t body_bytes = 0;
  /// Digests (xxhash64, 16 hexadecimal digits) of the body sent and of the body received.
  std::string sent_hash;
  std::string received_hash;

  std::string Header(const std::string& name) const;
};

/// Sends `request` to "ip:port" over a plain socket and reads the response, without buffering
/// whole bodies. Unlike a client library, it reports whether the response was truncated and
/// whether the connection was established.
raw_response SendRaw(const std::string& address, const raw_request& request);

}  // namespace bronzeroute::testing
