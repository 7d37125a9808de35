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
#include "src/base/time.h"
#include "src/transport/peer_counters.h"

namespace bronzeroute {

class attempt_stream;
class exchange_table;
class transport_events;
struct attempt_head;
struct exchange;

/// Entry side of the link between daemons: up to two channels to each peer, one for short and
/// one for long work, and the attempts sent over them.
class peer_client {
 public:
  /// All must outlive the client.
  peer_client(exchange_table& exchanges, transport_events& events, peer_counters& counters);
  ~peer_client();
  peer_client(const peer_client&) = delete;
  peer_client& operator=(const peer_client&) = delete;

  /// Starts to keep channels open.
  void Start();
  /// Cancels all attempts without further events. Not on the event loop.
  void Stop();

  /// Makes `peer` at `address` ("ip:port") a possible target of attempts, or moves it to a new
  /// address. With `keeps_open` the channel for short work is opened now and whenever it
  /// breaks; otherwise attempts open it, and it is closed when it was not used for a while.
  void OpenPeer(member_id peer, std::string_view address, bool keeps_open);
  /// Closes the channels once the attempts on them have ended.
  void ClosePeer(member_id peer);

  bool IsReady(member_id peer, bool is_long) const;
  /// False if nothing was or will be sent. An attempt whose channel is being opened for it
  /// waits for that; if the channel does not open in time, the events report that nothing was
  /// sent.
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
  struct waiting_attempt;
  struct tick_timer;

  void Tick(time_point now);
  static void OpenShort(peer_channels& peer);
  /// Checks some of the channels that are kept open in turn, or all of them after one broke.
  void CheckKept();
  void StartAttempt(peer_channels& peer, const std::shared_ptr<exchange>& row,
                    const attempt_head& head);
  /// True if the attempt may wait until the channel for short work is open.
  bool MayWait(const peer_channels& peer, const attempt_head& head) const;
  void Wait(const std::shared_ptr<peer_channels>& peer, const std::shared_ptr<exchange>& row,
            const attempt_head& head);
  /// Sends the attempts whose channel is open, and reports those as not sent whose channel
  /// failed or is late.
  void CheckWaiting(time_point now);
  void CloseUnused(time_point now);
  void ReportDrained();

  exchange_table& exchanges_;
  transport_events& events_;
  peer_counters& counters_;
  std::shared_ptr<tick_timer> timer_;
  absl::flat_hash_map<member_id, std::shared_ptr<peer_channels>> peers_;
  absl::flat_hash_map<attempt_id, std::shared_ptr<attempt_stream>> attempts_;
  /// Attempts that wait until the channel to their target is open.
  absl::flat_hash_map<attempt_id, std::shared_ptr<waiting_attempt>> waiting_;
  time_point next_check_;
  /// Counts the rounds of `CheckKept`.
  std::uint64_t check_round_ = 0;
  bool any_broke_ = false;
  /// At the last check, most of the channels that are kept open were open.
  bool most_are_open_ = false;
  time_point next_close_;
  std::size_t open_fetches_ = 0;
  std::promise<void>* drained_ = nullptr;
  bool stopped_ = false;
};

}  // namespace bronzeroute
