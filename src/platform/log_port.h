#pragma once

#include <cstdint>
#include <string_view>

#include "src/base/time.h"

namespace bronzeroute {

/// Access to the platform's log, a service with append-only streams of records that are
/// addressed by offset. Results are delivered as events. Implemented over HTTP, mocked in
/// tests.
class log_port {
 public:
  virtual ~log_port() = default;

  /// Appends `data` to `stream`. The result event contains `token`. A failed append may still
  /// have taken effect. A log that supports keys keeps the newest record of each `key`; others
  /// ignore it.
  virtual void Append(std::string_view stream, std::string_view key, std::string_view data,
                      std::uint64_t token) = 0;

  /// Reads records from offset `from` on. If there is none yet, the log waits a short time for
  /// one. Replaces a read of `stream` that is still open: that one gives no result, and the new
  /// one does not share its connection.
  virtual void Read(std::string_view stream, std::int64_t from) = 0;

  /// Enforces time limits, about every 10 ms.
  virtual void Tick(time_point /*now*/) {}
};

}  // namespace bronzeroute
