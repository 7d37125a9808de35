#pragma once

#include <absl/container/flat_hash_map.h>
#include <cpprest/http_client.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "src/calls/upstream_port.h"

namespace bronzeroute {

class exchange_table;
class transport_events;

/// HTTP requests to the upstream beside this daemon.
class upstream_client : public upstream_port {
 public:
  /// Both must outlive the client.
  upstream_client(exchange_table& exchanges, transport_events& events);
  ~upstream_client() override;
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;

  /// Sets the address ("ip:port") that the upstream announced; empty if it is gone. Running
  /// requests stay with the old one.
  void SetUpstream(std::string_view address);
  /// Cancels all requests; no more events follow. Not on the event loop.
  void Stop();

  /// Reports `OnUpstreamConnectFailed` if there is no upstream, or if the request's body was
  /// read by an earlier attempt and is no longer kept.
  void StartUpstream(exchange_id exchange, const attempt_id& attempt, time_point deadline,
                     bool fresh_connection) override;
  void CancelUpstream(exchange_id exchange, const attempt_id& attempt) override;

 private:
  struct running_request;
  using key = std::pair<exchange_id, attempt_id>;

  std::shared_ptr<web::http::client::http_client> NewClient() const;
  void HeadArrived(const key& id, const pplx::task<web::http::http_response>& arrived);
  void BodyEnded(const key& id, bool complete);
  void ReportConnectFailed(const key& id);

  exchange_table& exchanges_;
  transport_events& events_;
  std::string address_;
  // Keeps connections for requests that may be repeated.
  std::shared_ptr<web::http::client::http_client> pooled_;
  absl::flat_hash_map<key, std::shared_ptr<running_request>> running_;
  std::shared_ptr<upstream_client*> self_;
};

}  // namespace bronzeroute
