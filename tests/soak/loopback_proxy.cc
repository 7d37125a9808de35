#include "tests/soak/loopback_proxy.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace bronzeroute::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kPieceBytes = 16'384;
// Period at which a stalled direction checks whether it may continue.
constexpr auto kStallPoll = std::chrono::milliseconds(5);

tcp::endpoint Endpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

struct loopback_proxy::link {
  explicit link(boost::asio::io_context& loop) : client(loop), server(loop) {}
  tcp::socket client;
  tcp::socket server;

  void Close(bool reset) {
    for (tcp::socket* socket : {&client, &server}) {
      error_code ignored;
      if (reset) socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
};

/// Forwards the bytes of one direction of a link.
struct loopback_proxy::pump : std::enable_shared_from_this<pump> {
  pump(loopback_proxy& owner, std::shared_ptr<link> of, bool to_server)
      : proxy(owner),
        both(std::move(of)),
        from(to_server ? both->client : both->server),
        to(to_server ? both->server : both->client),
        drop(to_server ? link_fault::kDropToServer : link_fault::kDropToClient),
        timer(owner.loop_) {}

  void Read() {
    from.async_read_some(boost::asio::buffer(piece),
                         [self = shared_from_this()](error_code error, std::size_t count) {
                           self->size = count;
                           self->ended = error ? true : false;
                           self->Forward();
                         });
  }

  void Forward() {
    const link_fault fault = proxy.fault_;
    if (fault == link_fault::kStalled) {
      Wait(kStallPoll, &pump::Forward);
    } else if (fault == link_fault::kDelayed) {
      Wait(std::chrono::milliseconds(proxy.delay_ms_), &pump::Write);
    } else if (fault == drop && !ended) {
      Read();
    } else {
      Write();
    }
  }

  void Wait(std::chrono::milliseconds time, void (pump::*next)()) {
    timer.expires_after(time);
    timer.async_wait([self = shared_from_this(), next](error_code) { ((*self).*next)(); });
  }

  void Write() {
    if (ended) {
      both->Close(false);
      return;
    }
    boost::asio::async_write(to, boost::asio::buffer(piece.data(), size),
                             [self = shared_from_this()](error_code error, std::size_t) {
                               if (error) {
                                 self->both->Close(false);
                               } else {
                                 self->Read();
                               }
                             });
  }

  loopback_proxy& proxy;
  std::shared_ptr<link> both;
  tcp::socket& from;
  tcp::socket& to;
  link_fault drop;
  boost::asio::steady_timer timer;
  std::array<char, kPieceBytes> piece{};
  std::size_t size = 0;
  bool ended = false;
};

loopback_proxy::loopback_proxy(const std::string& server)
    : server_(Endpoint(server)), acceptor_(loop_, tcp::endpoint(tcp::v4(), 0)) {
  Accept();
  thread_ = std::thread([this] { loop_.run(); });
}

loopback_proxy::~loopback_proxy() {
  loop_.stop();
  thread_.join();
}

std::string loopback_proxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void loopback_proxy::Accept() {
  auto made = std::make_shared<link>(loop_);
  acceptor_.async_accept(made->client, [this, made](error_code error) {
    if (error) return;
    std::erase_if(links_, [](const auto& old) { return old.expired(); });
    links_.push_back(made);
    made->server.async_connect(server_, [this, made](error_code refused) {
      if (refused) {
        made->Close(true);
        return;
      }
      std::make_shared<pump>(*this, made, true)->Read();
      std::make_shared<pump>(*this, made, false)->Read();
    });
    Accept();
  });
}

void loopback_proxy::Reset() {
  boost::asio::post(loop_, [this] {
    for (const auto& each : links_) {
      if (const auto open = each.lock()) open->Close(true);
    }
  });
}

}  // namespace bronzeroute::testing
