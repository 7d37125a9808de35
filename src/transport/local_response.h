#pragma once

#include <string>

namespace bronzeroute {

/// The daemon's own response to a `local_request`.
struct local_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

}  // namespace bronzeroute
