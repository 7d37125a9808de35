#pragma once

#include <absl/status/status.h>

#include <string>

#include "src/base/time.h"
#include "src/transport/admin_server.h"
#include "src/transport/caller_server.h"
#include "src/transport/exchange_table.h"
#include "src/transport/http_dialect.h"
#include "src/transport/http_router.h"
#include "src/transport/peer_transport.h"
#include "src/transport/udp_socket.h"
#include "src/transport/upstream_client.h"

namespace bronzeroute {

class transport_events;

/// Addresses a daemon listens on, each "ip:port".
struct listen_addresses {
  std::string callers;
  std::string peers;
  std::string membership;
  std::string admin;
};

/// All sockets of a daemon. Create it and call `Start` and `Stop` from the main thread, after
/// `StartEventLoop`; use the ports on the event loop only.
class transport {
 public:
  /// `events` must outlive the transport.
  explicit transport(transport_events& events, http_dialect dialect = {});
  ~transport() { Stop(); }
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  /// Opens all four addresses. The error message contains the address that failed; the others
  /// stay open until `Stop`.
  absl::Status Start(const listen_addresses& addresses);
  /// Closes everything and waits until no event can follow. Open exchanges are aborted.
  void Stop();
  /// Enforces the time limits of connections. Call it about every 10 ms, on the event loop.
  void Tick(time_point now);

  /// Number of open exchanges; a draining daemon waits for 0 before it exits.
  std::size_t open_exchanges() const { return exchanges_.size(); }

  exchange_table& exchanges() { return exchanges_; }
  caller_server& callers() { return callers_; }
  upstream_client& upstream() { return upstream_; }
  peer_transport& peers() { return peers_; }
  udp_socket& datagrams() { return datagrams_; }
  /// Endpoints of the admin address; they must be added before `Start`.
  http_router& admin_endpoints() { return admin_endpoints_; }
  /// Endpoints below "/.bronzeroute/" of the callers' address; they must be added before
  /// `Start`.
  http_router& caller_endpoints() { return caller_endpoints_; }

 private:
  http_dialect dialect_;
  exchange_table exchanges_;
  http_router admin_endpoints_;
  http_router caller_endpoints_;
  caller_server callers_;
  upstream_client upstream_;
  peer_transport peers_;
  udp_socket datagrams_;
  admin_server admin_;
};

}  // namespace bronzeroute
