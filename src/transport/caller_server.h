#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <cpprest/http_listener.h>

#include <memory>
#include <string_view>

#include "src/calls/caller_port.h"

namespace bronzeroute {

class exchange_table;
class http_router;
class transport_events;
struct answer_stream;

/// The HTTP server for callers.
class caller_server : public caller_port {
 public:
  /// `local` answers paths below "/.bronzeroute/". All three must outlive the server.
  caller_server(exchange_table& exchanges, transport_events& events, const http_router& local);
  ~caller_server() override;
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  /// Listens on `address` ("ip:port"). Not on the event loop.
  absl::Status Start(std::string_view address);
  /// Closes the listener; open exchanges are cut. Not on the event loop.
  void Stop();

  void AnswerError(exchange_id exchange, const call_id& call, error_kind kind,
                   int recorded_status) override;
  /// Without an answer of `attempt` the caller gets `answer_lost`: it may have run, and the
  /// answer at hand belongs to something else.
  void RelayAnswer(exchange_id exchange, const attempt_id& attempt) override;
  void CutAnswer(exchange_id exchange) override;

 private:
  struct caller_exchange;

  void Accept(const web::http::http_request& request);
  void BodyRead(exchange_id id, bool complete);
  void Announce(caller_exchange& row);
  void Reply(const std::shared_ptr<caller_exchange>& row,
             const web::http::http_response& response, bool is_relay);
  void ReplyError(const std::shared_ptr<caller_exchange>& row, const call_id& call,
                  error_kind kind, int recorded_status);

  exchange_table& exchanges_;
  transport_events& events_;
  const http_router& local_;
  std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
  absl::flat_hash_map<exchange_id, std::shared_ptr<caller_exchange>> rows_;
  // Continuations hold a weak reference and do nothing once the server is gone.
  std::shared_ptr<caller_server*> self_;
};

}  // namespace bronzeroute
