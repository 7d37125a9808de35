#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

// An upstream that answers the first request on every connection and closes the connection
// after it has read, and so executed, a second one. While it is `silent`, it closes after the
// first.
class closing_upstream {
 public:
  std::atomic<int> executions = 0;
  std::atomic<bool> silent = false;
  std::string last_body;

  raw_upstream server{[this](raw_socket& peer) {
    for (int served = 0;; ++served) {
      const std::string head = peer.ReceiveUntil("\r\n\r\n");
      if (head.empty()) return;
      if (head.find("Content-Length: 4") != std::string::npos) {
        last_body = peer.ReceiveExactly(4);
      }
      ++executions;
      if (served > 0 || silent) {
        peer.Shutdown();
        return;
      }
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  }};
};

std::string Call(test_daemon& daemon, const std::string& body) {
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  caller.Send("POST /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  return caller.ReceiveAll();
}

// Guards against a repeatable request that is lost with a kept connection, is sent more than
// once again, or is sent again without its body.
TEST(Resend, RepeatableRequestIsSentOnceMoreAfterAKeptConnectionEnds) {
  for (const std::string body : {"", "body"}) {
    closing_upstream upstream;
    test_daemon daemon(1);
    daemon.UseUpstream(upstream.server.address());
    EXPECT_TRUE(Call(daemon, body).starts_with("HTTP/1.1 200"));
    upstream.last_body.clear();
    EXPECT_TRUE(Call(daemon, body).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(upstream.executions, 3);
    EXPECT_EQ(upstream.last_body, body);
    upstream.silent = true;
    const std::string lost = Call(daemon, body);
    EXPECT_TRUE(lost.starts_with("HTTP/1.1 504")) << lost;
    EXPECT_EQ(upstream.executions, 5);
    EXPECT_EQ(daemon.Count("upstream_lost"), 1);
  }
}

// Guards against a protected request that runs twice, and against a loss called "not run".
TEST(Resend, ProtectedCallsRunAtMostOnce) {
  for (const std::string body : {"", "body"}) {
    closing_upstream upstream;
    test_daemon daemon(1);
    daemon.is_protected = true;
    daemon.UseUpstream(upstream.server.address());
    EXPECT_TRUE(Call(daemon, body).starts_with("HTTP/1.1 200"));
    upstream.silent = true;
    const std::string lost = Call(daemon, body);
    EXPECT_TRUE(lost.starts_with("HTTP/1.1 504")) << lost;
    EXPECT_NE(lost.find("Bronzeroute-Execution: unknown"), std::string::npos) << lost;
    EXPECT_NE(lost.find("Bronzeroute-Error: answer_lost"), std::string::npos) << lost;
    EXPECT_EQ(upstream.executions, 2);
    EXPECT_EQ(upstream.server.connections(), 2);
    EXPECT_EQ(daemon.Count("upstream_lost"), 1);
    EXPECT_EQ(daemon.Count("connect_failed"), 0);
  }
}

// Guards against a loss after bytes were sent being taken for "nothing was sent": the upstream
// resets the connection once it has read some.
TEST(Resend, ResetConnectionIsALossAndNotAConnectFailure) {
  raw_upstream upstream([](raw_socket& peer) {
    peer.ReceiveExactly(1);
    peer.Reset();
  });
  test_daemon daemon(1);
  daemon.is_protected = true;
  daemon.UseUpstream(upstream.address());
  EXPECT_TRUE(Call(daemon, "body").starts_with("HTTP/1.1 504"));
  EXPECT_EQ(daemon.Count("upstream_lost"), 1);
}

// Guards against an answer that does not say what is known of a connection that the upstream
// resets at once: it shows either on connecting, when nothing was sent, or on the first write.
TEST(Resend, ResetBeforeTheRequestIsToldAsItWasSeen) {
  for (int round = 0; round < 50; ++round) {
    raw_upstream upstream([](raw_socket& peer) { peer.Reset(); });
    test_daemon daemon(1);
    daemon.is_protected = true;
    daemon.UseUpstream(upstream.address());
    const std::string response = Call(daemon, "body");
    ASSERT_EQ(daemon.Count("upstream_lost") + daemon.Count("connect_failed"), 1);
    if (daemon.Count("upstream_lost") == 1) {
      EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << response;
      EXPECT_NE(response.find("Bronzeroute-Execution: unknown"), std::string::npos) << response;
    } else {
      EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response;
      EXPECT_NE(response.find("Bronzeroute-Execution: not-run"), std::string::npos) << response;
    }
  }
}

// Guards against a refused connection being taken for a loss, which would forbid another try.
TEST(Resend, RefusedConnectionIsAConnectFailure) {
  for (const bool is_protected : {false, true}) {
    test_daemon daemon(1);
    daemon.is_protected = is_protected;
    daemon.UseUpstream(test_daemon::Address(FreePort()));
    const std::string response = Call(daemon, "body");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response;
    EXPECT_NE(response.find("Bronzeroute-Execution: not-run"), std::string::npos) << response;
    EXPECT_EQ(daemon.Count("connect_failed"), 1);
    EXPECT_EQ(daemon.Count("upstream_lost"), 0);
  }
}

// Guards against the HTTP library following a redirect, which is a second request.
TEST(Resend, RedirectIsPassedOnAndNotFollowed) {
  std::atomic<int> executions = 0;
  raw_upstream upstream([&](raw_socket& peer) {
    while (!peer.ReceiveUntil("\r\n\r\n").empty()) {
      ++executions;
      peer.Send(
          "HTTP/1.1 307 Temporary Redirect\r\nLocation: /orders/2\r\n"
          "Content-Length: 0\r\n\r\n");
    }
  });
  test_daemon daemon(1);
  daemon.UseUpstream(upstream.address());
  const std::string response = Call(daemon, "");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 307")) << response;
  EXPECT_NE(response.find("Location: /orders/2"), std::string::npos) << response;
  EXPECT_EQ(executions, 1);
}

}  // namespace
}  // namespace bronzeroute
