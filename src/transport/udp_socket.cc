#include "src/transport/udp_socket.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <string>

#include "src/transport/absl_text.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_address.h"
#include "src/transport/transport_events.h"

namespace bronzeroute {

using boost::asio::ip::udp;

struct udp_socket::receiver : std::enable_shared_from_this<udp_socket::receiver> {
  explicit receiver(transport_events& sink) : socket(LoopService()), events(&sink) {}

  void Receive() {
    socket.async_receive_from(
        boost::asio::buffer(data), from,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
          if (self->events == nullptr || error == boost::asio::error::operation_aborted) return;
          const absl::Cleanup next = [&self] { self->Receive(); };
          // Other errors are delayed ICMP errors for datagrams sent earlier; receiving
          // continues.
          if (!error) {
            const std::string address =
                absl::StrCat(self->from.address().to_string(), ":", self->from.port());
            self->events->OnDatagram(address, {self->data.data(), size}, MonotonicNow());
          }
        });
  }

  udp::socket socket;
  udp::endpoint from;
  std::array<char, 65536> data{};
  transport_events* events;
};

udp_socket::udp_socket(transport_events& events) : events_(events) {}

udp_socket::~udp_socket() { Stop(); }

absl::Status udp_socket::Start(std::string_view address) {
  const auto parsed = ParseAddress(address);
  if (!parsed.ok()) return parsed.status();
  const udp::endpoint local(parsed->first, parsed->second);
  auto fresh = std::make_shared<receiver>(events_);
  boost::system::error_code error;
  fresh->socket.open(local.protocol(), error);
  if (!error) fresh->socket.bind(local, error);
  if (!error) fresh->socket.non_blocking(true, error);
  if (error) {
    return absl::UnavailableError(
        absl::StrCat("cannot receive on ", AbslText(address), ": ", error.message()));
  }
  receiver_ = fresh;
  RunOnLoop([fresh] { fresh->Receive(); });
  return absl::OkStatus();
}

void udp_socket::Stop() {
  if (receiver_ == nullptr) return;
  RunOnLoop([this] {
    boost::system::error_code ignored;
    receiver_->socket.close(ignored);
    receiver_->events = nullptr;
  });
  receiver_ = nullptr;
}

void udp_socket::SendDatagram(std::string_view address, std::string_view payload) {
  const auto parsed = ParseAddress(address);
  if (!parsed.ok() || receiver_ == nullptr) return;
  boost::system::error_code ignored;
  receiver_->socket.send_to(boost::asio::buffer(payload.data(), payload.size()),
                            udp::endpoint(parsed->first, parsed->second), 0, ignored);
}

}  // namespace bronzeroute
