#include "src/transport/http_connection.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

#include "src/base/error_response.h"
#include "src/transport/error_body.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/http_request_handler.h"
#include "src/transport/http_server.h"

namespace bronzeroute {
namespace {

namespace http = boost::beast::http;

// Time for which the rest of a request body is read and dropped after an early response, so
// that the client receives the response instead of a reset.
constexpr auto kDropTime = std::chrono::seconds(2);
// Time that an idle connection stays open when it is to be closed, for a request in flight.
constexpr auto kLastRequestTime = std::chrono::milliseconds(200);
// Bytes that a client may send ahead of its next request before reading stops.
constexpr std::size_t kAheadBytes = std::size_t{64} * 1024;
// Requests of one connection that are handled at the same time. Each response that waits for
// its turn holds up to kPipeBytes, so that this allows 1 MiB per connection.
constexpr std::size_t kMaxConcurrent = 8;
// Bytes of unanswered requests of one connection from which on no further request is read.
constexpr std::size_t kMaxPendingBytes = std::size_t{128} * 1024;
constexpr unsigned kHttp11 = 11;

std::string Text(boost::beast::string_view from) { return {from.data(), from.size()}; }

bool IsBodiless(int status) { return status / 100 == 1 || status == 204 || status == 304; }

}  // namespace

http_connection::http_connection(boost::asio::ip::tcp::socket socket, http_server& server)
    : socket_(std::move(socket)), server_(&server) {}

void http_connection::Start() {
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  deadline_ = MonotonicNow() + server_->limits().idle_time;
  Parse();
}

void http_connection::Read() {
  if (reading_ || closed_ || reader_.buffer().size() >= kAheadBytes) return;
  reading_ = true;
  // Bytes are read only once they have arrived. A read that is pending while the buffer is
  // parsed would write to a place that is no longer the end of the buffer, as consuming its
  // last byte resets its positions. An idle connection also needs no buffer this way.
  if (reader_.buffer().size() == 0) reader_.buffer().shrink_to_fit();
  socket_.async_wait(boost::asio::socket_base::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->reading_ = false;
                       self->OnReadable(error);
                     });
}

void http_connection::OnReadable(boost::system::error_code error) {
  if (closed_) return;
  std::size_t count = 0;
  if (!error) {
    count = socket_.read_some(reader_.buffer().prepare(internal::kReadBytes), error);
  }
  if (error == boost::asio::error::would_block) {
    Read();
    return;
  }
  if (error) {
    OnClientDisconnected();
    return;
  }
  reader_.buffer().commit(count);
  Parse();
}

void http_connection::Parse() {
  while (!closed_) {
    switch (phase_) {
      case phase::kIdle:
        if (reader_.buffer().size() == 0 || !MayReadNext()) {
          Read();
          return;
        }
        reader_.Begin(server_->limits().head_bytes, server_->limits().body_bytes);
        phase_ = phase::kHead;
        deadline_ = MonotonicNow() + server_->limits().head_time;
        break;
      case phase::kHead:
        if (!ParseHead()) return;
        break;
      case phase::kHeld:
        if (pending_.size() > 1) {
          Read();
          return;
        }
        PassOn();
        break;
      case phase::kBody:
        if (!ParseBody()) return;
        break;
      case phase::kDrop:
        reader_.buffer().consume(reader_.buffer().size());
        Read();
        return;
    }
  }
}

// While the server closes, a request is read only if no other is unanswered, so that a client
// that always sends ahead cannot keep its connection open.
bool http_connection::MayReadNext() const {
  if (reads_no_more_) return false;
  if (pending_.empty()) return true;
  std::size_t bytes = 0;
  for (const request& each : pending_) bytes += each.bytes;
  return pending_.back().may_be_followed && !server_->closing() &&
         pending_.size() < kMaxConcurrent && bytes < kMaxPendingBytes;
}

bool http_connection::ParseHead() {
  switch (reader_.ReadHead()) {
    case internal::read_step::kDone:
      ProcessHead();
      return !closed_;
    case internal::read_step::kBad:
      RejectHead();
      return false;
    default:
      Read();
      return false;
  }
}

