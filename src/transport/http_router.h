#pragma once

#include <cpprest/http_msg.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "src/transport/local_answer.h"
#include "src/transport/local_request.h"

namespace bronzeroute {

/// Maps method and path of a request for the daemon itself to the function that answers it.
class http_router {
 public:
  using handler = std::function<local_answer(const local_request&)>;

  /// Adds a handler for `path`; a path that ends in '/' stands for everything below it.
  void Add(std::string_view method, std::string_view path, handler answer);

  /// The answer to `request`; `unknown_endpoint` if no handler was added for it.
  local_answer Answer(const local_request& request) const;

  /// Reads the body, at most 64 KiB, and replies. Call it from the listener's handler.
  void Serve(const web::http::http_request& request) const;

 private:
  struct entry {
    std::string method;
    std::string path;
    handler answer;
  };
  std::vector<entry> entries_;
};

}  // namespace bronzeroute
