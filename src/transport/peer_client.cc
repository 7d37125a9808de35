#include "src/transport/peer_client.h"

#include <absl/cleanup/cleanup.h>
#include <absl/status/status.h>
#include <grpcpp/channel.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "proto/peer.grpc.pb.h"
#include "src/calls/attempt_head.h"
#include "src/transport/attempt_stream.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange_table.h"
#include "src/transport/http_address.h"
#include "src/transport/peer_window.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {
namespace {

// Interval at which some of the channels that are kept open are checked, and the number of
// rounds in which each of them is checked once.
constexpr std::chrono::milliseconds kCheckPeriod(100);
constexpr std::uint64_t kCheckRounds = 5;
// Interval at which channels are checked for which attempts wait.
constexpr std::chrono::milliseconds kWaitPeriod(5);
// Longest time for which an attempt waits until the channel that is opened for it is open.
constexpr std::chrono::milliseconds kOpenTime(500);
// Channels that are not kept open are closed when they were not used for this time.
constexpr std::chrono::seconds kUnusedTime(10);
constexpr std::chrono::seconds kClosePeriod(1);
// Bounds of the wait between two connection attempts to an unreachable peer.
constexpr int kMinBackoffMs = 100;
constexpr int kMaxBackoffMs = 2000;
// A peer that does not acknowledge a ping during a call is treated as lost. Channels without
// calls are not pinged, since membership detects failed peers.
constexpr int kKeepaliveMs = 5000;
constexpr int kKeepaliveTimeoutMs = 3000;

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  // The library must never send an attempt twice.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  // Otherwise channels with equal arguments share one TCP connection, and a long body would
  // delay short work.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, kWindowBytes);
  return grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

}  // namespace

struct peer_client::peer_channels {
  struct channel {
    explicit channel(const std::string& to) : connection(OpenChannel(to)) {
      stub = proto::Peer::NewStub(connection);
    }
    std::shared_ptr<grpc::Channel> connection;
    std::unique_ptr<proto::Peer::Stub> stub;
  };

  explicit peer_channels(std::string_view to) : address(to) {}

  /// Opens the channel for long work with its first use, since most pairs of daemons never
  /// exchange long work and each connection costs memory at both ends.
  channel& ForLong() {
    if (!for_long) for_long.emplace(address);
    return *for_long;
  }

  std::string address;
  bool keeps_open = false;
  /// State of the channel for short work when it was last checked.
  grpc_connectivity_state state = GRPC_CHANNEL_IDLE;
  time_point used_at;
  /// End of the time in which the channel for short work is expected to open for the first
  /// time.
  time_point first_open_until;
  std::optional<channel> for_short;
  std::optional<channel> for_long;
};

struct peer_client::waiting_attempt {
  std::shared_ptr<peer_channels> peer;
  std::shared_ptr<exchange> row;
  attempt_head head;
  time_point until;
};

struct peer_client::tick_timer : std::enable_shared_from_this<peer_client::tick_timer> {
  explicit tick_timer(peer_client& client) : owner(&client), timer(LoopService()) {}

  void Arm() {
    timer.expires_after(owner->waiting_.empty() ? kCheckPeriod : kWaitPeriod);
    timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (error || self->owner == nullptr) return;
      // Also after an exception, since broken channels are found by the tick only.
      const absl::Cleanup next = [&self] { self->Arm(); };
      self->owner->Tick(MonotonicNow());
    });
  }

  peer_client* owner;
  boost::asio::steady_timer timer;
};

peer_client::peer_client(exchange_table& exchanges, transport_events& events,
                         peer_counters& counters)
    : exchanges_(exchanges), events_(events), counters_(counters) {}

peer_client::~peer_client() { Stop(); }

void peer_client::Start() {
  timer_ = std::make_shared<tick_timer>(*this);
  RunOnLoop([this] { timer_->Arm(); });
}

void peer_client::Stop() {
  if (stopped_) return;
  std::promise<void> drained;
  RunOnLoop([this, &drained] {
    stopped_ = true;
    drained_ = &drained;
    if (timer_ != nullptr) {
      timer_->owner = nullptr;
      timer_->timer.cancel();
    }
    waiting_.clear();
    for (const auto& [id, stream] : attempts_) stream->Cancel();
    ReportDrained();
  });
  drained.get_future().wait();
  RunOnLoop([this] { peers_.clear(); });
}