bool http_connection::ParseBody() {
  const auto row = pending_.back().row;
  switch (reader_.ReadBody(row->body.get())) {
    case internal::read_step::kDone:
      phase_ = phase::kIdle;
      row->body->End();
      // A response that was written before the body was read is that of the oldest request.
      if (!closed_ && !pending_.empty() && pending_.front().written) EndFront();
      return !closed_;
    case internal::read_step::kBad:
      OnClientDisconnected();
      return false;
    case internal::read_step::kNeedsBytes:
      Read();
      return false;
    case internal::read_step::kNeedsRoom:
      break;
  }
  return false;
}

void http_connection::ProcessHead() {
  const auto& message = reader_.message().get();
  request& fresh = pending_.emplace_back();
  const auto row = std::make_shared<exchange>();
  fresh.row = row;
  row->method = Text(message.method_string());
  row->path = Text(message.target());
  fresh.bytes = row->path.size();
  bool is_conditional = false;
  for (const auto& field : message) {
    row->headers.emplace_back(Text(field.name_string()), Text(field.value()));
    fresh.bytes += field.name_string().size() + field.value().size();
    if (field.name() == http::field::host) row->host = Text(field.value());
    is_conditional = is_conditional || field.name() == http::field::if_none_match ||
                     field.name() == http::field::if_modified_since;
  }
  if (!reader_.message().chunked()) {
    const auto length = reader_.message().content_length();
    row->content_length = length.has_value() ? *length : 0;
  }
  row->body = std::make_shared<byte_pipe>(kPipeBytes, kKeptBodyBytes);
  row->body->SetWriter([weak = weak_from_this()] {
    const auto self = weak.lock();
    // The parser itself may have made room; it then continues without this call.
    if (self != nullptr && !self->closed_ && self->phase_ == phase::kBody && !self->reading_) {
      PostToLoop([self] {
        if (self->phase_ == phase::kBody && !self->reading_) self->Parse();
      });
    }
  });
  fresh.is_head = message.method() == http::verb::head;
  fresh.is_old_client = message.version() < kHttp11;
  // The response to HEAD is the last one on its connection, see WriteResponse.
  fresh.keep_alive = message.keep_alive() && !fresh.is_head;
  fresh.expects_continue =
      !reader_.message().is_done() &&
      absl::EqualsIgnoreCase(Text(message[http::field::expect]), "100-continue");
  // A longer body, or one of unknown length, is not read whole before the request is passed on.
  const bool has_short_body =
      row->content_length.has_value() && *row->content_length <= kKeptBodyBytes;
  if (has_short_body) fresh.bytes += *row->content_length;
  const bool is_concurrent = has_short_body && !fresh.is_old_client &&
                             !fresh.expects_continue &&
                             server_->handler().RunsConcurrently(*row);
  // The response to a conditional request may be a 304, which closes the connection.
  fresh.may_be_followed = is_concurrent && fresh.keep_alive && !is_conditional;
  phase_ = phase::kHeld;
  if (is_concurrent) PassOn();
}

void http_connection::PassOn() {
  request& last = pending_.back();
  last.passed_on = true;
  last.row->is_pipelined = pending_.size() > 1;
  phase_ = phase::kBody;
  if (last.expects_continue) {
    // These few bytes fit into the socket buffer; a failure is detected by the next read.
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                       ignored);
  }
  server_->handler().OnRequest(shared_from_this(), last.row);
}

void http_connection::RejectHead() {
  const auto& error = reader_.error();
  error_kind kind = error_kind::kBadHeader;
  if (error == http::error::header_limit) kind = error_kind::kFieldTooLarge;
  if (error == http::error::body_limit) kind = error_kind::kBodyTooLarge;
  request& rejected = pending_.emplace_back();
  const auto row = std::make_shared<exchange>();
  rejected.row = row;
  rejected.keep_alive = false;
  row->body = std::make_shared<byte_pipe>(0);
  row->body->Discard();
  phase_ = phase::kIdle;
  reads_no_more_ = true;
  http_response_message response = TextResponse(ErrorResponseFor(kind).http_status,
                                                "application/json", ErrorBody(kind, {}, 0));
  response.headers.emplace_back("Bronzeroute-Error", std::string(ErrorResponseFor(kind).name));
  SendResponse(*row, response);
  // Detects that the client disconnects while responses are pending.
  Read();
}

