#include "src/transport/caller_server.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <exception>
#include <string>
#include <utility>
#include <vector>

#include "src/base/error_answer.h"
#include "src/calls/call_id_text.h"
#include "src/calls/caller_request.h"
#include "src/transport/bounded_buffer.h"
#include "src/transport/caller_headers.h"
#include "src/transport/error_body.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/exchange_table.h"
#include "src/transport/http_listener_factory.h"
#include "src/transport/http_router.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {

struct caller_server::caller_exchange : exchange {
  web::http::http_request request;
  caller_request head;
  bool announced = false;
  bool answered = false;
  // The body that is being relayed.
  std::shared_ptr<byte_pipe> relayed;
};

caller_server::caller_server(exchange_table& exchanges, transport_events& events,
                             const http_router& local)
    : exchanges_(exchanges),
      events_(events),
      local_(local),
      self_(std::make_shared<caller_server*>(this)) {}

caller_server::~caller_server() { Stop(); }

absl::Status caller_server::Start(std::string_view address) {
  auto listener = OpenListener(
      address, [this](const web::http::http_request& request) { Accept(request); });
  if (!listener.ok()) return listener.status();
  listener_ = *std::move(listener);
  return absl::OkStatus();
}

void caller_server::Stop() {
  if (self_ == nullptr) return;
  RunOnLoop([this] {
    self_ = nullptr;
    for (auto& [id, row] : rows_) {
      row->body->Discard();
      if (row->relayed != nullptr) row->relayed->Fail();
      if (!row->answered) row->request.reply(web::http::status_codes::ServiceUnavailable);
      exchanges_.Remove(id);
    }
    rows_.clear();
  });
  CloseListener(listener_);
}

// Runs inside the library's handling of the request head. No byte of the body has been written
// to the library's own unbounded buffer yet, because the first read of the body completes on
// this same thread; so the bounded buffer takes its place in time.
void caller_server::Accept(const web::http::http_request& request) {
  const time_point now = MonotonicNow();
  const std::string path = request.request_uri().to_string();
  if (path.starts_with("/.bronzeroute/")) {
    local_.Serve(request);
    return;
  }
  auto row = std::make_shared<caller_exchange>();
  row->request = request;
  row->method = request.method();
  row->path = path;
  bool is_chunked = false;
  for (const auto& [name, value] : request.headers()) {
    row->headers.emplace_back(name, value);
    std::uint64_t length = 0;
    if (absl::EqualsIgnoreCase(name, "Content-Length") && absl::SimpleAtoi(value, &length)) {
      row->content_length = length;
    }
    if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) is_chunked = true;
  }
  if (is_chunked) {
    row->content_length.reset();
  } else if (!row->content_length.has_value()) {
    row->content_length = 0;
  }
  row->body = std::make_shared<byte_pipe>(kPipeBytes, kKeptBodyBytes);
  request._get_impl()->set_outstream(bounded_buffer::Writer(row->body), true);
  exchanges_.Add(row);
  rows_.emplace(row->id, row);

  const error_kind kind = ParseCallerHeaders(*row, now, row->head);
  row->depth = row->head.depth;
  if (kind != error_kind::kNone) {
    ReplyError(row, {}, kind, 0);
    return;
  }
  if (row->content_length == 0) {
    row->body->End();
    Announce(*row);
    return;
  }
  const std::weak_ptr<caller_server*> weak = self_;
  request.content_ready().then(
      [weak, id = row->id](const pplx::task<web::http::http_request>& ready) {
        bool complete = true;
        try {
          ready.get();
        } catch (const std::exception&) {
          complete = false;
        }
        if (const auto self = weak.lock()) (*self)->BodyRead(id, complete);
      });
  // A short body is read first, so that the choice of upstream follows a whole request and the
  // body goes out with the first frame.
  if (!row->content_length.has_value() || *row->content_length > kKeptBodyBytes) Announce(*row);
}

void caller_server::Announce(caller_exchange& row) {
  row.announced = true;
  events_.OnCallerRequest(row.head, MonotonicNow());
}

