#include "src/transport/http_server.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "src/transport/absl_text.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_address.h"
#include "src/transport/http_connection.h"
#include "src/transport/socket_options.h"

namespace bronzeroute {
namespace {

using boost::asio::ip::tcp;

// Length of the queue of connections that wait to be accepted. Callers open connections in
// bursts, and a SYN dropped by a full queue is retransmitted only after a second.
constexpr int kBacklog = 1024;
// Interval between checks of the time limits of connections, which are seconds long.
constexpr auto kSweepPeriod = std::chrono::milliseconds(250);
// Time for handshakes in progress to complete when a server stops listening: several round
// trips between availability zones.
constexpr auto kHandshakeTime = std::chrono::milliseconds(20);
// Pause after a failed accept, for example when no file descriptors are free.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);

}  // namespace

struct http_server::listener {
  explicit listener(http_server& server) : acceptor(LoopService()), owner(&server) {}
  tcp::acceptor acceptor;
  http_server* owner;
  time_point paused_until;
  /// Set once new connections are dropped; the listener is closed at this time.
  time_point closes_at;
};

http_server::http_server(http_request_handler& handler) : handler_(handler) {}

http_server::~http_server() { Stop(); }

absl::Status http_server::Start(std::string_view address) {
  const auto parsed = ParseAddress(address);
  if (!parsed.ok()) return parsed.status();
  const tcp::endpoint local(parsed->first, parsed->second);
  auto fresh = std::make_shared<listener>(*this);
  boost::system::error_code error;
  fresh->acceptor.open(local.protocol(), error);
  if (!error) fresh->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) fresh->acceptor.bind(local, error);
  if (!error) fresh->acceptor.listen(kBacklog, error);
  if (!error) fresh->acceptor.non_blocking(true, error);
  if (error) {
    return absl::UnavailableError(
        absl::StrCat("cannot listen on ", AbslText(address), ": ", error.message()));
  }
  listener_ = fresh;
  started_ = true;
  RunOnLoop([this, fresh] { Accept(fresh); });
  return absl::OkStatus();
}

void http_server::Accept(const std::shared_ptr<listener>& from) {
  from->acceptor.async_accept(
      [from](const boost::system::error_code& error, tcp::socket socket) {
        http_server* const self = from->owner;
        if (self == nullptr || error == boost::asio::error::operation_aborted) return;
        if (error) {
          // A tick after the pause accepts again; an immediate retry would spin.
          from->paused_until = MonotonicNow() + kAcceptPause;
          return;
        }
        const absl::Cleanup next = [self, from] {
          if (from->owner != nullptr && from->acceptor.is_open()) self->Accept(from);
        };
        self->Take(std::move(socket));
      });
}

void http_server::Take(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<http_connection>(std::move(socket), *this);
  connections_.emplace(connection.get(), connection);
  connection->Start();
  const bool is_ending = listener_ == nullptr || listener_->closes_at != time_point{};
  if (is_ending) connection->CloseWhenIdle();
}

void http_server::Tick(time_point now) {
  if (listener_ != nullptr && listener_->paused_until != time_point{} &&
      now >= listener_->paused_until) {
    listener_->paused_until = time_point{};
    Accept(listener_);
  }
  if (listener_ != nullptr && listener_->closes_at != time_point{} &&
      now >= listener_->closes_at) {
    CloseListener();
  }
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepPeriod;
  std::vector<std::shared_ptr<http_connection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->Tick(now);
}

void http_server::BeginClosing() { closing_ = true; }

void http_server::EndListening() {
  BeginClosing();
  if (listener_ != nullptr && listener_->closes_at == time_point{}) {
    DropNewConnections(listener_->acceptor);
    listener_->closes_at = MonotonicNow() + kHandshakeTime;
  }
  std::vector<std::shared_ptr<http_connection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) all.push_back(connection);
  for (const auto& connection : all) connection->CloseWhenIdle();
}

void http_server::CloseListener() {
  const auto closed = std::exchange(listener_, nullptr);
  boost::system::error_code error;
  while (!error) {
    tcp::socket socket(LoopService());
    closed->acceptor.accept(socket, error);
    if (!error) Take(std::move(socket));
  }
  closed->acceptor.close(error);
}

void http_server::Stop() {
  if (!started_) return;
  started_ = false;
  RunOnLoop([this] {
    if (listener_ != nullptr) {
      boost::system::error_code ignored;
      listener_->owner = nullptr;
      listener_->acceptor.close(ignored);
      listener_ = nullptr;
    }
    const auto all = std::exchange(connections_, {});
    for (const auto& [key, connection] : all) connection->Abandon();
  });
}

void http_server::Forget(http_connection& connection) { connections_.erase(&connection); }

}  // namespace bronzeroute
