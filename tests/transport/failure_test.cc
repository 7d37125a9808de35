#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

constexpr char kGet[] = "GET /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

// An upstream that sends `bytes` after a request head and closes the connection.
struct canned_upstream {
  explicit canned_upstream(std::string response) : bytes(std::move(response)) {}
  std::string bytes;
  raw_upstream server{[this](raw_socket& peer) {
    if (peer.ReceiveUntil("\r\n\r\n").empty()) return;
    peer.Send(bytes);
    peer.Shutdown();
  }};
};

std::string Ask(const test_daemon& daemon, const std::string& request) {
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  caller.Send(request);
  return caller.ReceiveAll();
}

class FailureTest : public testing::TestWithParam<bool> {
 protected:
  FailureTest() {
    if (GetParam()) entry_.UsePeer(owner_);
  }
  test_daemon& LastHop() { return GetParam() ? owner_ : entry_; }

  test_daemon owner_{2};
  test_daemon entry_{1};
};

// Guards against a truncated response that looks complete to the caller.
TEST_P(FailureTest, TruncatedResponseNeverLooksComplete) {
  // The HTTP client reads blocks of 64 KiB from its socket, so more than that must be sent.
  const std::string part(100'000, 'x');
  canned_upstream with_length("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + part);
  LastHop().UseUpstream(with_length.server.address());
  const std::string first = Ask(entry_, kGet);
  EXPECT_NE(first.find("Content-Length: 200000"), std::string::npos) << first;
  EXPECT_GT(first.size(), 60'000U);
  EXPECT_LT(first.size(), 101'000U);
  LastHop().Await("upstream_truncated");

  canned_upstream chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  LastHop().UseUpstream(chunked.server.address());
  const std::string second = Ask(entry_, kGet);
  EXPECT_NE(second.find("4\r\npart\r\n"), std::string::npos) << second;
  EXPECT_EQ(second.find("0\r\n\r\n"), std::string::npos) << second;
  LastHop().Await("upstream_truncated", 2);
  if (GetParam()) entry_.Await("finished_truncated", 2);
}

// Guards against a caller connection that ends without any response although the entry is
// running: the upstream's response was truncated between its head and its body.
TEST_P(FailureTest, ResponseTruncatedBeforeBodyYieldsAnswerCutError) {
  canned_upstream head_only("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
  LastHop().UseUpstream(head_only.server.address());
  const std::string response = Ask(entry_, kGet);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << response;
  EXPECT_NE(response.find("Bronzeroute-Error: answer_cut"), std::string::npos) << response;
  LastHop().Await("upstream_truncated");
}

// Guards against an upstream that keeps working for a caller that disconnected while its
// request was running.
TEST_P(FailureTest, CallerDisconnectCancelsUpstreamResponse) {
  std::atomic<bool> ended = false;
  raw_upstream upstream([&](raw_socket& peer) {
    if (peer.ReceiveUntil("\r\n\r\n").empty()) return;
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
    while (peer.Send(std::string(65536, 'x'))) {
    }
    ended = true;
  });
  LastHop().UseUpstream(upstream.address());
  raw_socket caller = raw_socket::Connect(entry_.callers_port());
  caller.Send(kGet);
  caller.ReceiveUntil("\r\n\r\n");
  caller.Reset();
  entry_.Await("caller_disconnected");
  LastHop().Await("upstream_truncated");
  EXPECT_EQ(owner_.Count("entry_disconnected"), GetParam() ? 1 : 0);
  upstream.Stop();
  EXPECT_TRUE(ended);
}

// Guards against a process that cannot stop while connections are open, idle or not.
TEST_P(FailureTest, StopClosesOpenConnections) {
  raw_upstream silent([](raw_socket& peer) { peer.ReceiveAll(); });
  LastHop().UseUpstream(silent.address());
  const raw_socket idle = raw_socket::Connect(entry_.callers_port());
  const raw_socket waiting = raw_socket::Connect(entry_.callers_port());
  waiting.Send(kGet);
  entry_.Await("request");
  entry_.sockets().Stop();
  EXPECT_EQ(waiting.ReceiveAll().find("HTTP/1.1 200"), std::string::npos);
}

// Guards against an upload that is ended as if complete after its caller disconnected.
TEST_P(FailureTest, CallerDisconnectTruncatesUpload) {
  std::string received;
  std::atomic<bool> has_head = false;
  raw_upstream upstream([&](raw_socket& peer) {
    if (peer.ReceiveUntil("\r\n\r\n").empty()) return;
    has_head = true;
    received = peer.ReceiveAll();
  });
  LastHop().UseUpstream(upstream.address());
  raw_socket caller = raw_socket::Connect(entry_.callers_port());
  caller.Send(
      "POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
  while (!has_head) std::this_thread::yield();
  caller.Reset();
  entry_.Await("caller_disconnected");
  LastHop().Await("upstream_lost");
  upstream.Stop();
  EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos) << received;
}

// Guards against a response relayed to an exchange that it does not belong to.
TEST_P(FailureTest, ResponseOfAnotherAttemptIsNotRelayed) {
  canned_upstream upstream("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret");
  LastHop().UseUpstream(upstream.server.address());
  entry_.relay = false;
  std::thread wrong([&] {
    entry_.Await(GetParam() ? "response_head" : "upstream_head");
    RunOnLoop([&] {
      attempt_id other = entry_.last_attempt;
      ++other.call.sequence;
      entry_.sockets().callers().RelayResponse(entry_.last_exchange, other);
    });
  });
  const std::string response = Ask(entry_, kGet);
  wrong.join();
  EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << response;
  EXPECT_EQ(response.find("secret"), std::string::npos) << response;
}

// Guards against wrong framing of responses without a body, which would misalign all later
// responses on the connection.
TEST_P(FailureTest, BodilessResponsesAreFramedCorrectly) {
  raw_upstream upstream([](raw_socket& peer) {
    for (std::string head = peer.ReceiveUntil("\r\n\r\n"); !head.empty();
         head = peer.ReceiveUntil("\r\n\r\n")) {
      if (head.starts_with("HEAD")) {
        peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
      } else if (head.starts_with("DELETE")) {
        peer.Send("HTTP/1.1 204 No Content\r\n\r\n");
      } else {
        peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      }
    }
  });
  LastHop().UseUpstream(upstream.address());
  const raw_socket first = raw_socket::Connect(entry_.callers_port());
  first.Send("DELETE /orders HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string deleted = first.ReceiveUntil("\r\n\r\n");
  EXPECT_EQ(deleted.find("chunked"), std::string::npos) << deleted;
  first.Send(kGet);
  const std::string next = first.ReceiveAll();
  EXPECT_TRUE(next.starts_with("HTTP/1.1 200")) << next;
  EXPECT_TRUE(next.ends_with("ok")) << next;
  // Responses with body headers but without a body are the last ones on their connection.
  const raw_socket second = raw_socket::Connect(entry_.callers_port());
  second.Send("HEAD /orders HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string head = second.ReceiveAll();
  EXPECT_NE(head.find("Content-Length: 77"), std::string::npos) << head;
  EXPECT_NE(head.find("Connection: close"), std::string::npos) << head;
  EXPECT_TRUE(head.ends_with("\r\n\r\n")) << head;
}

INSTANTIATE_TEST_SUITE_P(Paths, FailureTest, testing::Bool(),
                         [](const testing::TestParamInfo<bool>& info) {
                           return std::string(info.param ? "RemoteUpstream" : "LocalUpstream");
                         });

// Guards against a malformed or oversized field that reaches an upstream or gets an unspecific
// error, and against a request that crashes the process.
TEST(CallerFields, MalformedFieldsAreRejectedWithSpecificError) {
  test_daemon daemon(1);
  const auto request = [](const std::string& path, const std::string& field) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + field + "\r\n\r\n";
  };
  for (const std::string field :
       {"Bronzeroute-Deadline-Ms: soon", "Bronzeroute-Deadline-Ms: -1",
        "Bronzeroute-Deadline-Ms: 99999999999999999999", "Bronzeroute-Try: 0",
        "Bronzeroute-Depth: 1, 2", "Idempotency-Key: a b"}) {
    const std::string response = Ask(daemon, request("/orders", field));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << field << ": " << response;
    EXPECT_NE(response.find("Bronzeroute-Error: bad_header"), std::string::npos) << response;
    EXPECT_NE(response.find("Bronzeroute-Execution: not-run"), std::string::npos) << response;
    EXPECT_NE(response.find("\"error\":\"bad_header\""), std::string::npos) << response;
  }
  const std::string large(9000, 'x');
  for (const std::string& bytes :
       {request("/orders", "X-Large: " + large), request("/" + large, "X-Small: y"),
        request("/orders", "Idempotency-Key: " + large.substr(0, 300))}) {
    const std::string response = Ask(daemon, bytes);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 431")) << response;
    EXPECT_NE(response.find("Bronzeroute-Error: field_too_large"), std::string::npos)
        << response;
  }
  for (const std::string path : {"/%zz", "/%", "http://[", "/\x01", "*"}) {
    Ask(daemon, request(path, "X-Small: y"));
  }
  for (const std::string bytes : {"\r\n\r\n", "GET\r\n\r\n", "nonsense without end"}) {
    raw_socket caller = raw_socket::Connect(daemon.callers_port());
    caller.Send(bytes);
    caller.Reset();
  }
  EXPECT_TRUE(Ask(daemon, request("/orders", "X-Small: y")).starts_with("HTTP/1.1 502"));
}

}  // namespace
}  // namespace bronzeroute
