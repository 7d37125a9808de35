#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "src/transport/byte_pipe.h"
#include "src/transport/header_list.h"

namespace bronzeroute {

/// A response as a server writes it. A Content-Length among the headers is kept; without one
/// the body is sent in chunks, or delimited by the end of the connection to an HTTP/1.0 client.
struct http_response_message {
  int status = 200;
  header_list headers;
  /// Body as a stream, or null for an empty body.
  std::shared_ptr<byte_pipe> body;
};

/// A response whose body is `body`.
http_response_message TextResponse(int status, std::string content_type, std::string_view body);

}  // namespace bronzeroute
