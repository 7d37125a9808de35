#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "src/transport/byte_pipe.h"
#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/http_limits.h"
#include "src/transport/http_response_message.h"
#include "src/transport/http_server.h"
#include "tests/transport/holding_handler.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

using paths = std::vector<std::string>;

class PipeliningTest : public testing::Test {
 protected:
  PipeliningTest() {
    StartEventLoop();
    handler_.is_concurrent = [](const exchange& row) { return row.method != "POST"; };
    // Another process may bind a free port before the server does.
    bool is_started = false;
    for (int tries = 0; tries < 10 && !is_started; ++tries) {
      port_ = FreePort();
      is_started = server_.Start("127.0.0.1:" + std::to_string(port_)).ok();
    }
    EXPECT_TRUE(is_started);
    client_ = raw_socket::Connect(port_);
  }
  ~PipeliningTest() override { server_.Stop(); }

  std::string Next() const { return client_.ReceiveUntil(">"); }
  static bool IsLast(std::string_view response) {
    return response.find("Connection: close") != std::string_view::npos;
  }

  holding_handler handler_;
  http_server server_{handler_};
  std::uint16_t port_ = 0;
  raw_socket client_;
};

// Guards against responses that are sent in the order in which they are ready.
TEST_F(PipeliningTest, RequestsRunSideBySideAndAreAnsweredInOrder) {
  client_.Send(GetRequest("/1") + GetRequest("/2") + GetRequest("/3"));
  handler_.Await(3);
  handler_.Respond(2);
  handler_.Respond(0);
  EXPECT_TRUE(Next().ends_with("</1>"));
  handler_.Respond(1);
  EXPECT_TRUE(Next().ends_with("</2>"));
  EXPECT_TRUE(Next().ends_with("</3>"));
}

// Guards against a request that may run only once beside others of its connection.
TEST_F(PipeliningTest, OtherRequestsWaitForThoseBeforeThemAndHoldUpThoseBehind) {
  client_.Send(GetRequest("/1") + GetRequest("/2") + PostRequest("/3", "body") +
               GetRequest("/4"));
  handler_.Await(2);
  handler_.Respond(1);
  EXPECT_EQ(handler_.Paths(), (paths{"/1", "/2"}));
  handler_.Respond(0);
  handler_.Await(3);
  EXPECT_EQ(handler_.Paths(), (paths{"/1", "/2", "/3"}));
  handler_.Respond(2);
  handler_.Await(4);
  handler_.Respond(3);
  for (const std::string_view path : {"</1>", "</2>", "</3>", "</4>"}) {
    EXPECT_TRUE(Next().ends_with(path));
  }
}

// Guards against a client that occupies any number of slots or any amount of memory.
TEST_F(PipeliningTest, ReadingStopsAtTheBoundOfUnansweredRequests) {
  std::string all;
  for (int i = 0; i < 20; ++i) all += GetRequest("/" + std::to_string(i));
  client_.Send(all);
  handler_.Await(8);
  EXPECT_EQ(handler_.Paths().size(), 8);
  handler_.Respond(1);
  EXPECT_EQ(handler_.Paths().size(), 8);
  handler_.Respond(0);
  handler_.Await(10);
  EXPECT_EQ(handler_.Paths().size(), 10);
}

