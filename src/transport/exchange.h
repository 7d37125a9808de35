#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "src/base/strong_id.h"
#include "src/transport/byte_pipe.h"
#include "src/transport/header_list.h"
#include "src/transport/response_stream.h"

namespace bronzeroute {

/// Body bytes that are kept so that a further attempt can send them again. A body up to this
/// size is sent with the first frame of a short attempt.
inline constexpr std::size_t kKeptBodyBytes = std::size_t{64} * 1024;
/// Body bytes of one frame between daemons.
inline constexpr std::size_t kFrameBytes = std::size_t{64} * 1024;
/// Unread bytes that one direction of a stream holds before its writer has to wait.
inline constexpr std::size_t kPipeBytes = std::size_t{128} * 1024;

/// A request with its response: a caller's HTTP exchange at the entry (the daemon that took the
/// caller's request), or an attempt's gRPC stream at the owner (the daemon beside the chosen
/// upstream).
struct exchange {
  exchange_id id;
  std::string method;
  std::string path;
  /// Value of the Host field.
  std::string host;
  header_list headers;
  std::optional<std::uint64_t> content_length;
  std::uint32_t depth = 0;
  /// Requests before it on its connection were unanswered when it was passed on.
  bool is_pipelined = false;
  std::shared_ptr<byte_pipe> body;
  /// The response received last. Code that relays it first checks that it belongs to the
  /// attempt.
  std::shared_ptr<response_stream> response;
};

}  // namespace bronzeroute
