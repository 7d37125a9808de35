#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/attempt_id.h"
#include "src/base/strong_id.h"
#include "src/calls/member_target.h"
#include "src/transport/peer_counters.h"

namespace grpc {
class Server;
}

namespace bronzeroute {

class attempt_reactor;
class exchange_table;
class transport_events;
struct attempt_head;
struct exchange;

/// Owner side of the link between daemons: the gRPC server.
class peer_server {
 public:
  /// Returns a configuration snapshot newer than `known_version`, or an empty string. Called on
  /// the event loop.
  using snapshot_source = std::function<std::string(std::int64_t known_version)>;

  /// All must outlive the server.
  peer_server(exchange_table& exchanges, transport_events& events, peer_counters& counters);
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// Listens on `address` ("ip:port"). Not on the event loop.
  absl::Status Start(std::string_view address);
  /// Ends all attempts without further events. Not on the event loop.
  void Stop();

  void SetSnapshotSource(snapshot_source source) { snapshot_source_ = std::move(source); }
  /// Sets the configuration version that every frame to an entry carries.
  void SetConfigVersion(std::int64_t version) { config_version_ = version; }
  std::int64_t config_version() const { return config_version_; }
  /// Sets the identity of this process. Its incarnation is sent in refusals of attempts that
  /// name an earlier one.
  void SetSelf(const member_target& self) { self_ = self; }
  const member_target& self() const { return self_; }

  /// The open attempt with this exchange, or null.
  std::shared_ptr<attempt_reactor> Find(exchange_id exchange) const;

  /// Called by `attempt_reactor`.
  void Add(const std::shared_ptr<attempt_reactor>& reactor,
           const std::shared_ptr<exchange>& row);
  void Announce(const exchange& row, const attempt_head& head);
  void ReportEntryDisconnected(const exchange& row, const attempt_id& attempt);
  void CountMismatch() { ++counters_.mismatched_frames; }
  void Forget(exchange_id exchange);

 private:
  class service;

  exchange_table& exchanges_;
  transport_events& events_;
  peer_counters& counters_;
  snapshot_source snapshot_source_;
  std::int64_t config_version_ = -1;
  member_target self_;
  std::unique_ptr<service> service_;
  std::unique_ptr<grpc::Server> server_;
  absl::flat_hash_map<exchange_id, std::shared_ptr<attempt_reactor>> rows_;
  bool stopped_ = false;
};

}  // namespace bronzeroute
