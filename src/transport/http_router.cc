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

void SendResponse(http_connection& connection, local_response response) {
  connection.SendResponse(
      TextResponse(response.status, std::move(response.content_type), response.body));
}

}  // namespace

void http_router::Add(std::string_view method, std::string_view path, handler respond) {
  entries_.push_back({std::string(method), std::string(path), std::move(respond)});
}

local_response http_router::Respond(const local_request& request) const {
  for (const entry& row : entries_) {
    const bool matches =
        row.path.back() == '/' ? request.path.starts_with(row.path) : request.path == row.path;
    if (matches && row.method == request.method) return row.respond(request);
  }
  return ErrorResponse(error_kind::kUnknownEndpoint);
}

void http_router::Serve(const std::shared_ptr<http_connection>& connection,
                        const std::shared_ptr<exchange>& row) const {
  const auto proceed = [this, weak = std::weak_ptr(connection), raw = row.get()] {
    const auto live = weak.lock();
    if (live == nullptr || raw->body->discarding()) return;
    if (raw->body->Available() > kMaxBodyBytes) {
      SendResponse(*live, ErrorResponse(error_kind::kFieldTooLarge));
      return;
    }
    if (!raw->body->ended()) return;
    const std::size_t mark = raw->path.find('?');
    local_request local{raw->method, raw->path.substr(0, mark),
                        mark == std::string::npos ? "" : raw->path.substr(mark + 1),
                        std::string(raw->body->Available(), '\0')};
    raw->body->Take(local.body.data(), local.body.size());
    SendResponse(*live, Respond(local));
  };
  // The callback lives in the row's own pipe, so it must not own the row.
  row->body->SetReader(proceed);
  proceed();
}

}  // namespace bronzeroute
