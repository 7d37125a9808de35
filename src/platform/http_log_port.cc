#include "src/platform/http_log_port.h"

#include <chrono>
#include <string>
#include <utility>

#include "src/transport/event_loop.h"

namespace bronzeroute {
namespace {

// Time for which a read waits at the log. With 540 daemons, an idle log gets 216 reads/s.
constexpr std::chrono::milliseconds kReadWait(2500);
// Request timeout, shorter than the 6 s within which a configuration takes effect everywhere.
constexpr std::chrono::milliseconds kTimeout(5000);
constexpr int kReadLimit = 200;

// Calls `deliver` with the listener on the event loop, unless the port was destroyed.
template <typename Deliver>
void Post(std::weak_ptr<const log_listener> listener, Deliver deliver) {
  PostToLoop([listener = std::move(listener), deliver = std::move(deliver)] {
    if (const auto alive = listener.lock()) deliver(*alive);
  });
}

}  // namespace

http_log_port::http_log_port(std::string_view address, log_listener listener)
    : client_(address, kTimeout),
      listener_(std::make_shared<const log_listener>(std::move(listener))) {}

void http_log_port::Append(std::string_view stream, std::string_view /*key*/,
                           std::string_view data, std::uint64_t token) {
  client_.Append(stream, data)
      .then([weak = std::weak_ptr(listener_),
             token](const absl::StatusOr<std::int64_t>& offset) {
        Post(weak, [token, offset](const log_listener& to) { to.on_append(token, offset); });
      });
}

void http_log_port::Read(std::string_view stream, std::int64_t from) {
  client_.Read(stream, from, kReadLimit, kReadWait)
      .then([weak = std::weak_ptr(listener_),
             name = std::string(stream)](const absl::StatusOr<log_read>& read) {
        Post(weak, [name, read](const log_listener& to) {
          if (read.ok()) {
            to.on_read(*read);
          } else {
            to.on_read_failed(name, read.status());
          }
        });
      });
}

}  // namespace bronzeroute
