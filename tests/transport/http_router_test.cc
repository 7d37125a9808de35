#include "src/transport/http_router.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "src/transport/event_loop.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

constexpr std::string_view kLeave =
    "POST /leave HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view kStatus =
    "GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// A daemon whose responses to POST /leave are sent by the test.
class HttpRouterTest : public testing::Test {
 protected:
  raw_socket Connect() const {
    const std::string& address = daemon_.addresses().admin;
    return raw_socket::Connect(
        static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  }
  /// Waits until `count` requests wait for their response.
  void AwaitWaiting(std::size_t count) {
    for (bool reached = false; !reached;) {
      RunOnLoop([&] { reached = waiting_.size() == count; });
    }
  }
  void RespondToAll() {
    RunOnLoop([&] {
      for (const http_router::responder& send : std::exchange(waiting_, {})) {
        send({.status = 202, .content_type = "text/plain", .body = "done"});
      }
    });
  }

  std::vector<http_router::responder> waiting_;
  test_daemon daemon_{
      1, [this](transport& sockets) {
        sockets.admin_endpoints().AddDeferred(
            "POST", "/leave", [this](const local_request&, http_router::responder send) {
              waiting_.push_back(std::move(send));
            });
        sockets.admin_endpoints().Add("GET", "/status", [](const local_request&) {
          return local_response{.status = 200, .content_type = "text/plain", .body = "here"};
        });
      }};
};

// Guards against a response that is sent before the handler gives it, or that holds up others.
TEST_F(HttpRouterTest, DeferredResponseIsSentOnceItIsGiven) {
  const raw_socket leaving = Connect();
  leaving.Send(kLeave);
  AwaitWaiting(1);
  const raw_socket other = Connect();
  other.Send(kStatus);
  EXPECT_TRUE(other.ReceiveAll().ends_with("here"));
  RespondToAll();
  const std::string response = leaving.ReceiveAll();
  EXPECT_TRUE(response.starts_with("HTTP/1.1 202")) << response;
  EXPECT_TRUE(response.ends_with("done")) << response;
}

// Guards against a write to a connection that has ended.
TEST_F(HttpRouterTest, DeferredResponseOfAClientThatLeftIsDropped) {
  for (int i = 0; i < 20; ++i) {
    raw_socket leaving = Connect();
    leaving.Send(kLeave);
    AwaitWaiting(1);
    if (i % 2 == 0) {
      leaving.Reset();
    } else {
      leaving.Close();
    }
    RespondToAll();
  }
  const raw_socket other = Connect();
  other.Send(kStatus);
  EXPECT_TRUE(other.ReceiveAll().ends_with("here"));
}

}  // namespace
}  // namespace bronzeroute
