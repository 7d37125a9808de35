#pragma once

#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// The platform's append-only log as the decision logic uses it. Results come back as events.
/// Implemented over HTTP, mocked in tests.
class log_port {
 public:
  virtual ~log_port() = default;

  /// Appends `data` to `stream`. The result event names `token`. A failed append may still
  /// have taken effect.
  virtual void Append(std::string_view stream, std::string_view data, std::uint64_t token) = 0;

  /// Reads records from offset `from` on; waits at the log for new ones for a short time.
  virtual void Read(std::string_view stream, std::int64_t from) = 0;
};

}  // namespace bronzeroute
