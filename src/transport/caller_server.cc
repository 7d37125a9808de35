#include "src/transport/caller_server.h"

#include <absl/strings/str_format.h>

#include <chrono>
#include <utility>
#include <vector>

#include "src/base/error_response.h"
#include "src/calls/call_id_text.h"
#include "src/calls/caller_request.h"
#include "src/transport/caller_headers.h"
#include "src/transport/error_body.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/exchange_table.h"
#include "src/transport/header_list.h"
#include "src/transport/http_connection.h"
#include "src/transport/http_dialect.h"
#include "src/transport/http_router.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {
namespace {

// Largest factor by which a retry time is extended.
constexpr double kRetrySpread = 2;

}  // namespace

struct caller_server::caller_exchange {
  std::shared_ptr<exchange> row;
  std::shared_ptr<http_connection> connection;
  caller_request head;
  // The body that is being relayed.
  std::shared_ptr<byte_pipe> relayed;
  bool announced = false;
  bool response_started = false;
  bool has_account = false;
};

caller_server::caller_server(exchange_table& exchanges, transport_events& events,
                             const http_router& local, const http_dialect& dialect)
    : exchanges_(exchanges),
      events_(events),
      local_(local),
      dialect_(dialect),
      server_(*this) {}

void caller_server::Stop() {
  server_.Stop();
  RunOnLoop([this] {
    for (const auto& [id, item] : rows_) exchanges_.Remove(id);
    rows_.clear();
  });
}

bool caller_server::RunsConcurrently(const exchange& row) {
  if (row.path.starts_with("/.bronzeroute/")) return false;
  // A request with a key runs at most once, whatever its route says.
  if (dialect_.has_own_fields && FindField(row.headers, "Idempotency-Key") != nullptr) {
    return false;
  }
  if (may_run_concurrently_) return may_run_concurrently_(row);
  return row.method == "GET" || row.method == "HEAD" || row.method == "OPTIONS";
}

void caller_server::OnRequest(const std::shared_ptr<http_connection>& connection,
                              const std::shared_ptr<exchange>& row) {
  if (row->path.starts_with("/.bronzeroute/")) {
    local_.Serve(connection, row);
    return;
  }
  exchanges_.Add(row);
  if (row->is_pipelined) ++pipelined_requests_;
  auto item = std::make_shared<caller_exchange>();
  item->row = row;
  item->connection = connection;
  rows_.emplace(row->id, item);
  const error_kind kind = ParseCallerHeaders(*row, dialect_, MonotonicNow(), item->head);
  if (!dialect_.has_own_fields && depth_of_) {
    item->head.depth = depth_of_(item->head.request_id);
  }
  row->depth = item->head.depth;
  if (kind != error_kind::kNone) {
    SendErrorResponse(*item, {}, kind, 0);
    return;
  }
  if (requests_ended_) {
    SendErrorResponse(*item, {}, error_kind::kStopping, 0);
    return;
  }
  ReplaceFields(*row);
  // A short body is read completely before the request is announced: an upstream is chosen only
  // for a complete request, and the body is sent with the first frame.
  const bool reads_first = row->content_length.has_value() && *row->content_length > 0 &&
                           *row->content_length <= kKeptBodyBytes;
  if (!reads_first) {
    if (row->content_length == 0) row->body->End();
    Announce(*item);
    return;
  }
  row->body->SetReader([this, id = row->id] {
    const auto found = rows_.find(id);
    if (found == rows_.end() || found->second->announced || found->second->response_started) {
      return;
    }
    const auto live = found->second;
    if (live->row->body->ended()) Announce(*live);
  });
}

// Removes the fields that end at this hop or that only a daemon may set, and adds the daemon's
// own. From here on, the fields are those that the upstream gets.
void caller_server::ReplaceFields(exchange& row) const {
  row.headers = EndToEndFields(row.headers, dialect_);
  std::erase_if(row.headers, [this](const auto& field) {
    return dialect_.IsDaemonRequestField(field.first);
  });
  if (!dialect_.caller_service.empty()) {
    row.headers.emplace_back(dialect_.caller_service, caller_service_);
  }
}

void caller_server::Announce(caller_exchange& item) {
  // The request may have waited unread while the loop was late, so that its caller gave up.
  if (item.connection->HasClientLeft()) {
    item.connection->Abort(*item.row);
    return;
  }
  item.announced = true;
  item.row->body->SetReader(nullptr);
  events_.OnCallerRequest(item.head, MonotonicNow());
}

void caller_server::EndRequests() {
  if (requests_ended_) return;
  requests_ended_ = true;
  std::vector<std::shared_ptr<caller_exchange>> incomplete;
  for (const auto& [id, item] : rows_) {
    if (!item->announced && !item->response_started) incomplete.push_back(item);
  }
  for (const auto& item : incomplete) {
    SendErrorResponse(*item, {}, error_kind::kStopping, 0);
  }
}