TEST_F(PipeliningTest, ReadingStopsAtTheBoundOfUnansweredBytes) {
  handler_.is_concurrent = [](const exchange&) { return true; };
  std::thread sending([&] {
    for (int i = 0; i < 6; ++i) {
      client_.Send(PostRequest("/" + std::to_string(i), std::string(60'000, 'b')));
    }
  });
  // The third one reaches the bound of 128 KiB.
  handler_.Await(3);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(handler_.Paths().size(), 3);
  for (std::size_t i = 0; i < 6; ++i) {
    handler_.Await(i + 1);
    handler_.Respond(i);
    EXPECT_TRUE(Next().ends_with("</" + std::to_string(i) + ">"));
  }
  sending.join();
}

// Guards against requests that go on running for a client that left.
TEST_F(PipeliningTest, ClientThatDisconnectsEndsAllItsRequests) {
  client_.Send(GetRequest("/1") + GetRequest("/2") + GetRequest("/3") + PostRequest("/4", ""));
  handler_.Await(3);
  handler_.Respond(1);
  client_.Reset();
  handler_.AwaitDisconnected(3);
  EXPECT_EQ(handler_.Disconnected(), (paths{"/1", "/2", "/3"}));
  EXPECT_EQ(handler_.Paths().size(), 3);
}

// Guards against requests that run though their responses can never be sent.
TEST_F(PipeliningTest, RequestsBehindOneThatClosesTheConnectionAreNotPassedOn) {
  client_.Send(GetRequest("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
               GetRequest("/3"));
  handler_.Await(2);
  handler_.Respond(1);
  handler_.Respond(0);
  EXPECT_FALSE(IsLast(Next()));
  const std::string last = client_.ReceiveAll();
  EXPECT_TRUE(IsLast(last));
  EXPECT_TRUE(last.ends_with("</2>"));
  EXPECT_EQ(handler_.Paths(), (paths{"/1", "/2"}));
}

TEST_F(PipeliningTest, RequestsBehindHeadAreNotPassedOn) {
  client_.Send(GetRequest("/1") + "HEAD /2 HTTP/1.1\r\nHost: a\r\n\r\n" + GetRequest("/3"));
  handler_.Await(2);
  handler_.Respond(1);
  handler_.Respond(0);
  EXPECT_TRUE(Next().ends_with("</1>"));
  EXPECT_TRUE(IsLast(client_.ReceiveAll()));
  EXPECT_EQ(handler_.Paths(), (paths{"/1", "/2"}));
}

TEST_F(PipeliningTest, RequestsBehindAResponseThatClosesTheConnectionAreCancelled) {
  client_.Send(GetRequest("/1") + GetRequest("/2") + GetRequest("/3"));
  handler_.Await(3);
  handler_.Respond(1);
  handler_.Respond(0, 304);
  const std::string all = client_.ReceiveAll();
  EXPECT_TRUE(all.starts_with("HTTP/1.1 304")) << all;
  EXPECT_TRUE(IsLast(all)) << all;
  EXPECT_TRUE(all.ends_with("\r\n\r\n")) << all;
  EXPECT_EQ(handler_.Disconnected(), (paths{"/2", "/3"}));
}

// Guards against a later response that the client takes for the rest of a truncated one.
TEST_F(PipeliningTest, RequestsBehindATruncatedResponseAreCancelled) {
  client_.Send(GetRequest("/1") + GetRequest("/2"));
  handler_.Await(2);
  handler_.Respond(1);
  const auto body = std::make_shared<byte_pipe>(1000);
  RunOnLoop([&] { body->Append("abc"); });
  handler_.Relay(0, {200, {{"Content-Length", "10"}}, body});
  EXPECT_TRUE(client_.ReceiveUntil("abc").ends_with("abc"));
  RunOnLoop([&] { body->Fail(); });
  EXPECT_EQ(client_.ReceiveAll(), "");
  EXPECT_EQ(handler_.Disconnected(), (paths{"/2"}));
}

// Guards against an error response that takes the place of another response.
TEST_F(PipeliningTest, ResponseThatFailsWhileItWaitsBecomesAnErrorInItsPlace) {
  client_.Send(GetRequest("/1") + GetRequest("/2") + GetRequest("/3"));
  handler_.Await(3);
  const auto body = std::make_shared<byte_pipe>(1000);
  handler_.Relay(1, {200, {{"Content-Length", "10"}}, body});
  RunOnLoop([&] { body->Fail(); });
  handler_.Respond(2);
  handler_.Respond(0);
  EXPECT_TRUE(Next().ends_with("</1>"));
  const std::string second = Next();
  EXPECT_TRUE(second.starts_with("HTTP/1.1 502") && second.ends_with("<cut /2>")) << second;
  EXPECT_TRUE(Next().ends_with("</3>"));
}

TEST_F(PipeliningTest, MalformedRequestIsAnsweredAfterThoseBeforeIt) {
  client_.Send(GetRequest("/1") + "no request\r\n\r\n" + GetRequest("/2"));
  handler_.Await(1);
  handler_.Respond(0);
  EXPECT_TRUE(Next().ends_with("</1>"));
  EXPECT_TRUE(client_.ReceiveAll().starts_with("HTTP/1.1 400"));
  EXPECT_EQ(handler_.Paths(), (paths{"/1"}));
}

// Guards against a slow head that cuts the responses to the requests before it.
TEST_F(PipeliningTest, HeadThatIsLateClosesTheConnectionAfterTheResponsesBeforeIt) {
  RunOnLoop([&] {
    http_limits limits;
    limits.head_time = duration(0);
    server_.SetLimits(limits);
  });
  client_.Send(GetRequest("/1") + "GET /2 HTTP");
  handler_.Await(1);
  RunOnLoop([&] { server_.Tick(MonotonicNow()); });
  handler_.Respond(0);
  const std::string all = client_.ReceiveAll();
  EXPECT_TRUE(all.ends_with("</1>"));
  EXPECT_TRUE(IsLast(all));
}

// Guards against an idle time that is counted while responses are pending.
TEST_F(PipeliningTest, IdleTimeBeginsAfterTheLastResponse) {
  RunOnLoop([&] {
    http_limits limits;
    limits.idle_time = duration(0);
    server_.SetLimits(limits);
  });
  client_.Send(GetRequest("/1") + GetRequest("/2"));
  handler_.Await(2);
  handler_.Respond(0);
  EXPECT_TRUE(Next().ends_with("</1>"));
  RunOnLoop([&] { server_.Tick(MonotonicNow()); });
  handler_.Respond(1);
  EXPECT_TRUE(Next().ends_with("</2>"));
  handler_.AwaitEnded(2);
  RunOnLoop([&] { server_.Tick(MonotonicNow() + std::chrono::seconds(1)); });
  EXPECT_EQ(client_.ReceiveAll(), "");
}

// Guards against requests that a planned stop cuts off, and against a client that keeps its
// connection open by sending ahead.
TEST_F(PipeliningTest, RequestsReadBeforeAStopAreAnswered) {
  client_.Send(GetRequest("/1") + GetRequest("/2") + PostRequest("/3", "body"));
  handler_.Await(2);
  RunOnLoop([&] { server_.EndListening(); });
  client_.Send(GetRequest("/4"));
  handler_.Respond(1);
  handler_.Respond(0);
  EXPECT_FALSE(IsLast(Next()));
  EXPECT_FALSE(IsLast(Next()));
  handler_.Await(3);
  handler_.Respond(2);
  const std::string last = client_.ReceiveAll();
  EXPECT_TRUE(IsLast(last) && last.ends_with("</3>")) << last;
  EXPECT_EQ(handler_.Paths(), (paths{"/1", "/2", "/3"}));
}

// Guards against responses that reach a client out of order, twice or not at all, in any
// order of arrival, kind and completion, with the bytes cut anywhere.
TEST_F(PipeliningTest, EveryResponseIsThatOfItsRequestInAnyOrder) {
  constexpr int kRounds = 60;
  constexpr std::size_t kRequests = 40;
  for (int round = 0; round < kRounds; ++round) {
    std::mt19937 random(static_cast<unsigned>(round));
    std::string bytes;
    paths sent;
    for (std::size_t i = 0; i < kRequests; ++i) {
      sent.push_back("/" + std::to_string(round) + "-" + std::to_string(i));
      bytes += random() % 4 == 0 ? PostRequest(sent.back(), std::string(random() % 3000, 'b'))
                                 : GetRequest(sent.back());
    }
    const std::size_t offset = round * kRequests;
    std::thread sending([&, cut = std::mt19937(random())]() mutable {
      for (std::string_view rest = bytes; !rest.empty();) {
        const std::size_t part = std::min<std::size_t>(rest.size(), 1 + cut() % 700);
        client_.Send(rest.substr(0, part));
        rest.remove_prefix(part);
      }
    });
    std::thread responding([&] {
      std::vector<bool> answered(kRequests);
      for (std::size_t done = 0; done < kRequests;) {
        const std::size_t known = handler_.Paths().size() - offset;
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < known; ++i) {
          if (!answered[i]) open.push_back(i);
        }
        if (open.empty()) continue;
        const std::size_t chosen = open[random() % open.size()];
        answered[chosen] = true;
        handler_.Respond(offset + chosen);
        ++done;
      }
    });
    paths received;
    for (std::size_t i = 0; i < kRequests; ++i) {
      const std::string response = Next();
      const std::size_t at = response.rfind('<');
      ASSERT_NE(at, std::string::npos) << response;
      received.push_back(response.substr(at + 1, response.size() - at - 2));
    }
    sending.join();
    responding.join();
    ASSERT_EQ(received, sent) << "round " << round;
  }
  EXPECT_EQ(handler_.Ended().size(), kRounds * kRequests);
}

class PipelinedCallersTest : public testing::TestWithParam<bool> {
 protected:
  PipelinedCallersTest() {
    if (GetParam()) entry_.UsePeer(owner_);
    entry_.UseUpstream(upstream_.address());
    owner_.UseUpstream(upstream_.address());
    caller_ = raw_socket::Connect(entry_.callers_port());
  }

  // The response to a path is the path; /slow waits for /fast, and /large is a long body.
  void Serve(raw_socket& peer) {
    for (;;) {
      const std::string head = peer.ReceiveUntil("\r\n\r\n");
      if (head.empty()) return;
      const std::string path = head.substr(head.find('/'), head.find(" HTTP") - head.find('/'));
      if (path == "/slow") {
        while (!slow_may_end_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      if (path == "/large") {
        peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLargeBytes) +
                  "\r\n\r\n");
        const std::string part(10'000, 'b');
        for (std::size_t sent = 0; sent < kLargeBytes && peer.Send(part);) {
          sent += part.size();
          large_sent_ = sent;
        }
        continue;
      }
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size() + 2) +
                "\r\n\r\n<" + path + ">");
      if (path == "/fast") slow_may_end_ = true;
    }
  }

  static constexpr std::size_t kLargeBytes = 50'000'000;
  std::atomic<bool> slow_may_end_ = false;
  std::atomic<std::size_t> large_sent_ = 0;
  raw_upstream upstream_{[this](raw_socket& peer) { Serve(peer); }};
  test_daemon owner_{2};
  test_daemon entry_{1};
  raw_socket caller_;
};

// Guards against safe requests that run one after the other: the first one here ends only once
// the second has run.
TEST_P(PipelinedCallersTest, SafeRequestsRunSideBySide) {
  caller_.Send(GetRequest("/slow") + GetRequest("/fast"));
  EXPECT_TRUE(caller_.ReceiveUntil(">").ends_with("</slow>"));
  EXPECT_TRUE(caller_.ReceiveUntil(">").ends_with("</fast>"));
  RunOnLoop([&] { EXPECT_EQ(entry_.sockets().callers().pipelined_requests(), 1); });
}

// Guards against a long response that is held in memory, or cut, while it waits for its turn.
TEST_P(PipelinedCallersTest, LongResponseBehindASlowOneWaitsAtTheUpstream) {
  caller_.Send(GetRequest("/slow") + GetRequest("/large"));
  std::size_t sent = 0;
  do {
    sent = large_sent_;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  } while (sent == 0 || sent != large_sent_);
  // What the pipes of both daemons and the socket buffers hold.
  EXPECT_LT(sent, kLargeBytes / 2);
  slow_may_end_ = true;
  EXPECT_TRUE(caller_.ReceiveUntil(">").ends_with("</slow>"));
  EXPECT_TRUE(caller_.ReceiveUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
  const std::string body = caller_.ReceiveExactly(kLargeBytes);
  EXPECT_EQ(body.size(), kLargeBytes);
  EXPECT_EQ(body.find_first_not_of('b'), std::string::npos);
}

// Guards against a route whose requests may run only once, but whose method is a safe one.
TEST_P(PipelinedCallersTest, RuleDecidesWhichRequestsRunSideBySide) {
  RunOnLoop([&] {
    entry_.sockets().callers().SetConcurrencyRule(
        [](const exchange& row) { return row.path != "/once"; });
  });
  caller_.Send(PostRequest("/slow", "") + PostRequest("/fast", "") + GetRequest("/once") +
               GetRequest("/after"));
  for (const std::string_view path : {"</slow>", "</fast>", "</once>", "</after>"}) {
    EXPECT_TRUE(caller_.ReceiveUntil(">").ends_with(path));
  }
  RunOnLoop([&] { EXPECT_EQ(entry_.sockets().callers().pipelined_requests(), 1); });
}

// Guards against a request with a key, which runs at most once on any route, beside others.
TEST_P(PipelinedCallersTest, RequestWithAKeyRunsAlone) {
  RunOnLoop([&] {
    entry_.sockets().callers().SetConcurrencyRule([](const exchange&) { return true; });
  });
  caller_.Send(GetRequest("/a") + "GET /b HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n\r\n" +
               GetRequest("/c"));
  for (const std::string_view path : {"</a>", "</b>", "</c>"}) {
    EXPECT_TRUE(caller_.ReceiveUntil(">").ends_with(path));
  }
  RunOnLoop([&] { EXPECT_EQ(entry_.sockets().callers().pipelined_requests(), 0); });
}

INSTANTIATE_TEST_SUITE_P(Hops, PipelinedCallersTest, testing::Bool(), [](const auto& info) {
  return info.param ? "TwoDaemons" : "OneDaemon";
});

}  // namespace
}  // namespace bronzeroute
