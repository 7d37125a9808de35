#include "src/transport/upstream_attempt.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/field.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

#include "src/admission/upstream_notice.h"
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

// Maximum size of the head of an upstream's response; an attempt with a larger one is lost.
constexpr std::size_t kResponseHeadBytes = std::size_t{64} * 1024;
// Responses up to this size are relayed only once they are complete, so that a truncated one
// can still be reported as lost and the call be retried.
constexpr std::uint64_t kHeldResponseBytes = kPipeBytes / 2;
// Bytes that an upstream may send before the head of the response to this request: interim
// responses, late responses to earlier requests, and the body of a refusal.
constexpr std::size_t kMaxUnusableBytes = std::size_t{1} << 20;
constexpr unsigned kHttp11 = 11;
constexpr int kSwitchingProtocols = 101;
constexpr int kMisdirected = 421;
// Time for which an idle connection is kept if the upstream sends no Keep-Alive timeout.
constexpr auto kKeepTime = std::chrono::seconds(4);
// An idle connection is closed this long before the upstream would close it, so that no request
// is sent while the upstream closes it.
constexpr auto kKeepMargin = std::chrono::milliseconds(500);

std::string Text(boost::beast::string_view from) { return {from.data(), from.size()}; }

// True for the fields that delimit a body.
bool IsFraming(const std::string& name) {
  return absl::EqualsIgnoreCase(name, "Content-Length") ||
         absl::EqualsIgnoreCase(name, "Transfer-Encoding");
}

// True if the body has a coding other than chunks, which the parser would hand over as it is.
template <typename Fields>
bool HasUnknownFraming(const Fields& fields) {
  const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
  return first != last &&
         (std::next(first) != last || !absl::EqualsIgnoreCase(Text(first->value()), "chunked"));
}

std::int64_t RemainingMs(time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - MonotonicNow());
  return std::max<std::int64_t>(0, left.count());
}

// A number of requests per second, or nothing if `field` is none.
std::optional<double> ParseRate(const std::string& field) {
  double rate = 0;
  if (!absl::SimpleAtod(field, &rate) || !std::isfinite(rate) || rate < 0) return std::nullopt;
  return rate;
}

// The timeout in a Keep-Alive field, or `kKeepTime`.
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
  if (!fresh_connection_) connection_ = owner_->TakeIdle(request_id_);
  if (connection_ == nullptr) {
    Connect();
  } else {
    // If a reused connection ends before the first byte of a response, the request may or may
    // not have run. It is sent once more on a new connection, which is safe as it is not
    // protected: protected requests always get a fresh connection.
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
  if (finished_) return;
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
  for (const auto& [name, value] : row_->headers) {
    if (!IsFraming(name)) message.insert(name, value);
  }
  message.set(dialect.deadline, std::to_string(RemainingMs(deadline_)));
  if (!dialect.expected_upstream.empty() && !owner_->identity().empty()) {
    message.set(dialect.expected_upstream, owner_->identity());
  }
  if (dialect.has_own_fields) {
    message.set("Bronzeroute-Depth", std::to_string(row_->depth + 1));
    message.set("Bronzeroute-Call", FormatCallId(attempt_.call));
  }
  // The framing is that of the body that is written, whatever the fields of the request say.
  const bool has_body = row_->content_length != 0;
  if (!row_->content_length.has_value()) {
    message.chunked(true);
  } else if (has_body || FindField(row_->headers, "Content-Length") != nullptr) {
    message.content_length(*row_->content_length);
  }
  sent_ = false;
  write_failed_ = false;
  generation_ = owner_->generation();
  sent_at_ = MonotonicNow();
  connection_->reader.Begin(kResponseHeadBytes, 0);
  if (row_->method == "HEAD") connection_->reader.SkipBody();
  writer_ = std::make_shared<writer>(connection_, connection_->socket, std::move(message),
                                     has_body ? row_->body : nullptr,
                                     [weak = weak_from_this()](writer::end how) {
                                       if (const auto self = weak.lock()) self->OnSent(how);
                                     });
  writer_->Start();
  Read();
}

