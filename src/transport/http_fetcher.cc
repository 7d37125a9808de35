#include "src/transport/http_fetcher.h"

#include <absl/status/status.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "src/transport/event_loop.h"
#include "src/transport/http_address.h"
#include "src/transport/socket_options.h"

namespace bronzeroute {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// Time for which an idle connection is kept. Servers commonly close theirs after some seconds.
constexpr auto kKeepTime = std::chrono::seconds(4);
constexpr unsigned kHttp11 = 11;
// Largest part of a response that is parsed as a whole, for example a chunk header.
constexpr std::size_t kMaxBufferedBytes = std::size_t{64} * 1024;

std::string Text(boost::beast::string_view from) { return {from.data(), from.size()}; }

}  // namespace

struct http_fetcher::connection {
  connection() : socket(LoopService()) {}
  tcp::socket socket;
  boost::beast::flat_buffer buffer{kMaxBufferedBytes};
  time_point kept_until;
};

class http_fetcher::pending_fetch : public std::enable_shared_from_this<pending_fetch> {
 public:
  pending_fetch(http_fetcher& owner, fetch_id id, fetch_request request, done on_done)
      : owner_(&owner), id_(id), on_done_(std::move(on_done)), deadline_(request.deadline) {
    message_.method_string(request.method);
    message_.target(request.target);
    message_.version(kHttp11);
    message_.set(http::field::host, owner.address_);
    message_.keep_alive(true);
    if (request.method != "GET") {
      message_.set(http::field::content_type, request.content_type);
      message_.body() = std::move(request.body);
      message_.prepare_payload();
    }
  }

  void Start() {
    const time_point now = MonotonicNow();
    while (!owner_->kept_.empty()) {
      connection_ = owner_->kept_.back();
      owner_->kept_.pop_back();
      if (connection_->kept_until > now && connection_->buffer.size() == 0 &&
          IsReusable(connection_->socket)) {
        Send();
        return;
      }
    }
    Connect();
  }

  fetch_id id() const { return id_; }
  time_point deadline() const { return deadline_; }
  bool is_receiving() const { return response_ && response_->got_some(); }
  void GiveUp() {
    End(sent_ ? absl::DeadlineExceededError("no response before the deadline of the request")
              : absl::UnavailableError("not connected before the deadline of the request"));
  }
  void Abandon() {
    owner_ = nullptr;
    Close();
  }

 private:
  void Connect() {
    connection_ = std::make_shared<connection>();
    const auto address = ParseAddress(owner_->address_);
    if (!address.ok()) {
      PostToLoop([self = shared_from_this(), error = address.status()] { self->End(error); });
      return;
    }
    connection_->socket.async_connect(
        tcp::endpoint(address->first, address->second),
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (self->owner_ == nullptr) return;
          if (error) {
            self->End(absl::UnavailableError(error.message()));
            return;
          }
          SetClientOptions(self->connection_->socket);
          self->Send();
        });
  }

  void Send() {
    sent_ = true;
    http::async_write(connection_->socket, message_,
                      [self = shared_from_this()](const boost::system::error_code& error,
                                                  std::size_t /*count*/) {
                        if (self->owner_ == nullptr) return;
                        if (error) {
                          self->End(absl::UnknownError(error.message()));
                        } else {
                          self->Receive();
                        }
                      });
  }

  void Receive() {
    response_.emplace();
    response_->body_limit(owner_->response_limit_);
    http::async_read(connection_->socket, connection_->buffer, *response_,
                     [self = shared_from_this()](const boost::system::error_code& error,
                                                 std::size_t /*count*/) {
                       if (self->owner_ == nullptr) return;
                       if (error) {
                         self->End(absl::UnknownError(error.message()));
                       } else {
                         self->Take();
                       }
                     });
  }

  void Take() {
    fetch_response response{static_cast<int>(response_->get().result_int()),
                            std::move(response_->get().body()),
                            {}};
    for (const auto& field : response_->get()) {
      response.fields.emplace_back(Text(field.name_string()), Text(field.value()));
    }
    if (response_->get().keep_alive() && connection_->buffer.size() == 0) {
      connection_->kept_until = MonotonicNow() + kKeepTime;
      owner_->kept_.push_back(std::exchange(connection_, nullptr));
    }
    End(std::move(response));
  }

  void End(const absl::StatusOr<fetch_response>& result) {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    std::erase(std::exchange(owner_, nullptr)->running_, self);
    Close();
    on_done_(result);
  }

  void Close() {
    if (connection_ == nullptr) return;
    boost::system::error_code ignored;
    connection_->socket.close(ignored);
  }

  http_fetcher* owner_;
  fetch_id id_;
  done on_done_;
  time_point deadline_;
  http::request<http::string_body> message_;
  std::optional<http::response_parser<http::string_body>> response_;
  std::shared_ptr<connection> connection_;
  bool sent_ = false;
};

http_fetcher::http_fetcher(std::string address, std::size_t response_limit)
    : address_(std::move(address)), response_limit_(response_limit) {}

http_fetcher::~http_fetcher() {
  for (const auto& each : running_) each->Abandon();
}

http_fetcher::fetch_id http_fetcher::Fetch(fetch_request request, done on_done) {
  const auto fresh = std::make_shared<pending_fetch>(*this, ++last_id_, std::move(request),
                                                     std::move(on_done));
  running_.push_back(fresh);
  fresh->Start();
  return fresh->id();
}

bool http_fetcher::IsReceiving(fetch_id id) const {
  const auto found = Find(id);
  return found != nullptr && found->is_receiving();
}

void http_fetcher::Cancel(fetch_id id) {
  const auto found = Find(id);
  if (found == nullptr) return;
  found->Abandon();
  std::erase(running_, found);
  kept_.clear();
}

std::shared_ptr<http_fetcher::pending_fetch> http_fetcher::Find(fetch_id id) const {
  const auto found =
      std::ranges::find_if(running_, [id](const auto& each) { return each->id() == id; });
  return found == running_.end() ? nullptr : *found;
}

void http_fetcher::Tick(time_point now) {
  std::vector<std::shared_ptr<pending_fetch>> late;
  for (const auto& each : running_) {
    if (each->deadline() <= now) late.push_back(each);
  }
  for (const auto& each : late) each->GiveUp();
  std::erase_if(kept_, [now](const auto& each) { return each->kept_until <= now; });
}

}  // namespace bronzeroute
