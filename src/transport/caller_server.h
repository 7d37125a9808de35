#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "src/base/time.h"
#include "src/calls/caller_port.h"
#include "src/transport/http_request_handler.h"
#include "src/transport/http_server.h"

namespace bronzeroute {

class exchange_table;
class http_router;
class transport_events;
struct http_response_message;
struct http_dialect;

/// The HTTP server for callers.
class caller_server : public caller_port, private http_request_handler {
 public:
  /// `local` handles paths below "/.bronzeroute/". All arguments must outlive the server.
  caller_server(exchange_table& exchanges, transport_events& events, const http_router& local,
                const http_dialect& dialect);

  /// Listens on `address` ("ip:port"). Not on the event loop.
  absl::Status Start(std::string_view address) { return server_.Start(address); }
  /// Closes the listener and all connections; open exchanges are aborted. Not on the event
  /// loop.
  void Stop();

  /// On the event loop, like everything below.
  http_server& server() { return server_; }
  /// Sets the function that returns the nesting depth of a request by its id, for dialects in
  /// which callers do not send the depth.
  void SetDepthSource(std::function<std::uint32_t(std::string_view)> depth_of) {
    depth_of_ = std::move(depth_of);
  }
  /// Sets the service beside this daemon, sent to upstreams as the calling service of each
  /// request.
  void SetCallerService(std::string_view service) { caller_service_ = service; }

  /// Sets the function that says whether a request may run while others of its connection are
  /// unanswered, from its method, host and path. Without one, these are GET, HEAD and OPTIONS.
  void SetConcurrencyRule(std::function<bool(const exchange&)> may_run_concurrently) {
    may_run_concurrently_ = std::move(may_run_concurrently);
  }
  /// Number of requests that were passed on while one before them on their connection was
  /// unanswered.
  std::uint64_t pipelined_requests() const { return pipelined_requests_; }

  /// Refuses, as not run, each request that has not been received whole, and all that follow.
  /// Requests that were passed on before are not affected.
  void EndRequests();

  void SetAccount(exchange_id exchange, std::string_view account) override;
  using caller_port::RespondWithError;
  void RespondWithError(exchange_id exchange, const call_id& call, error_kind kind,
                        int recorded_status, duration retry_after) override;
  /// If the exchange has no response to `attempt`, the caller receives `answer_lost`: the
  /// request may have run, and the stored response belongs to another attempt.
  void RelayResponse(exchange_id exchange, const attempt_id& attempt) override;
  void AbortResponse(exchange_id exchange) override;

 private:
  struct caller_exchange;

  bool RunsConcurrently(const exchange& row) override;
  void OnRequest(const std::shared_ptr<http_connection>& connection,
                 const std::shared_ptr<exchange>& row) override;
  void OnClientDisconnected(const exchange& row) override;
  void OnNothingWritten(const exchange& row) override;
  void OnResponseEnded(const exchange& row) override;
  void Announce(caller_exchange& row);
  void ReplaceFields(exchange& row) const;
  /// `retry_after` replaces that of the error table unless it is 0.
  void SendErrorResponse(caller_exchange& row, const call_id& call, error_kind kind,
                         int recorded_status, duration retry_after = {});

  exchange_table& exchanges_;
  transport_events& events_;
  const http_router& local_;
  const http_dialect& dialect_;
  http_server server_;
  std::string caller_service_;
  std::minstd_rand random_{std::random_device{}()};
  bool requests_ended_ = false;
  std::function<std::uint32_t(std::string_view request_id)> depth_of_;
  std::function<bool(const exchange&)> may_run_concurrently_;
  std::uint64_t pipelined_requests_ = 0;
  absl::flat_hash_map<exchange_id, std::shared_ptr<caller_exchange>> rows_;
};

}  // namespace bronzeroute
