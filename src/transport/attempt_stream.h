#pragma once

#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>

#include <cstddef>
#include <memory>

#include "proto/peer.grpc.pb.h"
#include "src/base/strong_id.h"
#include "src/calls/attempt_head.h"
#include "src/transport/exchange.h"
#include "src/transport/owner_report.h"
#include "src/transport/peer_counters.h"

namespace bronzeroute {

class peer_client;
class transport_events;

/// Entry side of one attempt: a gRPC stream to the owner. gRPC's threads only post to the event
/// loop; everything else happens there. The object owns itself until gRPC reports `OnDone`.
class attempt_stream : public grpc::ClientBidiReactor<proto::AttemptFrame, proto::AnswerFrame>,
                       public std::enable_shared_from_this<attempt_stream> {
 public:
  attempt_stream(peer_client& owner, transport_events& events, peer_counters& counters,
                 std::shared_ptr<exchange> row, const attempt_head& head);

  /// Writes the head, with the body if it is short, and starts to read.
  void Start(proto::Peer::Stub& stub);
  /// Cancels the call; no more events follow.
  void Cancel();

  void OnWriteDone(bool ok) override;
  void OnReadDone(bool ok) override;
  void OnDone(const grpc::Status& status) override;

 private:
  void Read();
  void Release();
  void HandleWritten(bool ok);
  void HandleRead(bool ok);
  void HandleDone();
  void FillBody();
  void WriteBody();
  void ProcessFrame();
  /// The owner's state as reported by the last frame.
  owner_report Report() const;
  void PassBody();
  void EndResponse(bool complete, const owner_report& report);

  peer_client& owner_;
  transport_events& events_;
  peer_counters& counters_;
  std::shared_ptr<exchange> row_;
  const attempt_head head_;
  grpc::ClientContext context_;
  std::shared_ptr<attempt_stream> self_;

  proto::AttemptFrame outgoing_;
  bool writing_ = false;
  bool all_written_ = false;
  bool admitted_ = false;

  proto::AnswerFrame incoming_;
  // Bytes of the body of `incoming_` that were appended to the pipe.
  std::size_t passed_ = 0;
  bool passing_ = false;
  // Whether the gRPC hold is in place: further reads and writes may be started, and gRPC does
  // not call `OnDone` until the hold is removed.
  bool held_ = false;
  std::shared_ptr<response_stream> response_;
  // The attempt's last event was reported, or the attempt was cancelled.
  bool finished_ = false;
};

}  // namespace bronzeroute
