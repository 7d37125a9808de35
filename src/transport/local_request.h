#pragma once

#include <string>

namespace bronzeroute {

/// A request for the daemon itself.
struct local_request {
  std::string method;
  std::string path;
  /// Text after '?', not percent-decoded.
  std::string query;
  std::string body;
};

}  // namespace bronzeroute