http_connection::request* http_connection::Find(const exchange& row) {
  const auto found = std::ranges::find_if(
      pending_, [&row](const request& each) { return each.row.get() == &row; });
  return found == pending_.end() ? nullptr : &*found;
}

bool http_connection::HasBegunResponse(const exchange& row) const {
  return std::ranges::any_of(pending_, [&row](const request& each) {
    return each.row.get() == &row && each.response_started;
  });
}

void http_connection::SendResponse(const http_response_message& response) {
  if (!pending_.empty()) SendResponse(*pending_.back().row, response);
}

void http_connection::SendResponse(const exchange& row, const http_response_message& response) {
  request* const to = Find(row);
  if (closed_ || to == nullptr || to->response_started) return;
  DropRequestBody(*to);
  Respond(*to, response);
}

void http_connection::RelayResponse(const exchange& row,
                                    const http_response_message& response) {
  request* const to = Find(row);
  if (closed_ || to == nullptr || to->response_started) return;
  Respond(*to, response);
}

void http_connection::DropRequestBody(const request& of) {
  const bool is_read = phase_ != phase::kBody || &of != &pending_.back();
  of.row->body->Discard();
  if (!is_read) deadline_ = MonotonicNow() + kDropTime;
}

void http_connection::Respond(request& to, const http_response_message& response) {
  if (&to == &pending_.front()) {
    WriteResponse(to, response);
  } else {
    to.response = response;
  }
}

void http_connection::WriteResponse(request& to, const http_response_message& response) {
  to.response_started = true;
  if (to.row->body->discarding()) DropRequestBody(to);
  writer::message message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.status));
  bool has_length = false;
  for (const auto& [name, value] : response.headers) {
    has_length = has_length || absl::EqualsIgnoreCase(name, "Content-Length");
    message.insert(name, value);
  }
  const bool has_body = !to.is_head && !IsBodiless(response.status);
  if (!has_length && has_body) {
    if (response.body == nullptr) {
      message.set(http::field::content_length, "0");
    } else if (to.is_old_client) {
      to.is_unframed = true;
      to.keep_alive = false;
    } else {
      message.chunked(true);
    }
  }
  // A response with body headers but without a body is the last one on its connection: some
  // clients read the next response as that body.
  if (to.is_head || response.status == 304) to.keep_alive = false;
  const bool is_last = pending_.size() == 1;
  if (is_last && (server_->closing() || reads_no_more_)) to.keep_alive = false;
  std::list<request> behind;
  if (!to.keep_alive) {
    reads_no_more_ = true;
    behind.splice(behind.end(), pending_, std::next(pending_.begin()), pending_.end());
    if (!behind.empty() || phase_ == phase::kHead) phase_ = phase::kIdle;
  }
  message.keep_alive(to.keep_alive);
  writer_ = std::make_shared<writer>(weak_from_this(), socket_, std::move(message),
                                     has_body ? response.body : nullptr,
                                     [weak = weak_from_this()](writer::end how) {
                                       if (const auto self = weak.lock()) self->OnWritten(how);
                                     });
  if (!has_body) writer_->WriteOnlyHead();
  // A body that has failed already ends the writer in this call.
  const auto started = writer_;
  started->Start();
  Cancel(behind);
}

void http_connection::OnWritten(writer::end how) {
  if (closed_) return;
  if (how == writer::end::kBroken) {
    OnClientDisconnected();
    return;
  }
  request& front = pending_.front();
  const auto row = front.row;
  if (how == writer::end::kTruncated && !writer_->wrote_any()) {
    front.response_started = false;
    writer_ = nullptr;
    server_->handler().OnNothingWritten(*row);
    return;
  }
  if (how == writer::end::kTruncated && front.is_unframed) {
    Abort(*row);
    return;
  }
  front.written = true;
  if (!row->body->discarding()) DropRequestBody(front);
  server_->handler().OnResponseEnded(*row);
  if (closed_) return;
  if (how == writer::end::kTruncated) {
    // The client detects the truncation by the unmet Content-Length or the missing last chunk.
    // An orderly close still delivers the bytes sent before.
    CloseAfterResponse();
    return;
  }
  const bool is_body_open = phase_ == phase::kBody && pending_.size() == 1;
  if (!front.keep_alive || (close_when_idle_ && pending_.size() == 1)) {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    front.keep_alive = false;
    reads_no_more_ = true;
  }
  if (!is_body_open) EndFront();
  // If the request body has not ended yet, its rest is dropped first.
  if (!closed_ && (!is_body_open || !reading_)) Parse();
}