void peer_client::ReportDrained() {
  if (drained_ == nullptr || !attempts_.empty() || open_fetches_ > 0) return;
  std::exchange(drained_, nullptr)->set_value();
}

void peer_client::OpenPeer(member_id peer, std::string_view address, bool keeps_open) {
  if (stopped_) return;
  if (!ParseAddress(address).ok()) {
    // From a record of another writer; gRPC would keep trying to connect.
    ClosePeer(peer);
    return;
  }
  const auto found = peers_.find(peer);
  if (found != peers_.end() && found->second->address != address) ClosePeer(peer);
  auto& row = peers_[peer];
  if (row == nullptr) row = std::make_shared<peer_channels>(address);
  if (row->keeps_open && !keeps_open) row->used_at = MonotonicNow();
  row->keeps_open = keeps_open;
  if (keeps_open) OpenShort(*row);
}

void peer_client::ClosePeer(member_id peer) { peers_.erase(peer); }

void peer_client::OpenShort(peer_channels& peer) {
  if (!peer.for_short) {
    peer.state = GRPC_CHANNEL_IDLE;
    peer.first_open_until = MonotonicNow() + kOpenTime;
    peer.for_short.emplace(peer.address);
  }
  peer.for_short->connection->GetState(true);
}

void peer_client::CheckKept() {
  // Channels mostly break in groups, for example when a peer's network fails.
  const bool checks_all = std::exchange(any_broke_, false);
  ++check_round_;
  std::size_t kept = 0;
  std::size_t ready = 0;
  for (const auto& [id, peer] : peers_) {
    if (!peer->keeps_open) continue;
    ++kept;
    ready += peer->state == GRPC_CHANNEL_READY ? 1 : 0;
    const bool is_turn = (id.value + check_round_) % kCheckRounds == 0;
    if (!checks_all && !is_turn && peer->state == GRPC_CHANNEL_READY) continue;
    // gRPC connects an idle channel by itself only when a call is made.
    const grpc_connectivity_state state = peer->for_short->connection->GetState(true);
    const grpc_connectivity_state last = std::exchange(peer->state, state);
    any_broke_ = any_broke_ || (last == GRPC_CHANNEL_READY && state != GRPC_CHANNEL_READY);
  }
  most_are_open_ = 2 * ready > kept;
}

bool peer_client::IsReady(member_id peer, bool is_long) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end() || !found->second->for_short) return false;
  const peer_channels& row = *found->second;
  const bool is_reachable = row.for_short->connection->GetState(false) == GRPC_CHANNEL_READY;
  if (!is_long || !row.for_long) return is_reachable;
  // The channel for long work may still be closed while the one for short work shows that the
  // peer is reachable. A call then opens the channel and waits until it is open.
  const grpc_connectivity_state state = row.for_long->connection->GetState(true);
  return state == GRPC_CHANNEL_READY ||
         (is_reachable && (state == GRPC_CHANNEL_IDLE || state == GRPC_CHANNEL_CONNECTING));
}

bool peer_client::SendAttempt(exchange_id exchange, const attempt_head& head) {
  const auto row = exchanges_.Find(exchange);
  const auto found = peers_.find(head.target);
  if (stopped_ || row == nullptr || found == peers_.end() || attempts_.contains(head.id) ||
      waiting_.contains(head.id)) {
    return false;
  }
  const auto peer = found->second;
  peer->used_at = MonotonicNow();
  const bool is_ready = IsReady(head.target, head.is_long);
  any_broke_ = any_broke_ || (!is_ready && peer->state == GRPC_CHANNEL_READY);
  if (!is_ready && !MayWait(*peer, head)) return false;
  if (!row->body->Rewind()) return false;
  if (is_ready) {
    StartAttempt(*peer, row, head);
  } else {
    Wait(peer, row, head);
  }
  return true;
}

void peer_client::StartAttempt(peer_channels& peer, const std::shared_ptr<exchange>& row,
                               const attempt_head& head) {
  auto stream = std::make_shared<attempt_stream>(*this, events_, counters_, row, head);
  attempts_.emplace(head.id, stream);
  ++counters_.attempts_sent;
  stream->Start(*(head.is_long ? peer.ForLong() : *peer.for_short).stub);
}

bool peer_client::MayWait(const peer_channels& peer, const attempt_head& head) const {
  // Other members can take an attempt without a key at once, unless this process has just
  // started and is still opening its channels.
  const bool is_first_open = !most_are_open_ && MonotonicNow() < peer.first_open_until;
  if (peer.keeps_open && head.key.empty() && !is_first_open) return false;
  return !peer.for_short ||
         peer.for_short->connection->GetState(false) != GRPC_CHANNEL_TRANSIENT_FAILURE;
}

