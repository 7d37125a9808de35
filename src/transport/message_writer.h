#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "src/transport/byte_pipe.h"

namespace bronzeroute::internal {

/// Maximum number of body bytes per write to a socket.
inline constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;

/// Writes one HTTP message to a socket; the body is taken from a pipe as bytes arrive there.
template <bool IsRequest>
class message_writer : public std::enable_shared_from_this<message_writer<IsRequest>> {
 public:
  using message = boost::beast::http::message<IsRequest, boost::beast::http::buffer_body>;
  enum class end {
    kComplete,
    /// The body's pipe failed; the message on the wire is truncated.
    kTruncated,
    /// The socket failed.
    kBroken,
  };
  using done = std::function<void(end)>;

  /// `owner` owns `socket`. It is kept alive while a write is pending: a write in several parts
  /// goes on with the next part even if the socket was closed in between.
  message_writer(std::weak_ptr<void> owner, boost::asio::ip::tcp::socket& socket, message head,
                 std::shared_ptr<byte_pipe> body, done on_done)
      : owner_(std::move(owner)),
        socket_(&socket),
        message_(std::move(head)),
        serializer_(std::in_place, message_),
        body_(std::move(body)),
        on_done_(std::move(on_done)) {}

  /// Writes only the head, whatever its headers state about a body.
  void WriteOnlyHead() { head_only_ = true; }

  void Start() {
    if (body_ != nullptr) {
      body_->SetReader([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) self->Write();
      });
    }
    Write();
  }

  /// Prevents further calls of `done`. The caller closes the socket.
  void Abandon() {
    on_done_ = nullptr;
    socket_ = nullptr;
    if (body_ != nullptr) body_->SetReader(nullptr);
  }

  /// True once the socket accepted part of the message. The head is written together with the
  /// first bytes of the body.
  bool wrote_any() const { return wrote_any_; }

 private:
  void Write() {
    if (writing_ || socket_ == nullptr || finished_) return;
    auto& body = message_.body();
    body.data = nullptr;
    body.size = 0;
    body.more = body_ != nullptr && !head_only_;
    if (body.more) {
      if (body_->AtFailure()) {
        Finish(end::kTruncated);
        return;
      }
      const std::size_t count = std::min(body_->Available(), kWriteBytes);
      if (count == 0 && !body_->AtEnd() && head_written_) return;
      // Taking bytes makes room, and the pipe's writer may call this function again at once;
      // `writing_` makes that call return.
      writing_ = true;
      chunk_.resize(count);
      body_->Take(chunk_.data(), count);
      writing_ = false;
      body.more = !body_->AtEnd();
      if (count > 0) {
        body.data = chunk_.data();
        body.size = count;
      }
      if (count == 0 && body.more && head_written_) return;
    }
    writing_ = true;
    const auto written = [self = this->shared_from_this(), owner = owner_.lock()](
                             const boost::system::error_code& error, std::size_t count) {
      self->wrote_any_ = self->wrote_any_ || count > 0;
      self->OnWritten(error);
    };
    if (head_only_) {
      serializer_->split(true);
      boost::beast::http::async_write_header(*socket_, *serializer_, written);
    } else {
      boost::beast::http::async_write(*socket_, *serializer_, written);
    }
  }

  void OnWritten(const boost::system::error_code& error) {
    writing_ = false;
    if (socket_ == nullptr) return;
    head_written_ = true;
    if (error == boost::beast::http::error::need_buffer) {
      Write();
      return;
    }
    Finish(error ? end::kBroken : end::kComplete);
  }

  void Finish(end how) {
    finished_ = true;
    if (body_ != nullptr) body_->SetReader(nullptr);
    const done report = std::exchange(on_done_, nullptr);
    if (report) report(how);
  }

  std::weak_ptr<void> owner_;
  boost::asio::ip::tcp::socket* socket_;
  message message_;
  std::optional<boost::beast::http::serializer<IsRequest, boost::beast::http::buffer_body>>
      serializer_;
  std::shared_ptr<byte_pipe> body_;
  done on_done_;
  std::vector<char> chunk_;
  bool head_only_ = false;
  bool head_written_ = false;
  bool writing_ = false;
  bool wrote_any_ = false;
  bool finished_ = false;
};

}  // namespace bronzeroute::internal
