#include "src/transport/upstream_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "src/transport/event_loop.h"

namespace bronzeroute {

upstream_connection::upstream_connection(std::string to)
    : address(std::move(to)), socket(LoopService()) {}

bool upstream_connection::IsQuiet() {
  if (reader.buffer().size() > 0) return false;
  char byte = 0;
  const ssize_t count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace bronzeroute
