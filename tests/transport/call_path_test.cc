#include <gtest/gtest.h>

#include <string>

#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

constexpr char kPost[] =
    "POST /orders/1?a=b%20c&d=%2F HTTP/1.1\r\nHost: shop\r\nContent-Length: 5\r\n"
    "Content-Type: application/x-odd\r\nX-Kept: yes\r\nConnection: close, X-Own\r\n"
    "X-Own: no\r\nBronzeroute-Depth: 3\r\n\r\nh\0llo";
const std::string kPostBytes(kPost, sizeof kPost - 1);

// Records one request with a body of 5 bytes and sends a response.
struct simple_upstream {
  std::string head;
  std::string body;
  raw_upstream server{[this](raw_socket& peer) {
    head = peer.ReceiveUntil("\r\n\r\n");
    body = peer.ReceiveExactly(5);
    peer.Send(
        "HTTP/1.1 201 Created\r\nContent-Length: 3\r\nX-From: up\r\n"
        "Bronzeroute-Execution: not-run\r\nKeep-Alive: max=1\r\n\r\n");
    peer.Send(std::string("a\0b", 3));
    peer.ReceiveAll();
  }};
};

// Guards against a call that is altered on its way through the entry, gRPC and the owner.
TEST(CallPath, ShortRequestIsForwardedThroughEntryAndOwner) {
  simple_upstream upstream;
  test_daemon owner(2);
  test_daemon entry(1);
  ASSERT_TRUE(owner.start_status.ok()) << owner.start_status;
  ASSERT_TRUE(entry.start_status.ok()) << entry.start_status;
  owner.UseUpstream(upstream.server.address());
  entry.UsePeer(owner);
  const raw_socket caller = raw_socket::Connect(entry.callers_port());
  ASSERT_TRUE(caller.Send(kPostBytes));
  const std::string head = caller.ReceiveUntil("\r\n\r\n");
  EXPECT_TRUE(head.starts_with("HTTP/1.1 201")) << head;
  EXPECT_EQ(caller.ReceiveExactly(3), std::string("a\0b", 3));
  EXPECT_EQ(upstream.body, std::string("h\0llo", 5));
  owner.Await("upstream_ended");
  // A draining daemon waits for its open exchanges; one that never ends would block its exit.
  for (std::size_t open = 1; open > 0;) {
    RunOnLoop(
        [&] { open = entry.sockets().open_exchanges() + owner.sockets().open_exchanges(); });
  }
}

// Guards against forwarding fields that a caller or an upstream must not set or that concern
// one connection only, and against an altered path.
TEST(CallPath, OnlyEndToEndFieldsAreForwarded) {
  simple_upstream upstream;
  test_daemon daemon(1);
  daemon.UseUpstream(upstream.server.address());
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  ASSERT_TRUE(caller.Send(kPostBytes));
  const std::string response = caller.ReceiveUntil("\r\n\r\n");
  EXPECT_EQ(caller.ReceiveExactly(3), std::string("a\0b", 3));
  const std::string& head = upstream.head;
  EXPECT_TRUE(head.starts_with("POST /orders/1?a=b%20c&d=%2F HTTP/1.1\r\n")) << head;
  for (const std::string present :
       {"Host: shop", "Content-Type: application/x-odd", "X-Kept: yes", "Bronzeroute-Depth: 4",
        "Bronzeroute-Call: 0000000000000001-7-1", "Bronzeroute-Deadline-Ms: "}) {
    EXPECT_NE(head.find(present), std::string::npos) << present << " in " << head;
  }
  EXPECT_EQ(head.find("X-Own"), std::string::npos) << head;
  EXPECT_NE(response.find("X-From: up"), std::string::npos) << response;
  EXPECT_NE(response.find("Bronzeroute-Execution: ran"), std::string::npos) << response;
  EXPECT_EQ(response.find("not-run"), std::string::npos) << response;
  EXPECT_EQ(response.find("Keep-Alive"), std::string::npos) << response;
}

}  // namespace
}  // namespace bronzeroute
