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
/// kDataLoss (a response that cannot be read). Task results come on the cpprestsdk pool.
class log_client {
 public:
  /// `address` is "ip:port". `timeout` bounds each request, the wait of a read included.
  log_client(std::string_view address, std::chrono::milliseconds timeout);

  /// Appends `data` and gives its offset. Every error but kResourceExhausted leaves open
  /// whether the append took effect. The HTTP library may silently send an append twice, so
  /// records must bear repetition.
  pplx::task<absl::StatusOr<std::int64_t>> Append(std::string_view stream,
                                                  std::string_view data);

  /// Reads at most `limit` records from offset `from` on; waits up to `wait` for the first.
  pplx::task<absl::StatusOr<log_read>> Read(std::string_view stream, std::int64_t from,
                                            int limit, std::chrono::milliseconds wait);

 private:
  web::http::client::http_client client_;
};

}  // namespace bronzeroute
