#include "src/transport/http_response_message.h"

#include <utility>

namespace bronzeroute {

http_response_message TextResponse(int status, std::string content_type,
                                   std::string_view body) {
  http_response_message response;
  response.status = status;
  response.headers.emplace_back("Content-Type", std::move(content_type));
  response.headers.emplace_back("Content-Length", std::to_string(body.size()));
  response.body = std::make_shared<byte_pipe>(body.size());
  response.body->Append(body);
  response.body->End();
  return response;
}

}  // namespace bronzeroute
