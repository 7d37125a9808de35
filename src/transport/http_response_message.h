#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "src/transport/byte_pipe.h"
#include "src/transport/header_list.h"

namespace bronzeroute {

/// An answer as a server writes it. A Content-Length among the fields is kept; without one the
/// body is sent in chunks, or up to the end of the connection to an old client.
struct http_response_message {
  int status = 200;
  header_list headers;
  /// Body as a stream, or null for an empty body.
  std::shared_ptr<byte_pipe> body;
};

/// An answer with a body in one piece.
http_response_message TextResponse(int status, std::string content_type, std::string_view body);

}  // namespace bronzeroute
