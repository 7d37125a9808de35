#include "src/transport/upstream_attempt.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/field.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "src/calls/call_id_text.h"
#include "src/routing/load_report.h"
#include "src/transport/absl_text.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/http_address.h"
#include "src/transport/http_dialect.h"
#include "src/transport/response_stream.h"
#include "src/transport/socket_options.h"
#include "src/transport/transport_events.h"
#include "src/transport/upstream_client.h"
#include "src/transport/upstream_connection.h"

namespace bronzeroute {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// A head of an upstream's answer above this is not taken.
constexpr std::size_t kResponseHeadBytes = std::size_t{64} * 1024;
// Answers up to this size are passed on once they are whole, so that an answer that is cut on
// its way can still be asked for again.
constexpr std::uint64_t kHeldResponseBytes = kPipeBytes / 2;
constexpr unsigned kHttp11 = 11;
constexpr int kMisdirected = 421;
// Time for which a connection is kept if the upstream does not name one.
constexpr auto kKeepTime = std::chrono::seconds(4);
// A connection is given up this long before the upstream would close it, so that no request
// crosses the close.
constexpr auto kKeepMargin = std::chrono::milliseconds(500);

std::string Text(boost::beast::string_view from) { return {from.data(), from.size()}; }

std::int64_t RemainingMs(time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - MonotonicNow());
  return std::max<std::int64_t>(0, left.count());
}

// The timeout that a Keep-Alive field names, or `kKeepTime`.
duration KeepTime(const std::string& field) {
  for (const absl::string_view part : absl::StrSplit(field, ',')) {
    const absl::string_view trimmed = absl::StripAsciiWhitespace(part);
    int seconds = 0;
    if (absl::StartsWithIgnoreCase(trimmed, "timeout=") &&
        absl::SimpleAtoi(trimmed.substr(8), &seconds)) {
      return std::chrono::seconds(std::clamp(seconds, 0, 3600));
    }
  }
  return kKeepTime;
}

}  // namespace

upstream_attempt::upstream_attempt(upstream_client& owner, std::shared_ptr<exchange> row,
                                   const attempt_id& attempt, time_point deadline,
                                   bool fresh_connection)
    : owner_(&owner),
      row_(std::move(row)),
      attempt_(attempt),
      deadline_(deadline),
      fresh_connection_(fresh_connection) {
  const std::string& name = owner.dialect().request_id;
  const std::string* const id = name.empty() ? nullptr : FindField(row_->headers, name);
  if (id != nullptr) request_id_ = *id;
}

exchange_id upstream_attempt::exchange_of() const { return row_->id; }

std::uint32_t upstream_attempt::depth() const { return row_->depth; }

void upstream_attempt::Start() {
  if (!fresh_connection_) connection_ = owner_->TakeKept();
  if (connection_ == nullptr) {
    Connect();
  } else {
    // A kept connection that ends before the first byte of an answer says nothing about the
    // request, which may be sent once more: it is not protected.
    may_resend_ = true;
    Send();
  }
}

void upstream_attempt::Connect() {
  may_resend_ = false;
  connection_ = std::make_shared<upstream_connection>(owner_->address());
  const auto address = ParseAddress(connection_->address);
  if (!address.ok()) {
    PostToLoop(
        [self = shared_from_this()] { self->OnConnected(boost::asio::error::host_not_found); });
    return;
  }
  connection_->socket.async_connect(
      tcp::endpoint(address->first, address->second),
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->OnConnected(error);
      });
}

void upstream_attempt::OnConnected(const boost::system::error_code& error) {
  if (over_) return;
  if (error) {
    if (Finish()) {
      owner_->events().OnUpstreamConnectFailed(row_->id, attempt_, MonotonicNow());
    }
    return;
  }
  SetClientOptions(connection_->socket);
  Send();
}

