#pragma once

#include <cpprest/http_client.h>
#include <pplx/pplxtasks.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "src/platform/log_read.h"

namespace bronzeroute {

/// Client of the platform's log service over HTTP. Tasks never throw; their errors are
/// kUnavailable (no response, or 503), kResourceExhausted (429), kInternal (another status) or
/// kDataLoss (a malformed response). Tasks complete on the cpprestsdk thread pool.
class log_client {
 public:
  /// `address` is "ip:port". `timeout` limits each request, including the wait of a read.
  log_client(std::string_view address, std::chrono::milliseconds timeout);

  /// Appends `data` and returns its offset. After any error except kResourceExhausted, the
  /// append may or may not have taken effect. The HTTP library may silently send an append
  /// twice, so readers must tolerate duplicate records.
  pplx::task<absl::StatusOr<std::int64_t>> Append(std::string_view stream,
                                                  std::string_view data);

  /// Reads at most `limit` records from offset `from` on. If there is none yet, waits up to
  /// `wait` for the first one.
  pplx::task<absl::StatusOr<log_read>> Read(std::string_view stream, std::int64_t from,
                                            int limit, std::chrono::milliseconds wait);

 private:
  web::http::client::http_client client_;
};

}  // namespace bronzeroute
