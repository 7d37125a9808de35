#include "src/transport/attempt_reactor.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "src/transport/event_loop.h"
#include "src/transport/peer_codec.h"
#include "src/transport/peer_server.h"

namespace bronzeroute {

void attempt_reactor::Start() {
  self_ = shared_from_this();
  StartRead(&incoming_);
}

void attempt_reactor::OnReadDone(bool ok) {
  PostToLoop([this, ok, received = MonotonicNow()] { HandleRead(ok, received); });
}

void attempt_reactor::OnWriteDone(bool ok) {
  PostToLoop([this, ok] { HandleWritten(ok); });
}

void attempt_reactor::OnCancel() {
  is_cancelled_ = true;
  PostToLoop([this] { HandleCancel(); });
}

// gRPC calls this after all other callbacks, so this task runs after theirs.
void attempt_reactor::OnDone() {
  PostToLoop([this] { HandleDone(); });
}

void attempt_reactor::HandleRead(bool ok, time_point received) {
  if (ended_) return;
  if (!ok) {
    // The entry closes its side only by cancelling. Without a first frame there is no attempt
    // to end.
    if (row_ == nullptr) End(grpc::Status(grpc::StatusCode::CANCELLED, "no first frame sent"));
    return;
  }
  if (row_ == nullptr) {
    if (is_cancelled_) {
      End(grpc::Status(grpc::StatusCode::CANCELLED, "cancelled before it was handled"));
      return;
    }
    if (!incoming_.has_head()) {
      End(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT,
                       "the first frame of an attempt has no head; a head is required"));
      return;
    }
    row_ = std::make_shared<exchange>();
    row_->body = std::make_shared<byte_pipe>(kPipeBytes, kKeptBodyBytes);
    row_->body->SetWriter([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->PassBody();
    });
    ReadHead(incoming_, received, head_, *row_);
    owner_.Add(shared_from_this(), row_);
    passing_ = true;
    PassBody();
    owner_.Announce(*row_, head_);
    return;
  }
  if (FromProto(incoming_.id()) != head_.id) {
    owner_.CountMismatch();
    StartRead(&incoming_);
    return;
  }
  passing_ = true;
  PassBody();
}

// Appends the frame's body to the request's pipe as room allows. The next frame is read once
// all of it was appended.
void attempt_reactor::PassBody() {
  if (!passing_ || ended_) return;
  while (passed_ < incoming_.body().size()) {
    const std::string_view rest = std::string_view{incoming_.body()}.substr(passed_);
    const std::size_t count = std::min(rest.size(), row_->body->Room());
    if (count == 0) return;
    passed_ += count;
    row_->body->Append(rest.substr(0, count));
    // The reader may have made room at once and called this function again, which then has
    // processed the rest of the frame.
    if (!passing_ || ended_) return;
  }
  passing_ = false;
  passed_ = 0;
  if (incoming_.last()) {
    row_->body->End();
  } else {
    StartRead(&incoming_);
  }
}

void attempt_reactor::Admit(const load_hint& hint) {
  proto::AnswerFrame frame;
  frame.set_admitted(true);
  SetHint(hint, frame);
  Send(std::move(frame));
}

void attempt_reactor::Refuse(error_kind kind, int recorded_status, const load_hint& hint) {
  if (last_queued_) return;
  proto::AnswerFrame frame;
  frame.mutable_refusal()->set_kind(static_cast<std::uint32_t>(kind));
  frame.mutable_refusal()->set_recorded_status(recorded_status);
  if (kind == error_kind::kWrongIncarnation && head_.target == owner_.self().id) {
    frame.mutable_refusal()->set_later_run(owner_.self().incarnation.value);
  }
  SetHint(hint, frame);
  outcome_sent_ = true;
  Send(std::move(frame));
  last_queued_ = true;
}