void http_connection::EndFront() {
  const bool is_last = !pending_.front().keep_alive;
  pending_.pop_front();
  writer_ = nullptr;
  if (is_last || (pending_.empty() && (reads_no_more_ || close_when_idle_))) {
    CloseAfterResponse();
    return;
  }
  if (!pending_.empty()) {
    request& next = pending_.front();
    if (next.response) WriteResponse(next, *std::exchange(next.response, std::nullopt));
  } else if (phase_ == phase::kIdle) {
    deadline_ = MonotonicNow() + server_->limits().idle_time;
  }
}

void http_connection::CloseAfterResponse() {
  std::list<request> unanswered = std::exchange(pending_, {});
  if (unanswered.empty() && reader_.buffer().size() == 0) {
    Close();
    return;
  }
  // The client sends ahead. Bytes that arrive at a closed socket cause a reset, by which the
  // client can lose responses that it has not read yet.
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  writer_ = nullptr;
  phase_ = phase::kDrop;
  deadline_ = MonotonicNow() + kDropTime;
  Cancel(unanswered);
  if (!closed_) Parse();
}

void http_connection::Abort() {
  if (closed_) return;
  if (!pending_.empty()) {
    Abort(*pending_.back().row);
    return;
  }
  Close();
}

void http_connection::Abort(const exchange& row) {
  if (closed_) return;
  // A reset also shows the truncation to a client whose response has no length.
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  std::list<request> unanswered = std::exchange(pending_, {});
  Close();
  std::list<request> aborted;
  for (auto each = unanswered.begin(); each != unanswered.end(); ++each) {
    if (each->row.get() != &row) continue;
    aborted.splice(aborted.end(), unanswered, each);
    break;
  }
  http_server* const server = server_;
  if (!aborted.empty() && !aborted.front().written && server != nullptr) {
    server->handler().OnResponseEnded(*aborted.front().row);
  }
  Cancel(unanswered);
}

void http_connection::OnClientDisconnected() {
  std::list<request> unanswered = std::exchange(pending_, {});
  Close();
  Cancel(unanswered);
}

void http_connection::Cancel(const std::list<request>& unanswered) {
  for (const request& each : unanswered) {
    if (each.written) continue;
    each.row->body->Fail();
    if (each.passed_on && server_ != nullptr) {
      server_->handler().OnClientDisconnected(*each.row);
    }
  }
}

void http_connection::CloseWhenIdle() {
  close_when_idle_ = true;
  // A request may be in flight, in particular on a connection that was just accepted.
  if (phase_ == phase::kIdle && pending_.empty()) {
    deadline_ = std::min(deadline_, MonotonicNow() + kLastRequestTime);
  }
}

void http_connection::Abandon() {
  for (const request& each : pending_) each.row->body->Discard();
  closed_ = true;
  server_ = nullptr;
  if (writer_ != nullptr) writer_->Abandon();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void http_connection::Close() {
  if (closed_) return;
  closed_ = true;
  if (writer_ != nullptr) writer_->Abandon();
  boost::system::error_code ignored;
  socket_.close(ignored);
  server_->Forget(*this);
}

void http_connection::Tick(time_point now) {
  if (closed_ || now < deadline_) return;
  if (phase_ == phase::kHead && !pending_.empty()) {
    // The requests before the late one are still answered.
    phase_ = phase::kIdle;
    reads_no_more_ = true;
    return;
  }
  const bool is_waiting = phase_ == phase::kHead || phase_ == phase::kDrop ||
                          (phase_ == phase::kIdle && pending_.empty());
  const bool is_dropping =
      phase_ == phase::kBody && !pending_.empty() && pending_.back().written;
  if (is_waiting || is_dropping) Close();
}

}  // namespace bronzeroute
