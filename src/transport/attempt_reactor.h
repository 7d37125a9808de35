#pragma once

#include <grpcpp/support/server_callback.h>

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "proto/peer.grpc.pb.h"
#include "src/base/error_kind.h"
#include "src/base/time.h"
#include "src/calls/attempt_head.h"
#include "src/routing/load_hint.h"
#include "src/transport/exchange.h"

namespace bronzeroute {

class peer_server;

/// Owner side of one attempt: a gRPC stream from the entry. gRPC's threads only post to the
/// event loop; everything else happens there. The object owns itself until gRPC reports
/// `OnDone`.
class attempt_reactor : public grpc::ServerBidiReactor<proto::AttemptFrame, proto::AnswerFrame>,
                        public std::enable_shared_from_this<attempt_reactor> {
 public:
  explicit attempt_reactor(peer_server& owner) : owner_(owner) {}

  /// Starts to read. May be called on any thread.
  void Start();

  void Admit(const load_hint& hint);
  void Refuse(error_kind kind, int recorded_status, const load_hint& hint);
  /// Relays the upstream's response to `attempt`; a response to any other attempt is dropped
  /// and counted.
  void Relay(const attempt_id& attempt);
  void FinishResponse(bool complete, const load_hint& hint);
  /// Ends the stream without a last frame; no more events follow.
  void Abort();

  void OnReadDone(bool ok) override;
  void OnWriteDone(bool ok) override;
  void OnCancel() override;
  void OnDone() override;

 private:
  /// `received` is when gRPC had the frame, which the loop may handle later.
  void HandleRead(bool ok, time_point received);
  void HandleWritten(bool ok);
  void HandleCancel();
  void HandleDone();
  void PassBody();
  void Send(proto::AnswerFrame frame);
  void Write();
  bool FillResponse();
  void End(const grpc::Status& status);
  void OnEntryDisconnected();

  peer_server& owner_;
  std::shared_ptr<attempt_reactor> self_;
  std::shared_ptr<exchange> row_;
  attempt_head head_;

  proto::AttemptFrame incoming_;
  std::size_t passed_ = 0;
  bool passing_ = false;

  std::deque<proto::AnswerFrame> queued_;
  proto::AnswerFrame outgoing_;
  bool writing_ = false;
  std::shared_ptr<response_stream> relayed_;
  // Set by `FinishResponse`: the last frame is sent after the response body.
  struct ending {
    bool complete;
    load_hint hint;
  };
  std::optional<ending> ending_;
  bool last_queued_ = false;
  bool ended_ = false;
  /// Set on a thread of gRPC, before the loop handles the cancellation.
  std::atomic<bool> is_cancelled_ = false;
  // The outcome of the attempt was sent to the entry, or the entry disconnected.
  bool outcome_sent_ = false;
};

}  // namespace bronzeroute
