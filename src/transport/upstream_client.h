#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/attempt_id.h"
#include "src/base/time.h"
#include "src/calls/upstream_port.h"

namespace bronzeroute {

class exchange_table;
class transport_events;
class upstream_attempt;
struct http_dialect;
struct upstream_connection;

/// The HTTP client towards the upstream beside this daemon.
class upstream_client : public upstream_port {
 public:
  /// All arguments must outlive the client.
  upstream_client(exchange_table& exchanges, transport_events& events,
                  const http_dialect& dialect);
  ~upstream_client() override;
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;

  /// Cancels everything without further events. Not on the event loop.
  void Stop();

  /// Sets the address ("ip:port") for further requests; empty for none. `identity` is sent with
  /// each request if the dialect has a field for it.
  void SetUpstream(std::string_view address, std::string_view identity);

  void StartUpstream(exchange_id exchange, const attempt_id& attempt, time_point deadline,
                     bool fresh_connection) override;
  void CancelUpstream(exchange_id exchange, const attempt_id& attempt) override;

  /// Nesting depth of a request that the upstream sends while it runs another one: the id of
  /// the new request is the id of the running one, a separator and a suffix. 0 for any other
  /// request.
  std::uint32_t DepthOfCall(std::string_view request_id) const;

  /// Closes idle connections that have expired. Call it about every 10 ms.
  void Tick(time_point now);

  /// Called by `upstream_attempt`.
  transport_events& events() { return events_; }
  const http_dialect& dialect() const { return dialect_; }
  const std::string& address() const { return address_; }
  const std::string& identity() const { return identity_; }
  /// Counts the calls of `SetUpstream`, which tells the upstream in use from earlier ones with
  /// the same address and identity.
  std::uint64_t generation() const { return generation_; }
  /// An idle connection that is still open, or null. Not one on which the upstream refused the
  /// request with the caller's id `request_id`: it might repeat that refusal.
  std::shared_ptr<upstream_connection> TakeIdle(std::string_view request_id);
  void Keep(const std::shared_ptr<upstream_connection>& connection);
  void Forget(const upstream_attempt& attempt);

 private:
  using key = std::pair<exchange_id, attempt_id>;

  exchange_table& exchanges_;
  transport_events& events_;
  const http_dialect& dialect_;
  std::string address_;
  std::string identity_;
  std::uint64_t generation_ = 0;
  absl::flat_hash_map<key, std::shared_ptr<upstream_attempt>> running_;
  /// Idle connections; the most recently used one is last.
  std::vector<std::shared_ptr<upstream_connection>> kept_;
  bool used_ = false;
};

}  // namespace bronzeroute
