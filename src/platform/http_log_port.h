#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "src/platform/log_client.h"
#include "src/platform/log_listener.h"
#include "src/platform/log_port.h"

namespace bronzeroute {

/// Log port on the HTTP log service. Never blocks: the result of each call is passed to the
/// listener on the event loop, unless the port was destroyed before. The port must be used and
/// destroyed on the event loop.
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
