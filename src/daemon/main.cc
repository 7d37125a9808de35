// The daemon beside each upstream, with the product's own log service and documents.

#include <memory>
#include <utility>

#include "src/daemon/daemon_parts.h"
#include "src/daemon/run_daemon.h"
#include "src/daemon/settings.h"
#include "src/platform/http_log_port.h"

int main(int argc, char** argv) {
  bronzeroute::daemon_parts parts;
  parts.open_log = [](const bronzeroute::settings& options,
                      bronzeroute::log_listener listener) {
    return std::make_unique<bronzeroute::http_log_port>(options.log_address,
                                                        std::move(listener));
  };
  return bronzeroute::RunDaemon(argc, argv, "bronzerouted", parts);
}
