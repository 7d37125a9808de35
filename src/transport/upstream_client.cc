#include "src/transport/upstream_client.h"

#include <absl/strings/ascii.h>

#include <cstddef>
#include <iterator>

#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/exchange_table.h"
#include "src/transport/transport_events.h"
#include "src/transport/upstream_attempt.h"
#include "src/transport/upstream_connection.h"

namespace bronzeroute {
namespace {

// Maximum number of idle connections to the upstream. More than its number of slots are not
// needed.
constexpr std::size_t kMaxIdleConnections = 16;

}  // namespace

upstream_client::upstream_client(exchange_table& exchanges, transport_events& events,
                                 const http_dialect& dialect)
    : exchanges_(exchanges), events_(events), dialect_(dialect) {}

upstream_client::~upstream_client() { Stop(); }

void upstream_client::Stop() {
  if (!used_) return;
  used_ = false;
  RunOnLoop([this] {
    for (auto& [id, attempt] : std::exchange(running_, {})) attempt->Abandon();
    kept_.clear();
    address_.clear();
  });
}

void upstream_client::SetUpstream(std::string_view address, std::string_view identity) {
  used_ = true;
  identity_ = identity;
  ++generation_;
  if (address == address_) return;
  address_ = address;
  kept_.clear();
}

void upstream_client::StartUpstream(exchange_id exchange, const attempt_id& attempt,
                                    time_point deadline, bool fresh_connection) {
  used_ = true;
  const key id(exchange, attempt);
  auto row = exchanges_.Find(exchange);
  if (row == nullptr || address_.empty() || running_.contains(id) || !row->body->Rewind()) {
    PostToLoop([this, id] {
      if (used_) events_.OnUpstreamConnectFailed(id.first, id.second, MonotonicNow());
    });
    return;
  }
  const auto running =
      std::make_shared<upstream_attempt>(*this, row, attempt, deadline, fresh_connection);
  running_.emplace(id, running);
  running->Start();
}

void upstream_client::CancelUpstream(exchange_id exchange, const attempt_id& attempt) {
  const auto found = running_.find(key(exchange, attempt));
  if (found == running_.end()) return;
  const auto running = found->second;
  running->Cancel();
}

std::uint32_t upstream_client::DepthOfCall(std::string_view request_id) const {
  for (const auto& [key, attempt] : running_) {
    const std::string_view parent = attempt->request_id();
    const bool continues = !parent.empty() && request_id.size() > parent.size() &&
                           request_id.starts_with(parent) &&
                           !absl::ascii_isalnum(request_id[parent.size()]);
    if (continues) return attempt->depth() + 1;
  }
  return 0;
}

void upstream_client::Tick(time_point now) {
  std::erase_if(kept_, [now](const auto& connection) { return connection->kept_until <= now; });
}

std::shared_ptr<upstream_connection> upstream_client::TakeIdle(std::string_view request_id) {
  const time_point now = MonotonicNow();
  for (auto next = kept_.end(); next != kept_.begin();) {
    const auto found = std::prev(next);
    auto connection = *found;
    next = found;
    if (!request_id.empty() && connection->refused_request == request_id) continue;
    next = kept_.erase(found);
    if (connection->kept_until > now && connection->IsReusable()) return connection;
  }
  return nullptr;
}

void upstream_client::Keep(const std::shared_ptr<upstream_connection>& connection) {
  if (connection->address == address_ && kept_.size() < kMaxIdleConnections) {
    kept_.push_back(connection);
  }
}

void upstream_client::Forget(const upstream_attempt& attempt) {
  running_.erase(key(attempt.exchange_of(), attempt.attempt()));
}

}  // namespace bronzeroute