void caller_server::OnClientDisconnected(const exchange& row) {
  const auto found = rows_.find(row.id);
  if (found == rows_.end()) return;
  const auto item = found->second;
  rows_.erase(found);
  exchanges_.Remove(row.id);
  if (item->relayed != nullptr) item->relayed->Close();
  if (item->announced) events_.OnCallerDisconnected(row.id, MonotonicNow());
}

void caller_server::OnNothingWritten(const exchange& row) {
  const auto found = rows_.find(row.id);
  if (found == rows_.end()) return;
  const auto item = found->second;
  item->relayed = nullptr;
  SendErrorResponse(*item, {}, error_kind::kAnswerCut, 0);
}

void caller_server::OnResponseEnded(const exchange& row) {
  const auto found = rows_.find(row.id);
  if (found == rows_.end()) return;
  rows_.erase(found);
  exchanges_.Remove(row.id);
}

void caller_server::SetAccount(exchange_id exchange, std::string_view account) {
  const auto found = rows_.find(exchange);
  if (found == rows_.end()) return;
  found->second->has_account = !account.empty();
  header_list& fields = found->second->row->headers;
  std::erase_if(fields,
                [this](const auto& field) { return dialect_.IsAccountField(field.first); });
  if (!account.empty() && !dialect_.account.empty()) {
    fields.emplace_back(dialect_.account, account);
  }
}

void caller_server::RespondWithError(exchange_id exchange, const call_id& call, error_kind kind,
                                     int recorded_status, duration retry_after) {
  const auto found = rows_.find(exchange);
  if (found == rows_.end()) return;
  const auto item = found->second;
  if (item->response_started) {
    if (item->connection->HasBegunResponse(*item->row)) {
      item->connection->Abort(*item->row);
      return;
    }
    if (item->relayed != nullptr) std::exchange(item->relayed, nullptr)->Close();
  }
  SendErrorResponse(*item, call, kind, recorded_status, retry_after);
}

void caller_server::SendErrorResponse(caller_exchange& item, const call_id& call,
                                      error_kind kind, int recorded_status,
                                      duration retry_after) {
  const error_response& row = ErrorResponseFor(kind);
  http_response_message response =
      TextResponse(row.http_status, "application/json", ErrorBody(kind, call, recorded_status));
  header_list& headers = response.headers;
  headers.emplace_back("Bronzeroute-Error", row.name);
  headers.emplace_back("Bronzeroute-Execution", ExecutionName(row.state));
  if (call != call_id{}) headers.emplace_back("Bronzeroute-Call", FormatCallId(call));
  if (recorded_status != 0) {
    headers.emplace_back("Bronzeroute-Recorded-Status", std::to_string(recorded_status));
  }
  duration retry = retry_after > duration(0) ? retry_after : row.retry_after;
  if (retry > duration(0)) {
    if (item.has_account && retry_after == duration(0)) {
      // Callers of an account that were refused together would otherwise return together.
      std::uniform_real_distribution<double> spread(1, kRetrySpread);
      retry = std::chrono::duration_cast<duration>(row.retry_after * spread(random_));
    }
    const std::chrono::duration<double> seconds = retry;
    headers.emplace_back("Retry-After", absl::StrFormat("%.3f", seconds.count()));
  }
  if (!dialect_.request_id.empty()) {
    headers.emplace_back(dialect_.request_id, item.head.request_id);
  }
  item.response_started = true;
  item.connection->SendResponse(*item.row, response);
}

void caller_server::RelayResponse(exchange_id exchange, const attempt_id& attempt) {
  const auto found = rows_.find(exchange);
  if (found == rows_.end()) return;
  const auto item = found->second;
  if (item->response_started) return;
  const auto relayed = item->row->response;
  if (relayed == nullptr || relayed->attempt != attempt) {
    SendErrorResponse(*item, attempt.call, error_kind::kAnswerLost, 0);
    return;
  }
  http_response_message response;
  response.status = relayed->status;
  response.headers = relayed->headers;
  response.body = relayed->body;
  if (dialect_.has_own_fields) {
    response.headers.emplace_back("Bronzeroute-Execution", ExecutionName(execution::kRan));
    response.headers.emplace_back("Bronzeroute-Call", FormatCallId(attempt.call));
  }
  item->response_started = true;
  item->relayed = relayed->body;
  item->connection->RelayResponse(*item->row, response);
}

void caller_server::AbortResponse(exchange_id exchange) {
  const auto found = rows_.find(exchange);
  if (found == rows_.end()) return;
  const auto item = found->second;
  if (!item->response_started) {
    SendErrorResponse(*item, {}, error_kind::kAnswerCut, 0);
    return;
  }
  // Bytes received so far are still relayed; the caller detects the truncation by the unmet
  // Content-Length or the missing last chunk.
  if (item->relayed != nullptr) item->relayed->Fail();
}

}  // namespace bronzeroute