void caller_server::BodyRead(exchange_id id, bool complete) {
  const auto found = rows_.find(id);
  if (found == rows_.end()) return;
  const auto row = found->second;
  if (complete) {
    row->body->End();
    if (!row->announced && !row->answered) Announce(*row);
    return;
  }
  row->body->Fail();
  if (row->answered) return;
  const bool announced = row->announced;
  // Releases the library's connection; nobody reads this answer.
  ReplyError(row, {}, error_kind::kCancelled, 0);
  if (announced) events_.OnCallerGone(id, MonotonicNow());
}

void caller_server::AnswerError(exchange_id exchange, const call_id& call, error_kind kind,
                                int recorded_status) {
  const auto found = rows_.find(exchange);
  if (found == rows_.end()) return;
  const auto row = found->second;
  if (row->answered) {
    CutAnswer(exchange);
    return;
  }
  ReplyError(row, call, kind, recorded_status);
}

void caller_server::ReplyError(const std::shared_ptr<caller_exchange>& row, const call_id& call,
                               error_kind kind, int recorded_status) {
  const error_answer& answer = AnswerFor(kind);
  web::http::http_response response(static_cast<web::http::status_code>(answer.http_status));
  auto& headers = response.headers();
  headers.add("Bronzeroute-Error", std::string(answer.name));
  headers.add("Bronzeroute-Execution", std::string(ExecutionName(answer.state)));
  if (call != call_id{}) headers.add("Bronzeroute-Call", FormatCallId(call));
  if (recorded_status != 0) headers.add("Bronzeroute-Recorded-Status", recorded_status);
  response.set_body(ErrorBody(kind, call, recorded_status), "application/json");
  Reply(row, response, false);
}

void caller_server::RelayAnswer(exchange_id exchange, const attempt_id& attempt) {
  const auto found = rows_.find(exchange);
  if (found == rows_.end()) return;
  const auto row = found->second;
  if (row->answered) return;
  const auto answer = row->answer;
  if (answer == nullptr || answer->attempt != attempt) {
    ReplyError(row, attempt.call, error_kind::kAnswerLost, 0);
    return;
  }
  web::http::http_response response(static_cast<web::http::status_code>(answer->status));
  for (const auto& [name, value] : answer->headers) response.headers().add(name, value);
  response.headers().add("Bronzeroute-Execution", std::string(ExecutionName(execution::kRan)));
  response.headers().add("Bronzeroute-Call", FormatCallId(attempt.call));
  row->relayed = answer->body;
  // The library cannot send a length without a body: it adds a length of 0 to an answer without
  // a stream, and writes the end of a chunked body otherwise. So an answer that only describes
  // a body is the last one on its connection.
  if (answer->status == 204) {
    response.headers().remove("Content-Length");
  } else {
    response._get_impl()->set_instream(bounded_buffer::Reader(answer->body));
    if (row->method == "HEAD" || answer->status == 304) {
      response.headers().add("Connection", "close");
    }
  }
  Reply(row, response, true);
}

void caller_server::Reply(const std::shared_ptr<caller_exchange>& row,
                          const web::http::http_response& response, bool is_relay) {
  row->answered = true;
  // The library sends an answer only after it has read the whole request.
  row->body->Discard();
  const std::weak_ptr<caller_server*> weak = self_;
  row->request.reply(response).then(
      [weak, id = row->id, is_relay](const pplx::task<void>& done) {
        bool sent = true;
        try {
          done.get();
        } catch (const std::exception&) {
          sent = false;
        }
        const auto self = weak.lock();
        if (self == nullptr) return;
        const auto found = (*self)->rows_.find(id);
        if (found == (*self)->rows_.end()) return;
        const auto row = found->second;
        (*self)->rows_.erase(found);
        (*self)->exchanges_.Remove(id);
        if (!is_relay || sent) return;
        row->relayed->Close();
        (*self)->events_.OnCallerGone(id, MonotonicNow());
      });
}

void caller_server::CutAnswer(exchange_id exchange) {
  const auto found = rows_.find(exchange);
  if (found == rows_.end()) return;
  const auto row = found->second;
  if (!row->answered) {
    ReplyError(row, {}, error_kind::kAnswerCut, 0);
  } else if (row->relayed != nullptr) {
    row->relayed->Fail();
  }
}

}  // namespace bronzeroute
