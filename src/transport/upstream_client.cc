#include "src/transport/upstream_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <exception>
#include <vector>

#include "src/calls/call_id_text.h"
#include "src/transport/answer_stream.h"
#include "src/transport/bounded_buffer.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/exchange_table.h"
#include "src/transport/header_list.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {
namespace {

// The decision logic owns deadlines; the library's own timer must not end a long transfer.
constexpr std::chrono::hours kNoTimeout(24);

// True only for an error that the library reports before it writes to a connection. Both codes
// also stand for failures after a write began, so the text decides; an unknown text counts as a
// loss, which never claims too much.
bool IsConnectFailure(const web::http::http_exception& error) {
  return absl::StartsWith(error.what(), "Failed to connect to any resolved endpoint") ||
         absl::StartsWith(error.what(), "Error resolving address");
}

std::int64_t RemainingMs(time_point deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - MonotonicNow());
  return std::max<std::int64_t>(0, left.count());
}

}  // namespace

struct upstream_client::running_request {
  std::shared_ptr<exchange> row;
  std::shared_ptr<answer_stream> answer;
  std::shared_ptr<web::http::client::http_client> client;
  pplx::cancellation_token_source cancel;
  std::shared_ptr<bounded_buffer> body;
  bool has_head = false;
};

upstream_client::upstream_client(exchange_table& exchanges, transport_events& events)
    : exchanges_(exchanges), events_(events), self_(std::make_shared<upstream_client*>(this)) {}

upstream_client::~upstream_client() { Stop(); }

void upstream_client::Stop() {
  if (self_ == nullptr) return;
  RunOnLoop([this] {
    self_ = nullptr;
    for (auto& [id, request] : running_) {
      request->answer->body->Close();
      if (request->body != nullptr) request->body->AbortRead();
      request->cancel.cancel();
    }
    running_.clear();
    pooled_ = nullptr;
  });
}

void upstream_client::SetUpstream(std::string_view address) {
  if (address == address_) return;
  address_ = std::string(address);
  pooled_ = address_.empty() ? nullptr : NewClient();
}

std::shared_ptr<web::http::client::http_client> upstream_client::NewClient() const {
  web::http::client::http_client_config config;
  config.set_timeout(kNoTimeout);
  // The library would follow a redirect itself, which is a second request.
  config.set_max_redirects(0);
  return std::make_shared<web::http::client::http_client>(
      web::uri(absl::StrCat("http://", address_)), config);
}

void upstream_client::StartUpstream(exchange_id exchange, const attempt_id& attempt,
                                    time_point deadline, bool fresh_connection) {
  const key id(exchange, attempt);
  auto row = exchanges_.Find(exchange);
  if (row == nullptr || address_.empty() || running_.contains(id) || !row->body->Rewind()) {
    PostToLoop([weak = std::weak_ptr(self_), id] {
      if (const auto self = weak.lock()) (*self)->ReportConnectFailed(id);
    });
    return;
  }
  auto running = std::make_shared<running_request>();
  running->row = row;
  // The library silently repeats a request when a connection that was used before closes. A
  // client of its own gives a protected request a connection that never was.
  running->client = fresh_connection ? NewClient() : pooled_;
  running->answer = std::make_shared<answer_stream>();
  running->answer->attempt = attempt;
  running->answer->body = std::make_shared<byte_pipe>(kPipeBytes);

  web::http::http_request request(row->method);
  request.set_request_uri(web::uri(row->path));
  auto& headers = request.headers();
  for (const auto& [name, value] : EndToEndFields(row->headers)) {
    if (!IsDaemonRequestField(name)) headers.add(name, value);
  }
  headers.add("Bronzeroute-Deadline-Ms", RemainingMs(deadline));
  headers.add("Bronzeroute-Depth", row->depth + 1);
  headers.add("Bronzeroute-Call", FormatCallId(attempt.call));
  if (row->content_length != 0) {
    running->body = std::make_shared<bounded_buffer>(row->body, std::ios_base::in);
    request._get_impl()->set_instream(bounded_buffer::Stream(running->body));
  }
  request.set_response_stream(bounded_buffer::Writer(running->answer->body));
  running_.emplace(id, running);
  running->client->request(request, running->cancel.get_token())
      .then([weak = std::weak_ptr(self_),
             id](const pplx::task<web::http::http_response>& arrived) {
        if (const auto self = weak.lock()) {
          (*self)->HeadArrived(id, arrived);
        } else {
          try {
            arrived.get();
          } catch (const std::exception&) {
            // The process is stopping; the library requires that the error is looked at.
          }
        }
      });
}

void upstream_client::ReportConnectFailed(const key& id) {
  events_.OnUpstreamConnectFailed(id.first, id.second, MonotonicNow());
}

void upstream_client::HeadArrived(const key& id,
                                  const pplx::task<web::http::http_response>& arrived) {
  const auto found = running_.find(id);
  const auto running = found == running_.end() ? nullptr : found->second;
  web::http::http_response response;
  bool connect_failed = false;
  bool lost = false;
  try {
    response = arrived.get();
  } catch (const web::http::http_exception& error) {
    connect_failed = IsConnectFailure(error);
    lost = !connect_failed;
  } catch (const std::exception&) {
    lost = true;
  }
  if (running == nullptr) return;
  if (connect_failed || lost) {
    running_.erase(id);
    running->answer->body->Fail();
    if (connect_failed) {
      ReportConnectFailed(id);
    } else {
      events_.OnUpstreamLost(id.first, id.second, MonotonicNow());
    }
    return;
  }
  running->has_head = true;
  running->answer->status = response.status_code();
  header_list fields;
  for (const auto& [name, value] : response.headers()) fields.emplace_back(name, value);
  for (auto& field : EndToEndFields(fields)) {
    if (!IsDaemonAnswerField(field.first)) running->answer->headers.push_back(std::move(field));
  }
  running->row->answer = running->answer;
  response.content_ready().then(
      [weak = std::weak_ptr(self_), id](const pplx::task<web::http::http_response>& ready) {
        bool complete = true;
        try {
          ready.get();
        } catch (const std::exception&) {
          complete = false;
        }
        if (const auto self = weak.lock()) (*self)->BodyEnded(id, complete);
      });
  events_.OnUpstreamAnswerHead(id.first, id.second, running->answer->status, MonotonicNow());
}

void upstream_client::BodyEnded(const key& id, bool complete) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const auto running = found->second;
  running_.erase(found);
  if (complete) {
    running->answer->body->End();
  } else {
    running->answer->body->Fail();
  }
  events_.OnUpstreamEnded(id.first, id.second, complete, MonotonicNow());
}

void upstream_client::CancelUpstream(exchange_id exchange, const attempt_id& attempt) {
  const auto found = running_.find(key(exchange, attempt));
  if (found == running_.end()) return;
  const auto running = found->second;
  // The library notices a cancellation only at its socket, so streams that it waits for are
  // failed as well.
  running->answer->body->Close();
  if (running->body != nullptr) running->body->AbortRead();
  running->cancel.cancel();
}

}  // namespace bronzeroute
