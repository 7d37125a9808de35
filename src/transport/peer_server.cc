#include "src/transport/peer_server.h"

#include <absl/strings/str_cat.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <chrono>
#include <utility>

#include "proto/peer.grpc.pb.h"
#include "src/transport/absl_text.h"
#include "src/transport/attempt_reactor.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange_table.h"
#include "src/transport/http_address.h"
#include "src/transport/peer_window.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {
namespace {

// Peers ping every 5 s during calls; gRPC's default minimum interval would close their
// connections.
constexpr int kMinPingIntervalMs = 1000;
// Well above the largest frame: a body of 64 KiB and headers of at most 32 KiB.
constexpr int kMaxFrameBytes = 1024 * 1024;

}  // namespace

class peer_server::service : public proto::Peer::CallbackService {
 public:
  explicit service(peer_server& owner) : owner_(owner) {}

  grpc::ServerBidiReactor<proto::AttemptFrame, proto::AnswerFrame>* Forward(
      grpc::CallbackServerContext* /*context*/) override {
    const auto reactor = std::make_shared<attempt_reactor>(owner_);
    reactor->Start();
    return reactor.get();
  }

  grpc::ServerUnaryReactor* FetchConfiguration(grpc::CallbackServerContext* context,
                                               const proto::ConfigurationRequest* request,
                                               proto::ConfigurationReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    PostToLoop([this, request, reply, reactor] {
      if (owner_.snapshot_source_ && !owner_.stopped_) {
        reply->set_snapshot(owner_.snapshot_source_(request->known_version()));
      }
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

 private:
  peer_server& owner_;
};

peer_server::peer_server(exchange_table& exchanges, transport_events& events,
                         peer_counters& counters)
    : exchanges_(exchanges),
      events_(events),
      counters_(counters),
      service_(std::make_unique<service>(*this)) {}

peer_server::~peer_server() { Stop(); }

absl::Status peer_server::Start(std::string_view address) {
  const auto parsed = ParseAddress(address);
  if (!parsed.ok()) return parsed.status();
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(std::string(address), grpc::InsecureServerCredentials(), &port);
  // With port reuse, two daemons could share a port and each would receive half of the
  // attempts.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                             kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, kWindowBytes);
  builder.SetMaxReceiveMessageSize(kMaxFrameBytes);
  builder.RegisterService(service_.get());
  server_ = builder.BuildAndStart();
  if (server_ == nullptr || port == 0) {
    server_ = nullptr;
    return absl::UnavailableError(absl::StrCat("cannot listen on ", AbslText(address),
                                               ": the address is in use or not local"));
  }
  return absl::OkStatus();
}

void peer_server::Stop() {
  if (stopped_) return;
  RunOnLoop([this] {
    stopped_ = true;
    const auto rows = rows_;
    for (const auto& [id, reactor] : rows) reactor->Abort();
  });
  if (server_ != nullptr) {
    server_->Shutdown(std::chrono::system_clock::now());
    server_->Wait();
  }
  // Runs after the last task that gRPC's threads posted.
  RunOnLoop([this] { rows_.clear(); });
  server_ = nullptr;
}

std::shared_ptr<attempt_reactor> peer_server::Find(exchange_id exchange) const {
  const auto found = rows_.find(exchange);
  return found == rows_.end() ? nullptr : found->second;
}

void peer_server::Add(const std::shared_ptr<attempt_reactor>& reactor,
                      const std::shared_ptr<exchange>& row) {
  exchanges_.Add(row);
  rows_.emplace(row->id, reactor);
  ++counters_.attempts_received;
}

void peer_server::Announce(const exchange& row, const attempt_head& head) {
  if (!stopped_) events_.OnPeerAttempt(row.id, head, MonotonicNow());
}

void peer_server::ReportEntryDisconnected(const exchange& row, const attempt_id& attempt) {
  if (!stopped_) events_.OnEntryDisconnected(row.id, attempt, MonotonicNow());
}

void peer_server::Forget(exchange_id exchange) {
  rows_.erase(exchange);
  exchanges_.Remove(exchange);
}

}  // namespace bronzeroute
