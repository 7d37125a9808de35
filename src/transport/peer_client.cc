#include "src/transport/peer_client.h"

#include <absl/status/status.h>
#include <grpcpp/channel.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "proto/peer.grpc.pb.h"
#include "src/calls/attempt_head.h"
#include "src/transport/attempt_stream.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange_table.h"
#include "src/transport/http_address.h"
#include "src/transport/peer_window.h"

namespace bronzeroute {
namespace {

// Interval at which idle or broken channels for short work are reconnected.
constexpr std::chrono::milliseconds kConnectPeriod(100);
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

  explicit peer_channels(std::string_view to) : address(to), for_short(address) {
    for_short.connection->GetState(true);
  }

  /// Opens the channel for long work with its first use, since most pairs of daemons never
  /// exchange long work and each connection costs memory at both ends.
  channel& ForLong() {
    if (!for_long) for_long.emplace(address);
    return *for_long;
  }

  std::string address;
  channel for_short;
  std::optional<channel> for_long;
};

// A timer that reconnects the channels for short work after they broke or became idle. gRPC
// reconnects by itself only when a call is made, and no short attempt is sent on a channel that
// is not open.
struct peer_client::channel_reconnector
    : std::enable_shared_from_this<peer_client::channel_reconnector> {
  explicit channel_reconnector(peer_client& client) : owner(&client), timer(LoopService()) {}

  void Arm() {
    timer.expires_after(kConnectPeriod);
    timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (error || self->owner == nullptr) return;
      for (const auto& [peer, row] : self->owner->peers_) {
        row->for_short.connection->GetState(true);
      }
      self->Arm();
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
  reconnector_ = std::make_shared<channel_reconnector>(*this);
  RunOnLoop([this] { reconnector_->Arm(); });
}

void peer_client::Stop() {
  if (stopped_) return;
  std::promise<void> drained;
  RunOnLoop([this, &drained] {
    stopped_ = true;
    drained_ = &drained;
    if (reconnector_ != nullptr) {
      reconnector_->owner = nullptr;
      reconnector_->timer.cancel();
    }
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

void peer_client::OpenPeer(member_id peer, std::string_view address) {
  if (stopped_) return;
  if (!ParseAddress(address).ok()) {
    // From a record of another writer; gRPC would keep trying to connect.
    peers_.erase(peer);
    return;
  }
  auto& row = peers_[peer];
  if (row == nullptr || row->address != address) {
    row = std::make_shared<peer_channels>(address);
  }
}

void peer_client::ClosePeer(member_id peer) { peers_.erase(peer); }

bool peer_client::IsReady(member_id peer, bool is_long) const {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return false;
  const peer_channels& row = *found->second;
  const bool is_reachable = row.for_short.connection->GetState(false) == GRPC_CHANNEL_READY;
  if (!is_long || !row.for_long) return is_reachable;
  // The channel for long work may still be closed while the one for short work shows that the
  // peer is reachable. A call then opens the channel and waits until it is open.
  const grpc_connectivity_state state = row.for_long->connection->GetState(true);
  return state == GRPC_CHANNEL_READY ||
         (is_reachable && (state == GRPC_CHANNEL_IDLE || state == GRPC_CHANNEL_CONNECTING));
}

bool peer_client::SendAttempt(exchange_id exchange, const attempt_head& head) {
  const auto row = exchanges_.Find(exchange);
  if (stopped_ || row == nullptr || !IsReady(head.target, head.is_long) ||
      attempts_.contains(head.id) || !row->body->Rewind()) {
    return false;
  }
  auto stream = std::make_shared<attempt_stream>(*this, events_, counters_, row, head);
  attempts_.emplace(head.id, stream);
  ++counters_.attempts_sent;
  peer_channels& peer = *peers_[head.target];
  stream->Start(*(head.is_long ? peer.ForLong() : peer.for_short).stub);
  return true;
}

void peer_client::CancelAttempt(exchange_id /*exchange*/, const attempt_id& attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) found->second->Cancel();
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
  call->request.set_known_version(known_version);
  call->channels = found->second;
  call->done = std::move(done);
  ++open_fetches_;
  call->channels->ForLong().stub->async()->FetchConfiguration(
      &call->context, &call->request, &call->reply, [this, call](const grpc::Status& status) {
        PostToLoop([this, call, status] {
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