void peer_client::Wait(const std::shared_ptr<peer_channels>& peer,
                       const std::shared_ptr<exchange>& row, const attempt_head& head) {
  const time_point until = std::min(MonotonicNow() + kOpenTime, head.deadline);
  waiting_.emplace(head.id, std::make_shared<waiting_attempt>(waiting_attempt{
                                .peer = peer, .row = row, .head = head, .until = until}));
  OpenShort(*peer);
  if (waiting_.size() == 1) timer_->Arm();
}

void peer_client::CheckWaiting(time_point now) {
  std::vector<std::shared_ptr<waiting_attempt>> ready;
  std::vector<std::shared_ptr<waiting_attempt>> failed;
  for (const auto& [id, each] : waiting_) {
    const auto found = peers_.find(each->head.target);
    const bool is_closed = found == peers_.end() || found->second != each->peer;
    const grpc_connectivity_state state = each->peer->for_short->connection->GetState(true);
    if (!is_closed && state == GRPC_CHANNEL_READY) {
      ready.push_back(each);
    } else if (is_closed || state == GRPC_CHANNEL_TRANSIENT_FAILURE || each->until <= now) {
      failed.push_back(each);
    }
  }
  for (const auto& each : ready) {
    waiting_.erase(each->head.id);
    StartAttempt(*each->peer, each->row, each->head);
  }
  for (const auto& each : failed) {
    // A handler of an event before may have cancelled this attempt.
    if (waiting_.erase(each->head.id) == 0) continue;
    events_.OnAttemptNotSent(each->row->id, each->head.id, now);
  }
}

void peer_client::CancelAttempt(exchange_id /*exchange*/, const attempt_id& attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) found->second->Cancel();
  waiting_.erase(attempt);
}

void peer_client::Tick(time_point now) {
  CheckWaiting(now);
  if (now >= next_check_) {
    next_check_ = now + kCheckPeriod;
    CheckKept();
  }
  if (now >= next_close_) {
    next_close_ = now + kClosePeriod;
    CloseUnused(now);
  }
}

void peer_client::CloseUnused(time_point now) {
  for (const auto& [id, peer] : peers_) {
    if (peer->keeps_open || peer->used_at + kUnusedTime > now) continue;
    peer->for_short.reset();
    peer->for_long.reset();
  }
}

void peer_client::Forget(const attempt_id& attempt) {
  attempts_.erase(attempt);
  ReportDrained();
}

void peer_client::FetchConfiguration(member_id peer, std::int64_t known_version,
                                     fetch_done done) {
  struct fetch {
    grpc::ClientContext context;
    proto::ConfigurationRequest request;
    proto::ConfigurationReply reply;
    std::shared_ptr<peer_channels> channels;
    fetch_done done;
  };
  const auto found = peers_.find(peer);
  if (stopped_ || found == peers_.end()) {
    PostToLoop([done = std::move(done)] {
      done(absl::UnavailableError("no open channel to this peer"));
    });
    return;
  }
  // A later reply is useless: by then the request has gone to the next peer.
  constexpr std::chrono::seconds kFetchTimeout(2);
  auto call = std::make_shared<fetch>();
  call->context.set_deadline(std::chrono::system_clock::now() + kFetchTimeout);
  // The first attempts to connect have a time limit of `kMinBackoffMs`, too short for a peer
  // under load. Without this the call would fail with the first of them.
  call->context.set_wait_for_ready(true);
  call->request.set_known_version(known_version);
  call->channels = found->second;
  call->channels->used_at = MonotonicNow();
  call->done = std::move(done);
  ++open_fetches_;
  fetch& started = *call;
  // `call` moves on with the result: if gRPC's thread released the last reference to a channel
  // of the process, it would destroy the queue that it works on.
  started.channels->ForLong().stub->async()->FetchConfiguration(
      &started.context, &started.request, &started.reply,
      [this, call = std::move(call)](const grpc::Status& status) mutable {
        PostToLoop([this, call = std::move(call), status] {
          --open_fetches_;
          if (!stopped_) {
            if (status.ok()) {
              call->done(call->reply.snapshot());
            } else {
              call->done(absl::UnavailableError(status.error_message()));
            }
          }
          ReportDrained();
        });
      });
}

}  // namespace bronzeroute