void upstream_attempt::OnSent(writer::end how) {
  if (finished_) return;
  sent_ = how == writer::end::kComplete;
  write_failed_ = how == writer::end::kBroken;
  if (awaits_sent_) {
    Complete();
  } else if (how == writer::end::kTruncated) {
    // The caller disconnected before its request body was complete.
    EndIncomplete();
  }
  // A broken socket is also reported by the pending read, after any response received before.
}

void upstream_attempt::Read() {
  if (reading_ || finished_) return;
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
  if (finished_) return;
  if (error) {
    OnConnectionEnd(error == boost::asio::error::eof);
    return;
  }
  received_any_ = true;
  if (response_ == nullptr || awaits_sent_) unusable_bytes_ += count;
  if (unusable_bytes_ > kMaxUnusableBytes) {
    EndIncomplete();
    return;
  }
  if (awaits_sent_) {
    // Bytes after the response belong to no request.
    Read();
    return;
  }
  connection_->reader.buffer().commit(count);
  Parse();
}

void upstream_attempt::Parse() {
  if (parsing_) return;
  parsing_ = true;
  while (!finished_ && (in_body_ ? ParseBody() : ParseHead())) {
  }
  parsing_ = false;
}

bool upstream_attempt::ParseHead() {
  switch (connection_->reader.ReadHead()) {
    case internal::read_step::kDone:
      return ProcessHead();
    case internal::read_step::kBad:
      EndIncomplete();
      return false;
    default:
      Read();
      return false;
  }
}

bool upstream_attempt::ProcessHead() {
  const auto& message = connection_->reader.message().get();
  const http_dialect& dialect = owner_->dialect();
  const int status = static_cast<int>(message.result_int());
  if (status == kSwitchingProtocols || HasUnknownFraming(message)) {
    // What follows is not a body that can be relayed.
    EndIncomplete();
    return false;
  }
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
    if (echoed_id == nullptr && connection_->served > 0) {
      // May be a repeated response to an earlier request on the connection, also a refusal.
      EndIncomplete();
      return false;
    }
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
    if (finished_) return false;
  }
  is_refusal_ = !dialect.not_run.empty() &&
                (FindField(fields, dialect.not_run) != nullptr || status == kMisdirected);
  ReportNotice(fields);
  if (finished_) return false;
  if (is_refusal_) {
    connection_->refused_request = request_id_;
    return true;
  }
  const bool is_success = status / 100 == 2;
  if (is_success && !dialect.seal.empty() &&
      (FindField(fields, dialect.seal) == nullptr ||
       FindField(fields, "Content-Encoding") != nullptr)) {
    // Not the upstream's own response to this request.
    EndIncomplete();
    return false;
  }
  response_ = std::make_shared<response_stream>();
  response_->attempt = attempt_;
  response_->status = status;
  response_->body = std::make_shared<byte_pipe>(kPipeBytes);
  for (auto& field : EndToEndFields(fields, dialect)) {
    if (!dialect.IsDaemonResponseField(field.first)) {
      response_->headers.push_back(std::move(field));
    }
  }
  const auto length = connection_->reader.message().content_length();
  const bool is_held = connection_->reader.message().is_done() ||
                       (length.has_value() && *length <= kHeldResponseBytes);
  if (!is_held) AnnounceHead();
  return !finished_;
}

void upstream_attempt::ReportNotice(const header_list& fields) const {
  const http_dialect& dialect = owner_->dialect();
  if (dialect.max_rate.empty() || generation_ != owner_->generation()) return;
  upstream_notice notice;
  notice.asked = sent_at_;
  notice.is_complete =
      !is_refusal_ && (dialect.seal.empty() || FindField(fields, dialect.seal) != nullptr);
  if (const std::string* const rate = FindField(fields, dialect.max_rate)) {
    notice.max_rate = ParseRate(*rate);
    if (!notice.max_rate) notice.malformed_rate = *rate;
  }
  const std::string* const leaving = FindField(fields, dialect.leaving);
  notice.is_leaving = leaving != nullptr && *leaving == "1";
  if (!notice.is_complete && !notice.max_rate && notice.malformed_rate.empty() &&
      !notice.is_leaving) {
    return;
  }
  owner_->events().OnUpstreamNotice(notice, MonotonicNow());
}

