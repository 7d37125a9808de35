#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "src/transport/header_list.h"
#include "src/transport/http_request_handler.h"
#include "src/transport/http_server.h"

namespace bronzeroute::standin {

/// A request that was received whole.
struct received_request {
  std::string method;
  /// Path with query.
  std::string target;
  std::string host;
  header_list headers;
  std::string body;

  /// Value of a field, or an empty string.
  std::string Field(std::string_view name) const;
  /// Value of a parameter of the query, or an empty string.
  std::string Parameter(std::string_view name) const;
};

/// An HTTP server of a stand-in: reads each request whole and passes it on with a function that
/// sends its response.
class http_endpoint final : private http_request_handler {
 public:
  /// Sends the response; has no effect once the client has left.
  using responder =
      std::function<void(int status, const header_list& headers, std::string_view body)>;
  using handler = std::function<void(const received_request&, const responder&)>;

  explicit http_endpoint(handler respond) : server_(*this), respond_(std::move(respond)) {}

  /// Listens on "ip:port". Not on the event loop.
  absl::Status Start(std::string_view address) { return server_.Start(address); }
  void Stop() { server_.Stop(); }
  /// Requests on the connections that have carried one so far get no response any more.
  void SilenceConnections() { silent_.insert(connections_.begin(), connections_.end()); }

 private:
  using connection_set = std::set<std::weak_ptr<http_connection>, std::owner_less<>>;

  void OnRequest(const std::shared_ptr<http_connection>& connection,
                 const std::shared_ptr<exchange>& row) override;
  void OnClientDisconnected(const exchange& /*row*/) override {}
  void OnNothingWritten(const exchange& /*row*/) override {}
  void OnResponseEnded(const exchange& /*row*/) override {}

  http_server server_;
  handler respond_;
  /// Connections that have carried a request.
  connection_set connections_;
  connection_set silent_;
};

}  // namespace bronzeroute::standin