void upstream_attempt::Send() {
  const http_dialect& dialect = owner_->dialect();
  writer::message message;
  message.version(kHttp11);
  message.method_string(row_->method);
  message.target(row_->path);
  for (const auto& [name, value] : EndToEndFields(row_->headers)) message.insert(name, value);
  message.set(dialect.deadline, std::to_string(RemainingMs(deadline_)));
  if (!dialect.expected_upstream.empty() && !owner_->identity().empty()) {
    message.set(dialect.expected_upstream, owner_->identity());
  }
  if (dialect.has_own_fields) {
    message.set("Bronzeroute-Depth", std::to_string(row_->depth + 1));
    message.set("Bronzeroute-Call", FormatCallId(attempt_.call));
  }
  const bool has_body = row_->content_length != 0;
  if (!row_->content_length.has_value()) message.chunked(true);
  sent_ = false;
  connection_->reader.Begin(kResponseHeadBytes, 0);
  if (row_->method == "HEAD") connection_->reader.SkipBody();
  writer_ = std::make_shared<writer>(connection_->socket, std::move(message),
                                     has_body ? row_->body : nullptr,
                                     [weak = weak_from_this()](writer::end how) {
                                       if (const auto self = weak.lock()) self->OnSent(how);
                                     });
  writer_->Start();
  Read();
}

void upstream_attempt::OnSent(writer::end how) {
  if (over_) return;
  if (how == writer::end::kComplete) {
    sent_ = true;
  } else if (how == writer::end::kTruncated) {
    // The caller left in the middle of its body.
    Lose();
  }
  // A broken socket shows on the read too, behind an answer that came before.
}

void upstream_attempt::Read() {
  if (reading_ || over_) return;
  reading_ = true;
  connection_->socket.async_read_some(
      connection_->reader.buffer().prepare(internal::kReadBytes),
      [self = shared_from_this(), connection = connection_](
          const boost::system::error_code& error, std::size_t count) {
        if (self->connection_ != connection) return;
        self->reading_ = false;
        self->OnRead(error, count);
      });
}

void upstream_attempt::OnRead(const boost::system::error_code& error, std::size_t count) {
  if (over_) return;
  if (error) {
    OnConnectionEnd(error == boost::asio::error::eof);
    return;
  }
  got_any_ = true;
  connection_->reader.buffer().commit(count);
  Parse();
}

void upstream_attempt::Parse() {
  if (parsing_) return;
  parsing_ = true;
  while (!over_ && (in_body_ ? ParseBody() : ParseHead())) {
  }
  parsing_ = false;
}

bool upstream_attempt::ParseHead() {
  switch (connection_->reader.ReadHead()) {
    case internal::read_step::kDone:
      return TakeHead();
    case internal::read_step::kBad:
      Lose();
      return false;
    default:
      Read();
      return false;
  }
}

bool upstream_attempt::TakeHead() {
  const auto& message = connection_->reader.message().get();
  const http_dialect& dialect = owner_->dialect();
  const int status = static_cast<int>(message.result_int());
  if (status / 100 == 1) {
    connection_->reader.Begin(kResponseHeadBytes, 0);
    return true;
  }
  in_body_ = true;
  header_list fields;
  for (const auto& field : message) {
    fields.emplace_back(Text(field.name_string()), Text(field.value()));
  }
  if (!request_id_.empty()) {
    const std::string* const echoed_id = FindField(fields, dialect.request_id);
    is_stray_ = echoed_id != nullptr && *echoed_id != request_id_;
    if (is_stray_) {
      saw_stray_ = true;
      owner_->events().OnStrayResponse(row_->id, attempt_, MonotonicNow());
      return true;
    }
  }
  if (!dialect.load.empty()) {
    const std::string* const load = FindField(fields, dialect.load);
    const auto report = load == nullptr ? std::nullopt : ParseLoadReport(*load);
    if (report) owner_->events().OnUpstreamLoad(*report, MonotonicNow());
    if (over_) return false;
  }
  is_refusal_ = !dialect.not_run.empty() &&
                (FindField(fields, dialect.not_run) != nullptr || status == kMisdirected);
  if (is_refusal_) return true;
  const bool is_success = status / 100 == 2;
  if (is_success && !dialect.seal.empty() &&
      (FindField(fields, dialect.seal) == nullptr ||
       FindField(fields, "Content-Encoding") != nullptr)) {
    // Not the upstream's own answer to this request.
    Lose();
    return false;
  }
  response_ = std::make_shared<response_stream>();
  response_->attempt = attempt_;
  response_->status = status;
  response_->body = std::make_shared<byte_pipe>(kPipeBytes);
  for (auto& field : EndToEndFields(fields)) {
    if (!dialect.IsDaemonResponseField(field.first)) {
      response_->headers.push_back(std::move(field));
    }
  }
  const auto length = connection_->reader.message().content_length();
  const bool is_held = connection_->reader.message().is_done() ||
                       (length.has_value() && *length <= kHeldResponseBytes);
  if (!is_held) AnnounceHead();
  return !over_;
}

