#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

// An upstream that responds to the first request on each connection, and closes the connection
// without a response after it has read a second one, which counts as executed. While `silent`,
// it does so on the first request.
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

// Guards against a repeatable request that is not resent when a reused connection ends, is
// resent more than once, or is resent without its body.
TEST(Resend, RepeatableRequestIsResentOnceWhenReusedConnectionEnds) {
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

// Guards against a protected request that runs twice, and against a lost response that is
// reported as "not run".
TEST(Resend, ProtectedRequestsRunAtMostOnce) {
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

// Guards against reporting "nothing was sent" when the upstream resets the connection after it
// has read part of the request.
TEST(Resend, ResetAfterPartialReadIsReportedAsLost) {
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

// Guards against a response whose execution state does not match the failure that was detected.
// A connection that the upstream resets at once fails either on connecting, when nothing was
// sent, or on the first write.
TEST(Resend, ResetOnAcceptReportsExecutionThatMatchesTheFailure) {
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

// Guards against reporting a refused connection as a lost response, which would forbid another
// attempt.
TEST(Resend, RefusedConnectionIsReportedAsConnectFailure) {
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

// Guards against the HTTP library following a redirect, which would send a second request.
TEST(Resend, RedirectIsRelayedAndNotFollowed) {
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
