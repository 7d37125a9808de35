#pragma once

#include <cstdint>
#include <string_view>

#include "src/base/time.h"

namespace bronzeroute {

/// The platform's append-only log as the decision logic uses it. Results come back as events.
/// Implemented over HTTP, mocked in tests.
class log_port {
 public:
  virtual ~log_port() = default;

  /// Appends `data` to `stream`. The result event names `token`. A failed append may still
  /// have taken effect. A log that knows keys keeps the newest record of each `key`.
  virtual void Append(std::string_view stream, std::string_view key, std::string_view data,
                      std::uint64_t token) = 0;

  /// Reads records from offset `from` on; waits at the log for new ones for a short time.
  virtual void Read(std::string_view stream, std::int64_t from) = 0;

  /// Enforces time limits, about every 10 ms.
  virtual void Tick(time_point /*now*/) {}
};

}  // namespace bronzeroute
