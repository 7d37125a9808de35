#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/attempt_id.h"
#include "src/base/strong_id.h"
#include "src/transport/peer_counters.h"

namespace bronzeroute {

class attempt_stream;
class exchange_table;
class transport_events;
struct attempt_head;

/// Entry side of the link between daemons: two open channels to each peer, one for short and
/// one for long work, and the attempts sent over them.
class peer_client {
 public:
  /// All must outlive the client.
  peer_client(exchange_table& exchanges, transport_events& events, peer_counters& counters);
  ~peer_client();
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;

  /// Starts to keep the channels open.
  void Start();
  /// Cancels all attempts without further events. Not on the event loop.
  void Stop();

  /// Opens the channels to `peer` at `address` ("ip:port"), or moves them to a new address.
  void OpenPeer(member_id peer, std::string_view address);
  /// Closes the channels once the attempts on them have ended.
  void ClosePeer(member_id peer);

  bool IsReady(member_id peer, bool is_long) const;
  bool SendAttempt(exchange_id exchange, const attempt_head& head);
  void CancelAttempt(exchange_id exchange, const attempt_id& attempt);

  using fetch_done = std::function<void(absl::StatusOr<std::string>)>;
  /// Requests a configuration newer than `known_version` from `peer`; `done` gets the snapshot,
  /// empty if there is none.
  void FetchConfiguration(member_id peer, std::int64_t known_version, fetch_done done);

  /// Called by `attempt_stream` when gRPC has finished with it.
  void Forget(const attempt_id& attempt);

 private:
  struct peer_channels;
  struct channel_reconnector;

  exchange_table& exchanges_;
  transport_events& events_;
  peer_counters& counters_;
  std::shared_ptr<channel_reconnector> reconnector_;
  absl::flat_hash_map<member_id, std::shared_ptr<peer_channels>> peers_;
  absl::flat_hash_map<attempt_id, std::shared_ptr<attempt_stream>> attempts_;
  std::uint64_t last_fetch_ = 0;
  std::size_t open_fetches_ = 0;
  std::promise<void>* drained_ = nullptr;
  bool stopped_ = false;

  void ReportDrained();
};

}  // namespace bronzeroute
