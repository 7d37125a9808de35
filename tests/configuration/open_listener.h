#pragma once

#include <cpprest/http_listener.h>

#include <exception>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "src/base/concat.h"

namespace bronzeroute {

/// An HTTP listener on the loopback interface and its address "ip:port".
struct open_listener {
  std::string address;
  std::unique_ptr<web::http::experimental::listener::http_listener> listener;
};

/// Opens a listener on a free port. The library does not support port 0, so ports below the
/// ephemeral range are tried in turn.
template <typename Handler>
open_listener OpenListener(std::string_view path, const Handler& handler) {
  for (int port = 21000; port < 21400; ++port) {
    open_listener result;
    result.address = Concat("127.0.0.1:", port);
    try {
      result.listener = std::make_unique<web::http::experimental::listener::http_listener>(
          web::uri(Concat("http://", result.address, path)));
      result.listener->support(handler);
      result.listener->open().wait();
      return result;
    } catch (const std::exception&) {
      continue;  // the port is taken
    }
  }
  throw std::runtime_error("no free port from 21000 to 21399");
}

}  // namespace bronzeroute