void upstream_attempt::AnnounceHead() {
  head_told_ = true;
  response_->body->SetWriter([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      if (self->response_->body->closed()) return;
      self->Parse();
    }
  });
  row_->response = response_;
  owner_->events().OnUpstreamResponseHead(row_->id, attempt_, response_->status,
                                          MonotonicNow());
}

bool upstream_attempt::ParseBody() {
  byte_pipe* const body = response_ == nullptr ? nullptr : response_->body.get();
  switch (connection_->reader.ReadBody(body)) {
    case internal::read_step::kDone:
      if (is_stray_) {
        is_stray_ = false;
        in_body_ = false;
        connection_->reader.Begin(kResponseHeadBytes, 0);
        return true;
      }
      Complete();
      return false;
    case internal::read_step::kBad:
      Lose();
      return false;
    case internal::read_step::kNeedsBytes:
      Read();
      return false;
    case internal::read_step::kNeedsRoom:
      break;
  }
  return false;
}

void upstream_attempt::Complete() {
  const auto self = shared_from_this();
  const auto& message = connection_->reader.message().get();
  const bool keep =
      message.keep_alive() && sent_ && !saw_stray_ && connection_->reader.buffer().size() == 0;
  ++connection_->served;
  connection_->kept_until =
      MonotonicNow() + KeepTime(Text(message[http::field::keep_alive])) - kKeepMargin;
  if (!is_refusal_) response_->body->End();
  if (!is_refusal_ && !head_told_) AnnounceHead();
  // The announcement may have ended in a cancellation.
  if (over_) return;
  Release(keep);
  if (!Finish()) return;
  if (is_refusal_) {
    owner_->events().OnUpstreamRefused(row_->id, attempt_, MonotonicNow());
  } else {
    owner_->events().OnUpstreamEnded(row_->id, attempt_, true, MonotonicNow());
  }
}

void upstream_attempt::OnConnectionEnd(bool in_order) {
  if (in_body_ && !is_stray_ && !is_refusal_ && in_order && connection_->reader.FinishAtEnd()) {
    // The rest of the last read is in the pipe already; an answer without a length is whole.
    Complete();
    return;
  }
  if (may_resend_ && !got_any_ && row_->body->Rewind()) {
    Release(false);
    Connect();
    return;
  }
  Lose();
}

void upstream_attempt::Lose() {
  const auto self = shared_from_this();
  Release(false);
  if (response_ != nullptr) response_->body->Fail();
  if (!Finish()) return;
  if (head_told_) {
    owner_->events().OnUpstreamEnded(row_->id, attempt_, false, MonotonicNow());
  } else {
    owner_->events().OnUpstreamLost(row_->id, attempt_, MonotonicNow());
  }
}

void upstream_attempt::Release(bool keep) {
  if (connection_ == nullptr) return;
  if (writer_ != nullptr) writer_->Abandon();
  const auto connection = std::exchange(connection_, nullptr);
  reading_ = false;
  if (keep) {
    owner_->Keep(connection);
  } else {
    boost::system::error_code ignored;
    connection->socket.close(ignored);
  }
}

bool upstream_attempt::Finish() {
  if (over_) return false;
  over_ = true;
  Release(false);
  owner_->Forget(*this);
  return true;
}

void upstream_attempt::Cancel() {
  if (over_) return;
  Release(false);
  if (response_ != nullptr) response_->body->Fail();
  // Nothing of this connection is read any more; its end is reported like any other.
  PostToLoop([self = shared_from_this()] {
    if (!self->over_) self->Lose();
  });
}

void upstream_attempt::Abandon() {
  over_ = true;
  Release(false);
  if (response_ != nullptr) response_->body->Fail();
}

}  // namespace bronzeroute
