#include "src/transport/attempt_stream.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "src/transport/event_loop.h"
#include "src/transport/peer_client.h"
#include "src/transport/peer_codec.h"
#include "src/transport/response_head.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {
namespace {

// False for a head that the owner should not have relayed.
bool IsRelayable(const proto::AnswerHead& head) {
  return IsFinalStatus(head.status()) &&
         std::ranges::all_of(head.headers(), [](const proto::Header& field) {
           return IsValidField(field.name(), field.value());
         });
}

}  // namespace

attempt_stream::attempt_stream(peer_client& owner, transport_events& events,
                               peer_counters& counters, std::shared_ptr<exchange> row,
                               const attempt_head& head)
    : owner_(owner), events_(events), counters_(counters), row_(std::move(row)), head_(head) {}

void attempt_stream::Start(proto::Peer::Stub& stub) {
  self_ = shared_from_this();
  stub.async()->Forward(&context_, this);
  *outgoing_.mutable_id() = ToProto(head_.id);
  WriteHead(head_, *row_, MonotonicNow(), *outgoing_.mutable_head());
  writing_ = true;
  if (!head_.is_long || row_->body->AtEnd()) FillBody();
  StartWrite(&outgoing_);
  // Without the hold, gRPC would call `OnDone` while the last frame still waits for room in the
  // pipe.
  AddHold();
  held_ = true;
  Read();
  StartCall();
}

void attempt_stream::Read() {
  if (held_) StartRead(&incoming_);
}

void attempt_stream::Release() {
  if (std::exchange(held_, false)) RemoveHold();
}

void attempt_stream::Cancel() {
  finished_ = true;
  if (response_ != nullptr) response_->body->Fail();
  context_.TryCancel();
  Release();
}

void attempt_stream::OnWriteDone(bool ok) {
  PostToLoop([this, ok] { HandleWritten(ok); });
}

void attempt_stream::OnReadDone(bool ok) {
  PostToLoop([this, ok] { HandleRead(ok); });
}

// gRPC calls this after all other callbacks, so this task runs after theirs.
void attempt_stream::OnDone(const grpc::Status& /*status*/) {
  PostToLoop([this] { HandleDone(); });
}

// Moves body bytes of at most one frame into `outgoing_`.
void attempt_stream::FillBody() {
  std::string& body = *outgoing_.mutable_body();
  body.resize(std::min(row_->body->Available(), kFrameBytes));
  row_->body->Take(body.data(), body.size());
  all_written_ = row_->body->AtEnd();
  outgoing_.set_last(all_written_);
}

void attempt_stream::HandleWritten(bool ok) {
  writing_ = false;
  if (ok) WriteBody();
}

void attempt_stream::WriteBody() {
  // Without the hold, gRPC may already have released the call.
  if (writing_ || all_written_ || finished_ || !admitted_ || !held_) return;
  // If the body failed, the caller disconnected; the exchange reports that and the attempt is
  // cancelled.
  if (row_->body->Available() == 0 && !row_->body->AtEnd()) return;
  outgoing_.Clear();
  *outgoing_.mutable_id() = ToProto(head_.id);
  // Taking bytes makes room, and the body's writer may call this function again at once;
  // `writing_` makes that call return.
  writing_ = true;
  FillBody();
  StartWrite(&outgoing_);
}

void attempt_stream::HandleRead(bool ok) {
  if (!ok) {
    Release();
    return;
  }
  if (FromProto(incoming_.id()) != head_.id ||
      incoming_.owner_incarnation() != head_.target_incarnation.value) {
    ++counters_.mismatched_frames;
  } else if (!finished_) {
    ProcessFrame();
    return;
  }
  Read();
}

owner_report attempt_stream::Report() const {
  owner_report report = ReportOf(incoming_);
  report.owner = head_.target;
  report.owner_incarnation = head_.target_incarnation;
  if (incoming_.refusal().later_run() != 0) {
    report.owner_incarnation = incarnation_id{incoming_.refusal().later_run()};
  }
  return report;
}

void attempt_stream::ProcessFrame() {
  const owner_report report = Report();
  if (incoming_.has_refusal()) {
    finished_ = true;
    events_.OnAttemptRefused(row_->id, head_.id,
                             ErrorKindFromNumber(incoming_.refusal().kind()),
                             incoming_.refusal().recorded_status(), report, MonotonicNow());
    Read();
    return;
  }
  if (incoming_.admitted() && !admitted_) {
    admitted_ = true;
    events_.OnAttemptAdmitted(row_->id, head_.id, report, MonotonicNow());
    if (finished_) return;
    row_->body->SetReader([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->WriteBody();
    });
    WriteBody();
  }
  if (incoming_.has_head() && response_ == nullptr && !IsRelayable(incoming_.head())) {
    ++counters_.mismatched_frames;
    EndResponse(false, report);
    context_.TryCancel();
    Read();
    return;
  }
  if (incoming_.has_head() && response_ == nullptr) {
    response_ = std::make_shared<response_stream>();
    response_->attempt = head_.id;
    response_->status = incoming_.head().status();
    response_->headers = ReadHeaders(incoming_.head());
    response_->body = std::make_shared<byte_pipe>(kPipeBytes);
    response_->body->SetWriter([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->PassBody();
    });
    row_->response = response_;
    events_.OnResponseHead(row_->id, head_.id, response_->status, report, MonotonicNow());
    if (finished_) return;
  }
  passed_ = 0;
  passing_ = true;
  PassBody();
}

// Appends the frame's body to the response's pipe as room allows. The next frame is read only
// after that, so that a slow caller slows the owner down.
void attempt_stream::PassBody() {
  if (!passing_ || finished_) return;
  if (response_ != nullptr) {
    while (passed_ < incoming_.body().size() && !response_->body->closed()) {
      const std::string_view rest = std::string_view{incoming_.body()}.substr(passed_);
      const std::size_t count = std::min(rest.size(), response_->body->Room());
      if (count == 0) return;
      passed_ += count;
      response_->body->Append(rest.substr(0, count));
      // The reader may have made room at once and called this function again, which then has
      // processed the rest of the frame.
      if (!passing_ || finished_) return;
    }
  }
  passing_ = false;
  if (incoming_.last() || incoming_.cut()) EndResponse(incoming_.last(), Report());
  Read();
}

void attempt_stream::EndResponse(bool complete, const owner_report& report) {
  finished_ = true;
  if (response_ == nullptr) {
    events_.OnAttemptLost(row_->id, head_.id, MonotonicNow());
    return;
  }
  if (complete) {
    response_->body->End();
  } else {
    response_->body->Fail();
  }
  events_.OnAttemptFinished(row_->id, head_.id, complete, report, MonotonicNow());
}

void attempt_stream::HandleDone() {
  const auto self = std::move(self_);
  owner_.Forget(head_.id);
  if (!finished_) EndResponse(false, {});
}

}  // namespace bronzeroute
