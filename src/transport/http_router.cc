#include "src/transport/http_router.h"

#include <utility>

#include "src/base/error_kind.h"
#include "src/base/error_response.h"
#include "src/transport/byte_pipe.h"
#include "src/transport/error_body.h"
#include "src/transport/exchange.h"
#include "src/transport/http_connection.h"

namespace bronzeroute {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

local_response ErrorResponse(error_kind kind) {
  return {ErrorResponseFor(kind).http_status, "application/json", ErrorBody(kind, {}, 0)};
}

void SendResponse(http_connection& connection, const exchange& row,
                  const local_response& response) {
  connection.SendResponse(row,
                          TextResponse(response.status, response.content_type, response.body));
}

}  // namespace

void http_router::Add(std::string_view method, std::string_view path, handler respond) {
  AddDeferred(
      method, path,
      [respond = std::move(respond)](const local_request& request, const responder& send) {
        send(respond(request));
      });
}

void http_router::AddDeferred(std::string_view method, std::string_view path,
                              deferred_handler respond) {
  entries_.push_back({std::string(method), std::string(path), std::move(respond)});
}

void http_router::Respond(const local_request& request, const responder& send) const {
  for (const entry& row : entries_) {
    const bool matches =
        row.path.back() == '/' ? request.path.starts_with(row.path) : request.path == row.path;
    if (matches && row.method == request.method) return row.respond(request, send);
  }
  send(ErrorResponse(error_kind::kUnknownEndpoint));
}

void http_router::Serve(const std::shared_ptr<http_connection>& connection,
                        const std::shared_ptr<exchange>& row) const {
  const responder send = [weak = std::weak_ptr(connection),
                          weak_row = std::weak_ptr(row)](const local_response& response) {
    const auto live = weak.lock();
    const auto live_row = weak_row.lock();
    if (live != nullptr && live_row != nullptr) SendResponse(*live, *live_row, response);
  };
  const auto proceed = [this, send, weak = std::weak_ptr(connection), raw = row.get()] {
    const auto live = weak.lock();
    if (live == nullptr || raw->body->discarding()) return;
    if (raw->body->Available() > kMaxBodyBytes) {
      send(ErrorResponse(error_kind::kFieldTooLarge));
      return;
    }
    if (!raw->body->ended()) return;
    const std::size_t mark = raw->path.find('?');
    local_request local{raw->method, raw->path.substr(0, mark),
                        mark == std::string::npos ? "" : raw->path.substr(mark + 1),
                        std::string(raw->body->Available(), '\0')};
    raw->body->Take(local.body.data(), local.body.size());
    Respond(local, send);
  };
  // The callback lives in the row's own pipe, so it must not own the row.
  row->body->SetReader(proceed);
  proceed();
}

}  // namespace bronzeroute
