#pragma once

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include "src/transport/byte_pipe.h"
#include "src/transport/response_head.h"

namespace bronzeroute::internal {

/// Maximum number of bytes per read from a socket.
inline constexpr std::size_t kReadBytes = std::size_t{16} * 1024;

/// Maximum size of a chunk header, and of the trailer after the last chunk. The parser has no
/// limit of its own for them and needs each of them as a whole.
inline constexpr std::size_t kMaxFramingBytes = std::size_t{16} * 1024;

enum class read_step {
  /// More bytes of the socket are needed.
  kNeedsBytes,
  /// The pipe has no room; reading continues once it has.
  kNeedsRoom,
  /// The head or the complete message was read, depending on the function.
  kDone,
  /// The bytes are not a valid HTTP message; see `error()`.
  kBad,
};

/// Parses the HTTP messages of one connection and moves their bodies into pipes.
template <bool IsRequest>
class message_reader {
 public:
  using parser = boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>;

  /// Prepares for the next message; bytes received after the previous one are kept. A
  /// `body_limit` of 0 means no limit.
  void Begin(std::size_t head_limit, std::uint64_t body_limit) {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(head_limit));
    // Without a limit, Boost 1.74 rejects every body with a length.
    constexpr auto kNoLimit = std::numeric_limits<std::uint64_t>::max();
    parser_->body_limit(body_limit == 0 ? kNoLimit : body_limit);
    parser_->eager(false);
    error_ = {};
    head_limit_ = head_limit;
  }

  /// Declares the message a response to HEAD: it has no body, whatever its headers state.
  void SkipBody() { parser_->skip(true); }

  read_step ReadHead() {
    if constexpr (!IsRequest) {
      const read_step checked = CheckHead();
      if (checked != read_step::kDone) return checked;
    }
    while (!parser_->is_header_done()) {
      if (buffer_.size() == 0) return read_step::kNeedsBytes;
      const std::size_t used = parser_->put(buffer_.data(), error_);
      buffer_.consume(used);
      if (error_ == boost::beast::http::error::need_more) {
        error_ = {};
        if (used == 0) return read_step::kNeedsBytes;
      }
      if (error_) return read_step::kBad;
    }
    return read_step::kDone;
  }

  /// Moves body bytes into `body`, or drops them if it is null.
  read_step ReadBody(byte_pipe* body) {
    std::array<char, kReadBytes> bytes;
    while (!parser_->is_done()) {
      std::size_t room = bytes.size();
      if (body != nullptr && !body->discarding()) room = std::min(room, body->Room());
      if (room == 0) return read_step::kNeedsRoom;
      if (buffer_.size() == 0) return read_step::kNeedsBytes;
      auto& target = parser_->get().body();
      target.data = bytes.data();
      target.size = room;
      const std::size_t used = parser_->put(buffer_.data(), error_);
      buffer_.consume(used);
      const std::size_t count = room - target.size;
      target.data = nullptr;
      if (body != nullptr && count > 0) body->Append({bytes.data(), count});
      if (error_ == boost::beast::http::error::need_buffer) error_ = {};
      if (error_ == boost::beast::http::error::need_more) {
        error_ = {};
        if (used == 0 && count == 0) {
          return buffer_.size() > kMaxFramingBytes ? read_step::kBad : read_step::kNeedsBytes;
        }
      }
      if (error_) return read_step::kBad;
    }
    return read_step::kDone;
  }

  /// Called when the connection ended without a reset. True if that completes the message.
  bool FinishAtEnd() {
    if (!parser_.has_value() || !parser_->is_header_done()) return false;
    parser_->put_eof(error_);
    return !error_ && parser_->is_done();
  }

  parser& message() { return *parser_; }
  const boost::system::error_code& error() const { return error_; }
  /// Bytes received and not yet parsed.
  boost::beast::flat_buffer& buffer() { return buffer_; }

 private:
  /// Checks a response head before the parser gets it, which accepts more than can be relayed:
  /// folded lines and any status of three digits.
  read_step CheckHead() {
    const std::string_view received(static_cast<const char*>(buffer_.data().data()),
                                    buffer_.size());
    switch (CheckResponseHead(received)) {
      case head_state::kComplete:
        return read_step::kDone;
      case head_state::kInvalid:
        error_ = boost::beast::http::error::bad_field;
        return read_step::kBad;
      case head_state::kIncomplete:
        break;
    }
    if (received.size() < head_limit_) return read_step::kNeedsBytes;
    error_ = boost::beast::http::error::header_limit;
    return read_step::kBad;
  }

  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  boost::system::error_code error_;
  std::size_t head_limit_ = 0;
};

}  // namespace bronzeroute::internal
