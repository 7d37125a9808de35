#pragma once

#include <memory>
#include <string>

#include "src/base/attempt_id.h"
#include "src/transport/byte_pipe.h"
#include "src/transport/header_list.h"

namespace bronzeroute {

/// The response to one attempt while it is received: its head, and its body as a bounded
/// stream.
struct response_stream {
  attempt_id attempt;
  int status = 0;
  header_list headers;
  std::shared_ptr<byte_pipe> body;
};

}  // namespace bronzeroute
