#include "src/transport/upstream_connection.h"

#include <utility>

#include "src/transport/event_loop.h"
#include "src/transport/socket_options.h"

namespace bronzeroute {

upstream_connection::upstream_connection(std::string to)
    : address(std::move(to)), socket(LoopService()) {}

bool upstream_connection::IsReusable() {
  return reader.buffer().size() == 0 && bronzeroute::IsReusable(socket);
}

}  // namespace bronzeroute
