#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/base/credential_digest.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// The head of a caller's request as the transport parsed it.
struct caller_request {
  exchange_id exchange;
  std::string method;
  /// Path with query, as received. Without host-based routes its first segment names the
  /// service.
  std::string path;
  /// Value of the Host header.
  std::string host{};
  /// Request id set by the caller, empty if the deployment has none.
  std::string request_id{};
  /// Digest of the key of the caller's account; nothing if the request has none.
  std::optional<credential_digest> credential{};
  /// Idempotency key of the caller, empty if there is none.
  std::string key;
  /// Number of the caller's try with `key`, from 1.
  std::uint32_t caller_try = 1;
  std::uint32_t depth = 0;
  std::optional<std::uint64_t> content_length;
  /// The deadline requested by the caller; nothing if the time limit of the route applies.
  std::optional<time_point> deadline;
};

}  // namespace bronzeroute
