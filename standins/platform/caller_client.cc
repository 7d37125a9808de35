#include "standins/platform/caller_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "src/transport/event_loop.h"
#include "src/transport/http_address.h"

namespace bronzeroute::standin {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr unsigned kHttp11 = 11;
// The deployments tell callers to reuse connections that rested for less than 12 s.
constexpr auto kKeepTime = std::chrono::seconds(10);

std::string Text(boost::beast::string_view from) { return {from.data(), from.size()}; }

}  // namespace

struct caller_client::connection {
  connection() : socket(LoopService()) {}
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::chrono::steady_clock::time_point kept_until;
};

class caller_client::exchange_task : public std::enable_shared_from_this<exchange_task> {
 public:
  exchange_task(caller_client& owner, std::string address, client_request request, done on_done)
      : owner_(owner),
        address_(std::move(address)),
        request_(std::move(request)),
        on_done_(std::move(on_done)),
        timer_(LoopService()) {
    message_.method_string(request_.method);
    message_.target(request_.target);
    message_.version(kHttp11);
    for (const auto& [name, value] : request_.headers) message_.insert(name, value);
    message_.body() = request_.body;
    if (request_.is_chunked) {
      message_.chunked(true);
    } else if (request_.method != "GET") {
      message_.prepare_payload();
    }
  }

  void Start() {
    timer_.expires_after(request_.patience);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->End({});
    });
    auto& kept = owner_.kept_[address_];
    while (request_.reuses_connection && !kept.empty()) {
      connection_ = std::move(kept.back());
      kept.pop_back();
      if (connection_->kept_until > std::chrono::steady_clock::now()) {
        Write();
        return;
      }
    }
    connection_ = std::make_shared<connection>();
    const auto address = ParseAddress(address_);
    if (!address.ok()) {
      PostToLoop([self = shared_from_this()] { self->End({}); });
      return;
    }
    connection_->socket.async_connect(
        tcp::endpoint(address->first, address->second),
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (self->on_done_ == nullptr) return;
          if (error) {
            self->End({});
            return;
          }
          boost::system::error_code ignored;
          self->connection_->socket.set_option(tcp::no_delay(true), ignored);
          self->Write();
        });
  }

 private:
  void Write() {
    http::async_write(connection_->socket, message_,
                      [self = shared_from_this()](const boost::system::error_code& error,
                                                  std::size_t /*count*/) {
                        if (self->on_done_ == nullptr) return;
                        // An early response may still be readable after a failed write.
                        self->write_failed_ = error.failed();
                        self->Read();
                      });
  }

  void Read() {
    response_.emplace();
    http::async_read(connection_->socket, connection_->buffer, *response_,
                     [self = shared_from_this()](const boost::system::error_code& error,
                                                 std::size_t /*count*/) {
                       if (self->on_done_ == nullptr) return;
                       if (error) {
                         self->End({});
                       } else {
                         self->Take();
                       }
                     });
  }

  void Take() {
    client_response result;
    result.status = static_cast<int>(response_->result_int());
    for (const auto& field : *response_) {
      result.headers.emplace_back(Text(field.name_string()), Text(field.value()));
    }
    result.body = std::move(response_->body());
    if (request_.reuses_connection && response_->keep_alive() && !write_failed_) {
      connection_->kept_until = std::chrono::steady_clock::now() + kKeepTime;
      owner_.kept_[address_].push_back(std::exchange(connection_, nullptr));
    }
    End(result);
  }

  void End(const client_response& result) {
    if (on_done_ == nullptr) return;
    const done finish = std::exchange(on_done_, nullptr);
    timer_.cancel();
    if (connection_ != nullptr) {
      boost::system::error_code ignored;
      connection_->socket.close(ignored);
    }
    finish(result);
  }

  caller_client& owner_;
  std::string address_;
  client_request request_;
  done on_done_;
  boost::asio::steady_timer timer_;
  http::request<http::string_body> message_;
  std::optional<http::response<http::string_body>> response_;
  std::shared_ptr<connection> connection_;
  bool write_failed_ = false;
};

void caller_client::Send(const std::string& address, client_request request, done on_done) {
  std::make_shared<exchange_task>(*this, address, std::move(request), std::move(on_done))
      ->Start();
}

}  // namespace bronzeroute::standin
