#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "src/platform/log_client.h"
#include "src/platform/log_listener.h"
#include "src/platform/log_port.h"

namespace bronzeroute {

/// The log port of a daemon. Never blocks; every call leads to one call of the listener on the
/// event loop, unless the port was destroyed meanwhile. Call and destroy it there.
class http_log_port : public log_port {
 public:
  /// `address` of the log is "ip:port".
  http_log_port(std::string_view address, log_listener listener);

  void Append(std::string_view stream, std::string_view key, std::string_view data,
              std::uint64_t token) override;
  void Read(std::string_view stream, std::int64_t from) override;

 private:
  log_client client_;
  std::shared_ptr<const log_listener> listener_;
};

}  // namespace bronzeroute
