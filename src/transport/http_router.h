#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/transport/local_request.h"
#include "src/transport/local_response.h"

namespace bronzeroute {

class http_connection;
struct exchange;

/// Maps method and path of a request for the daemon itself to the function that handles it.
class http_router {
 public:
  using handler = std::function<local_response(const local_request&)>;
  /// Sends the response; ignored if the client has left.
  using responder = std::function<void(const local_response&)>;
  using deferred_handler = std::function<void(const local_request&, responder)>;

  /// Adds a handler for `path`; a path that ends in '/' matches everything below it.
  void Add(std::string_view method, std::string_view path, handler respond);
  /// The same for a handler that responds later, on the event loop.
  void AddDeferred(std::string_view method, std::string_view path, deferred_handler respond);

  /// Responds to `request`, with `unknown_endpoint` if no handler matches it.
  void Respond(const local_request& request, const responder& send) const;

  /// Reads the body of `row`, at most 64 KiB, and sends the response on `connection`.
  void Serve(const std::shared_ptr<http_connection>& connection,
             const std::shared_ptr<exchange>& row) const;

 private:
  struct entry {
    std::string method;
    std::string path;
    deferred_handler respond;
  };
  std::vector<entry> entries_;
};

}  // namespace bronzeroute
