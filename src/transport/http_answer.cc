#include "src/transport/http_answer.h"

#include <utility>

namespace bronzeroute {

http_answer TextAnswer(int status, std::string content_type, std::string_view body) {
  http_answer answer;
  answer.status = status;
  answer.headers.emplace_back("Content-Type", std::move(content_type));
  answer.headers.emplace_back("Content-Length", std::to_string(body.size()));
  answer.body = std::make_shared<byte_pipe>(body.size());
  answer.body->Append(body);
  answer.body->End();
  return answer;
}

}  // namespace bronzeroute
