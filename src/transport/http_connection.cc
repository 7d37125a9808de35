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
constexpr unsigned kHttp11 = 11;

std::string Text(boost::beast::string_view from) { return {from.data(), from.size()}; }

bool IsBodiless(int status) { return status / 100 == 1 || status == 204 || status == 304; }

}  // namespace

http_connection::http_connection(boost::asio::ip::tcp::socket socket, http_server& server)
    : socket_(std::move(socket)), server_(&server) {}

void http_connection::Start() {
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  NextRequest();
  Parse();
}

void http_connection::NextRequest() {
  phase_ = phase::kIdle;
  row_ = nullptr;
  writer_ = nullptr;
  response_started_ = false;
  written_ = false;
  deadline_ = MonotonicNow() + server_->limits().idle_time;
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
        if (reader_.buffer().size() == 0) {
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
      case phase::kBody:
        if (!ParseBody()) return;
        break;
      case phase::kAwaitResponse:
        if (!written_) {
          Read();
          return;
        }
        if (!keep_alive_ || close_when_idle_) {
          Close();
          return;
        }
        NextRequest();
        break;
    }
  }
}

bool http_connection::ParseHead() {
  switch (reader_.ReadHead()) {
    case internal::read_step::kDone:
      phase_ = phase::kBody;
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
  const auto row = row_;
  switch (reader_.ReadBody(row->body.get())) {
    case internal::read_step::kDone:
      phase_ = phase::kAwaitResponse;
      row->body->End();
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
  row_ = std::make_shared<exchange>();
  row_->method = Text(message.method_string());
  row_->path = Text(message.target());
  for (const auto& field : message) {
    row_->headers.emplace_back(Text(field.name_string()), Text(field.value()));
    if (field.name() == http::field::host) row_->host = Text(field.value());
  }
  if (!reader_.message().chunked()) {
    const auto length = reader_.message().content_length();
    row_->content_length = length.has_value() ? *length : 0;
  }
  row_->body = std::make_shared<byte_pipe>(kPipeBytes, kKeptBodyBytes);
  row_->body->SetWriter([weak = weak_from_this()] {
    const auto self = weak.lock();
    // The parser itself may have made room; it then continues without this call.
    if (self != nullptr && !self->closed_ && self->phase_ == phase::kBody && !self->reading_) {
      PostToLoop([self] {
        if (self->phase_ == phase::kBody && !self->reading_) self->Parse();
      });
    }
  });
  keep_alive_ = message.keep_alive();
  is_head_ = message.method() == http::verb::head;
  is_old_client_ = message.version() < kHttp11;
  is_unframed_ = false;
  if (!reader_.message().is_done() &&
      absl::EqualsIgnoreCase(Text(message[http::field::expect]), "100-continue")) {
    // These few bytes fit into the socket buffer; a failure is detected by the next read.
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                       ignored);
  }
  server_->handler().OnRequest(shared_from_this(), row_);
}

void http_connection::RejectHead() {
  const auto& error = reader_.error();
  error_kind kind = error_kind::kBadHeader;
  if (error == http::error::header_limit) kind = error_kind::kFieldTooLarge;
  if (error == http::error::body_limit) kind = error_kind::kBodyTooLarge;
  row_ = std::make_shared<exchange>();
  row_->body = std::make_shared<byte_pipe>(0);
  row_->body->Discard();
  phase_ = phase::kAwaitResponse;
  keep_alive_ = false;
  http_response_message response = TextResponse(ErrorResponseFor(kind).http_status,
                                                "application/json", ErrorBody(kind, {}, 0));
  response.headers.emplace_back("Bronzeroute-Error", std::string(ErrorResponseFor(kind).name));
  SendResponse(response);
}

void http_connection::SendResponse(const http_response_message& response) {
  if (closed_ || row_ == nullptr || response_started_) return;
  DropRequestBody();
  WriteResponse(response);
}

void http_connection::RelayResponse(const http_response_message& response) {
  if (closed_ || row_ == nullptr || response_started_) return;
  WriteResponse(response);
}

void http_connection::DropRequestBody() {
  row_->body->Discard();
  if (phase_ == phase::kBody) deadline_ = MonotonicNow() + kDropTime;
}

void http_connection::WriteResponse(const http_response_message& response) {
  response_started_ = true;
  writer::message message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.status));
  bool has_length = false;
  for (const auto& [name, value] : response.headers) {
    has_length = has_length || absl::EqualsIgnoreCase(name, "Content-Length");
    message.insert(name, value);
  }
  const bool has_body = !is_head_ && !IsBodiless(response.status);
  if (!has_length && has_body) {
    if (response.body == nullptr) {
      message.set(http::field::content_length, "0");
    } else if (is_old_client_) {
      is_unframed_ = true;
      keep_alive_ = false;
    } else {
      message.chunked(true);
    }
  }
  // A response with body headers but without a body is the last one on its connection: some
  // clients read the next response as that body.
  if (is_head_ || response.status == 304 || server_->closing()) keep_alive_ = false;
  message.keep_alive(keep_alive_);
  writer_ = std::make_shared<writer>(weak_from_this(), socket_, std::move(message),
                                     has_body ? response.body : nullptr,
                                     [weak = weak_from_this()](writer::end how) {
                                       if (const auto self = weak.lock()) self->OnWritten(how);
                                     });
  if (!has_body) writer_->WriteOnlyHead();
  writer_->Start();
}

void http_connection::OnWritten(writer::end how) {
  if (closed_) return;
  if (how == writer::end::kBroken) {
    OnClientDisconnected();
    return;
  }
  if (how == writer::end::kTruncated && !writer_->wrote_any()) {
    response_started_ = false;
    writer_ = nullptr;
    server_->handler().OnNothingWritten(*row_);
    return;
  }
  if (how == writer::end::kTruncated && is_unframed_) {
    Abort();
    return;
  }
  written_ = true;
  if (!row_->body->discarding()) DropRequestBody();
  server_->handler().OnResponseEnded(*row_);
  if (how == writer::end::kTruncated) {
    // The client detects the truncation by the unmet Content-Length or the missing last chunk.
    // An orderly close still delivers the bytes sent before.
    Close();
    return;
  }
  if (!keep_alive_ || close_when_idle_) {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    if (phase_ == phase::kAwaitResponse) {
      Close();
      return;
    }
  }
  // If the request body has not ended yet, its rest is dropped first.
  if (phase_ == phase::kAwaitResponse || !reading_) Parse();
}

void http_connection::Abort() {
  if (closed_) return;
  // A reset also shows the truncation to a client whose response has no length.
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  const auto row = row_;
  Close();
  if (row != nullptr && !written_) server_->handler().OnResponseEnded(*row);
}

void http_connection::OnClientDisconnected() {
  const auto row = row_;
  const bool is_open = row != nullptr && !written_;
  Close();
  if (!is_open) return;
  row->body->Fail();
  if (server_ != nullptr) server_->handler().OnClientDisconnected(*row);
}

void http_connection::CloseWhenIdle() {
  close_when_idle_ = true;
  keep_alive_ = false;
  // A request may be in flight, in particular on a connection that was just accepted.
  if (phase_ == phase::kIdle) {
    deadline_ = std::min(deadline_, MonotonicNow() + kLastRequestTime);
  }
}

void http_connection::Abandon() {
  if (row_ != nullptr) row_->body->Discard();
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
  const bool is_waiting = phase_ == phase::kIdle || phase_ == phase::kHead;
  const bool is_dropping = phase_ == phase::kBody && response_started_ && written_;
  if (is_waiting || is_dropping) Close();
}

}  // namespace bronzeroute