void attempt_reactor::Relay(const attempt_id& attempt) {
  const auto response = row_->response;
  if (response == nullptr || response->attempt != attempt || attempt != head_.id) {
    owner_.CountMismatch();
    return;
  }
  if (relayed_ != nullptr || last_queued_) return;
  relayed_ = response;
  proto::AnswerFrame frame;
  frame.mutable_head()->set_status(response->status);
  WriteHeaders(response->headers, *frame.mutable_head());
  response->body->SetReader([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Write();
  });
  Send(std::move(frame));
}

void attempt_reactor::FinishResponse(bool complete, const load_hint& hint) {
  if (ending_.has_value() || last_queued_) return;
  outcome_sent_ = true;
  ending_ = ending{complete && relayed_ != nullptr, hint};
  Write();
}

void attempt_reactor::Send(proto::AnswerFrame frame) {
  if (last_queued_ || ended_) return;
  queued_.push_back(std::move(frame));
  Write();
}

// Starts the next write: queued frames first, then the response body, then the last frame.
void attempt_reactor::Write() {
  if (writing_ || ended_) return;
  if (!queued_.empty()) {
    outgoing_ = std::move(queued_.front());
    queued_.pop_front();
  } else if (last_queued_) {
    End(grpc::Status::OK);
    return;
  } else if (!FillResponse()) {
    return;
  }
  *outgoing_.mutable_id() = ToProto(head_.id);
  outgoing_.set_owner_incarnation(head_.target_incarnation.value);
  outgoing_.set_config_version(owner_.config_version());
  writing_ = true;
  StartWrite(&outgoing_);
}

// Fills `outgoing_` with the next part of the response; false if there is none yet.
bool attempt_reactor::FillResponse() {
  const byte_pipe* const body = relayed_ == nullptr ? nullptr : relayed_->body.get();
  const bool has_bytes = body != nullptr && body->Available() > 0;
  const bool is_over = ending_.has_value() && !has_bytes;
  if (!has_bytes && !is_over) return false;
  outgoing_.Clear();
  if (has_bytes) {
    std::string& bytes = *outgoing_.mutable_body();
    bytes.resize(std::min(body->Available(), kFrameBytes));
    // The pipe's writer may append bytes and call `Write` again; `writing_` makes that call
    // return.
    writing_ = true;
    relayed_->body->Take(bytes.data(), bytes.size());
    writing_ = false;
  }
  if (ending_.has_value() && (body == nullptr || body->Available() == 0)) {
    const bool complete = ending_->complete && body != nullptr && body->AtEnd();
    outgoing_.set_last(complete);
    outgoing_.set_cut(!complete);
    SetHint(ending_->hint, outgoing_);
    last_queued_ = true;
  }
  return true;
}

void attempt_reactor::HandleWritten(bool ok) {
  writing_ = false;
  if (ok) Write();
}

void attempt_reactor::HandleCancel() {
  OnEntryDisconnected();
  End(grpc::Status::CANCELLED);
}

void attempt_reactor::Abort() {
  outcome_sent_ = true;
  OnEntryDisconnected();
  End(grpc::Status(grpc::StatusCode::UNAVAILABLE, "the process is stopping"));
}

void attempt_reactor::End(const grpc::Status& status) {
  if (ended_) return;
  ended_ = true;
  Finish(status);
}

// Reports that the entry disconnected, unless the outcome of the attempt was sent to it before.
void attempt_reactor::OnEntryDisconnected() {
  if (row_ == nullptr) return;
  row_->body->Fail();
  if (relayed_ != nullptr) relayed_->body->Close();
  if (outcome_sent_) return;
  outcome_sent_ = true;
  owner_.ReportEntryDisconnected(*row_, head_.id);
}

void attempt_reactor::HandleDone() {
  const auto self = std::move(self_);
  OnEntryDisconnected();
  owner_.Forget(row_ == nullptr ? exchange_id{} : row_->id);
}

}  // namespace bronzeroute
