#include "standins/platform/http_endpoint.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/transport/exchange.h"
#include "src/transport/http_connection.h"
#include "src/transport/http_response_message.h"

namespace bronzeroute::standin {
namespace {

constexpr std::size_t kTakeBytes = std::size_t{16} * 1024;

/// Collects the body of one request.
struct body_collector {
  received_request request;
  /// Weak, since the connection owns the body that owns this.
  std::weak_ptr<http_connection> connection;
  bool is_done = false;
};

void Respond(http_connection& connection, int status, const header_list& headers,
             std::string_view body) {
  http_response_message message = TextResponse(status, "application/json", body);
  message.headers.insert(message.headers.end(), headers.begin(), headers.end());
  connection.SendResponse(message);
}

}  // namespace

std::string received_request::Field(std::string_view name) const {
  const std::string* const found = FindField(headers, name);
  return found == nullptr ? std::string() : *found;
}

std::string received_request::Parameter(std::string_view name) const {
  std::string_view rest = target;
  const std::size_t query = rest.find('?');
  rest.remove_prefix(query == std::string_view::npos ? rest.size() : query + 1);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(part.substr(equals + 1));
    }
  }
  return {};
}

void http_endpoint::OnRequest(const std::shared_ptr<http_connection>& connection,
                              const std::shared_ptr<exchange>& row) {
  std::erase_if(connections_, [](const auto& each) { return each.expired(); });
  connections_.insert(connection);
  if (silent_.contains(connection)) return;
  auto collector = std::make_shared<body_collector>();
  collector->connection = connection;
  collector->request.method = row->method;
  collector->request.target = row->path;
  collector->request.host = row->host;
  collector->request.headers = row->headers;
  const auto read = [this, collector, weak = std::weak_ptr(row)] {
    const auto live = weak.lock();
    if (live == nullptr || collector->is_done) return;
    std::array<char, kTakeBytes> bytes;
    while (const std::size_t count = live->body->Take(bytes.data(), bytes.size())) {
      collector->request.body.append(bytes.data(), count);
    }
    if (!live->body->AtEnd()) return;
    collector->is_done = true;
    respond_(collector->request,
             [to = collector->connection](int status, const header_list& headers,
                                          std::string_view body) {
               const auto target = to.lock();
               if (target != nullptr) Respond(*target, status, headers, body);
             });
  };
  row->body->SetReader(read);
  read();
}

}  // namespace bronzeroute::standin