void upstream_attempt::AnnounceHead() {
  head_announced_ = true;
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
      OnResponseRead();
      return false;
    case internal::read_step::kBad:
      EndIncomplete();
      return false;
    case internal::read_step::kNeedsBytes:
      Read();
      return false;
    case internal::read_step::kNeedsRoom:
      break;
  }
  return false;
}

void upstream_attempt::OnResponseRead() {
  // An upstream may respond successfully and read the rest of the request body afterwards.
  // After a failure or a refusal it has no use for the rest.
  if (!sent_ && response_ != nullptr && response_->status / 100 == 2) {
    AwaitSent();
  } else {
    Complete();
  }
}

void upstream_attempt::AwaitSent() {
  awaits_sent_ = true;
  // The caller gets the response now, but for its end: the rest of the request body is dropped
  // once the response has ended. So a response without a body has to wait.
  if (!head_announced_ && response_->body->Available() > 0) AnnounceHead();
  // Detects that the upstream closes the connection.
  if (!finished_) Read();
}

void upstream_attempt::Complete() {
  const auto self = shared_from_this();
  bool keep = false;
  // A read that is pending since the response was complete would take bytes of the next one.
  if (connection_ != nullptr && !awaits_sent_) {
    const auto& message = connection_->reader.message().get();
    keep = message.keep_alive() && sent_ && !saw_stray_ &&
           connection_->reader.buffer().size() == 0;
    ++connection_->served;
    connection_->kept_until =
        MonotonicNow() + KeepTime(Text(message[http::field::keep_alive])) - kKeepMargin;
  }
  if (!is_refusal_) response_->body->End();
  if (!is_refusal_ && !head_announced_) AnnounceHead();
  // The handler of the response head may have cancelled the attempt.
  if (finished_) return;
  Release(keep);
  if (!Finish()) return;
  if (is_refusal_) {
    owner_->events().OnUpstreamRefused(row_->id, attempt_, MonotonicNow());
  } else {
    owner_->events().OnUpstreamEnded(row_->id, attempt_, true, MonotonicNow());
  }
}

void upstream_attempt::OnConnectionEnd(bool in_order) {
  if (awaits_sent_) {
    Complete();
    return;
  }
  // A reset that a write has reported appears to the read as an end in order.
  const bool is_end = in_order && !write_failed_;
  if (in_body_ && !is_stray_ && !is_refusal_ && is_end && connection_->reader.FinishAtEnd()) {
    // The bytes of the last read are already in the pipe; a response without a length is
    // complete at the end of the connection.
    Complete();
    return;
  }
  // Without an upstream in use, the request may have run: it must not end as one that could not
  // be sent.
  const bool has_upstream = !owner_->address().empty();
  if (may_resend_ && !received_any_ && has_upstream && row_->body->Rewind()) {
    Release(false);
    Connect();
    return;
  }
  EndIncomplete();
}

void upstream_attempt::EndIncomplete() {
  if (awaits_sent_) {
    Complete();
    return;
  }
  const auto self = shared_from_this();
  Release(false);
  if (response_ != nullptr) response_->body->Fail();
  if (!Finish()) return;
  if (head_announced_) {
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
  if (finished_) return false;
  finished_ = true;
  Release(false);
  owner_->Forget(*this);
  return true;
}

void upstream_attempt::Cancel() {
  if (finished_) return;
  Release(false);
  if (response_ != nullptr && !awaits_sent_) response_->body->Fail();
  // The connection is closed and no longer read; the end of the attempt is reported as usual.
  PostToLoop([self = shared_from_this()] {
    if (!self->finished_) self->EndIncomplete();
  });
}

void upstream_attempt::Abandon() {
  finished_ = true;
  Release(false);
  if (response_ != nullptr) response_->body->Fail();
}

}  // namespace bronzeroute
