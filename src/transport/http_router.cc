#include "src/transport/http_router.h"

#include <exception>
#include <memory>
#include <utility>

#include "src/base/error_answer.h"
#include "src/base/error_kind.h"
#include "src/transport/bounded_buffer.h"
#include "src/transport/byte_pipe.h"
#include "src/transport/error_body.h"

namespace bronzeroute {
namespace {

constexpr std::size_t kMaxBody = std::size_t{64} * 1024;

local_answer ErrorAnswer(error_kind kind) {
  return {AnswerFor(kind).http_status, "application/json", ErrorBody(kind, {}, 0)};
}

void Reply(const web::http::http_request& request, const local_answer& answer) {
  web::http::http_response response(static_cast<web::http::status_code>(answer.status));
  response.set_body(answer.body, answer.content_type);
  request.reply(response).then([](const pplx::task<void>& done) {
    try {
      done.get();
    } catch (const std::exception&) {
      // The peer left; nothing waits for the answer any more.
    }
  });
}

}  // namespace

void http_router::Add(std::string_view method, std::string_view path, handler answer) {
  entries_.push_back({std::string(method), std::string(path), std::move(answer)});
}

local_answer http_router::Answer(const local_request& request) const {
  for (const entry& row : entries_) {
    const bool matches =
        row.path.back() == '/' ? request.path.starts_with(row.path) : request.path == row.path;
    if (matches && row.method == request.method) return row.answer(request);
  }
  return ErrorAnswer(error_kind::kUnknownEndpoint);
}

void http_router::Serve(const web::http::http_request& request) const {
  // One byte more than allowed, so that an oversized body shows.
  auto body = std::make_shared<byte_pipe>(kMaxBody + 1);
  body->SetReader([raw = body.get()] {
    if (raw->Available() > kMaxBody) raw->Discard();
  });
  request._get_impl()->set_outstream(bounded_buffer::Writer(body), true);
  request.content_ready().then([this, request,
                                body](const pplx::task<web::http::http_request>& ready) {
    try {
      ready.get();
    } catch (const std::exception&) {
      Reply(request, ErrorAnswer(error_kind::kCancelled));
      return;
    }
    if (body->discarding()) {
      Reply(request, ErrorAnswer(error_kind::kFieldTooLarge));
      return;
    }
    local_request local{request.method(), request.request_uri().path(),
                        request.request_uri().query(), std::string(body->Available(), '\0')};
    body->Take(local.body.data(), local.body.size());
    Reply(request, Answer(local));
  });
}

}  // namespace bronzeroute
