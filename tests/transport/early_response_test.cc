#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

// Larger than all buffers between the caller and an upstream that does not read.
constexpr std::size_t kBodyBytes = std::size_t{16} * 1024 * 1024;
// Bytes of the body after which the upstream responds.
constexpr std::size_t kEarlyBytes = 100'000;

struct upload_shape {
  bool has_hop;
  bool chunked;
};

std::string RequestHead(bool chunked) {
  return "POST /media/1 HTTP/1.1\r\nHost: a\r\n" +
         (chunked ? std::string("Transfer-Encoding: chunked")
                  : "Content-Length: " + std::to_string(kBodyBytes)) +
         "\r\n\r\n";
}

std::string Body(bool chunked) {
  constexpr std::size_t kChunk = std::size_t{64} * 1024;
  if (!chunked) return std::string(kBodyBytes, 'b');
  std::string framed;
  for (std::size_t sent = 0; sent < kBodyBytes; sent += kChunk) {
    framed += "10000\r\n" + std::string(kChunk, 'b') + "\r\n";
  }
  return framed + "0\r\n\r\n";
}

// Reads a request body; returns its bytes without framing, up to the end of the connection.
std::string ReceiveBody(const raw_socket& from, bool chunked, std::string_view received) {
  std::string body(received);
  if (!chunked) return body + from.ReceiveExactly(kBodyBytes - received.size());
  for (;;) {
    const std::string line = from.ReceiveUntil("\r\n");
    const std::size_t size = line.empty() ? 0 : std::stoul(line, nullptr, 16);
    body += from.ReceiveExactly(size);
    if (from.ReceiveExactly(2).empty() || size == 0) return body;
  }
}

class EarlyResponseTest : public testing::TestWithParam<upload_shape> {
 protected:
  EarlyResponseTest() {
    entry_.is_long = true;
    if (GetParam().has_hop) entry_.UsePeer(owner_);
  }
  test_daemon& LastHop() { return GetParam().has_hop ? owner_ : entry_; }

  /// Sends the upload while its response is read, and returns the response up to `end`.
  std::string Upload(const raw_socket& caller, std::string_view end) const {
    std::thread sending([&] {
      caller.Send(RequestHead(GetParam().chunked));
      caller.Send(Body(GetParam().chunked));
    });
    std::string response = caller.ReceiveUntil(end);
    sending.join();
    return response;
  }
  /// Reads the first part of the upload's body. With chunks, the rest begins within a chunk, so
  /// that whole chunks are read.
  std::string ReceiveFirstPart(const raw_socket& from) const {
    if (!GetParam().chunked) return from.ReceiveExactly(kEarlyBytes);
    std::string body;
    while (body.size() < kEarlyBytes) {
      body += from.ReceiveExactly(std::stoul(from.ReceiveUntil("\r\n"), nullptr, 16));
      from.ReceiveExactly(2);
    }
    return body;
  }

  test_daemon owner_{2};
  test_daemon entry_{1};
};

// Guards against an upload that is shortened, or continued with the next request, because the
// upstream began its response before it had read the whole body.
TEST_P(EarlyResponseTest, BodyArrivesWholeWhileTheResponseIsRelayed) {
  std::string body;
  std::string after;
  raw_upstream upstream([&](raw_socket& peer) {
    const std::string head = peer.ReceiveUntil("\r\n\r\n");
    if (!head.starts_with("POST")) {
      after += head;
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return;
    }
    const std::string first = ReceiveFirstPart(peer);
    peer.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n");
    body = ReceiveBody(peer, GetParam().chunked, first);
    peer.Send("0\r\n\r\n");
    after += peer.ReceiveUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  LastHop().UseUpstream(upstream.address());
  const raw_socket caller = raw_socket::Connect(entry_.callers_port());
  const std::string response = Upload(caller, "\r\n0\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_TRUE(response.ends_with("early\r\n0\r\n\r\n")) << response;
  caller.Send("GET /media/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(caller.ReceiveAll().ends_with("ok"));
  upstream.Stop();
  EXPECT_EQ(body.size(), kBodyBytes);
  EXPECT_EQ(body.find_first_not_of('b'), std::string::npos);
  EXPECT_TRUE(after.starts_with("GET /media/2 ")) << after;
}

// Guards against an upload that is cut off because its response was complete before its body:
// the upstream reads the rest afterwards.
TEST_P(EarlyResponseTest, BodyArrivesWholeAfterACompleteResponse) {
  std::string body;
  std::promise<void> received;
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    const std::string first = ReceiveFirstPart(peer);
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
    body = ReceiveBody(peer, GetParam().chunked, first);
    received.set_value();
    peer.ReceiveAll();
  });
  LastHop().UseUpstream(upstream.address());
  const raw_socket caller = raw_socket::Connect(entry_.callers_port());
  EXPECT_TRUE(Upload(caller, "early").starts_with("HTTP/1.1 200"));
  LastHop().Await("upstream_ended");
  received.get_future().wait();
  upstream.Stop();
  EXPECT_EQ(body.size(), kBodyBytes);
  EXPECT_EQ(body.find_first_not_of('b'), std::string::npos);
}

// Guards against a connection that is used again although part of an upload, which the upstream
// rejected early, is still due on it, and against a caller that gets a reset in place of the
// response.
TEST_P(EarlyResponseTest, RejectedUploadEndsItsConnectionToTheUpstream) {
  std::mutex mutex;
  std::string after;
  raw_upstream upstream([&](raw_socket& peer) {
    const std::string head = peer.ReceiveUntil("\r\n\r\n");
    if (head.starts_with("POST")) {
      ReceiveFirstPart(peer);
      peer.Send("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 4\r\n\r\nlong");
      const std::string rest = peer.ReceiveAll();
      const std::lock_guard<std::mutex> lock(mutex);
      if (rest.find("GET ") != std::string::npos) after += "on the connection of the upload";
    } else {
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  LastHop().UseUpstream(upstream.address());
  const raw_socket caller = raw_socket::Connect(entry_.callers_port());
  EXPECT_TRUE(Upload(caller, "long").starts_with("HTTP/1.1 413"));
  LastHop().Await("upstream_ended");
  const raw_socket next = raw_socket::Connect(entry_.callers_port());
  next.Send("GET /media/2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(next.ReceiveAll().ends_with("ok"));
  upstream.Stop();
  EXPECT_EQ(after, "");
}

// Guards against an upload that looks complete to its upstream although its caller left after
// the response had begun.
TEST_P(EarlyResponseTest, CallerThatLeavesTruncatesTheUpload) {
  std::string rest;
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    ReceiveFirstPart(peer);
    peer.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n");
    rest = peer.ReceiveAll();
  });
  LastHop().UseUpstream(upstream.address());
  raw_socket caller = raw_socket::Connect(entry_.callers_port());
  caller.Send(RequestHead(GetParam().chunked));
  caller.Send(Body(GetParam().chunked).substr(0, 2 * kEarlyBytes));
  EXPECT_TRUE(caller.ReceiveUntil("early").starts_with("HTTP/1.1 200"));
  caller.Close();
  entry_.Await("caller_disconnected");
  LastHop().Await("upstream_truncated");
  upstream.Stop();
  EXPECT_FALSE(rest.ends_with("0\r\n\r\n"));
  EXPECT_LT(rest.size(), kBodyBytes - kEarlyBytes);
}

// Guards against part of a response without a length that looks complete, since the upstream
// reset the connection while the upload was being written.
TEST_P(EarlyResponseTest, ResetDuringTheUploadTruncatesAResponseWithoutALength) {
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
    LastHop().Await("upstream_head");
    // The upload fills the socket buffers, so that a write is pending.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    peer.Reset();
  });
  LastHop().UseUpstream(upstream.address());
  const raw_socket caller = raw_socket::Connect(entry_.callers_port());
  std::thread sending([&] {
    caller.Send(RequestHead(GetParam().chunked));
    caller.Send(Body(GetParam().chunked));
  });
  while (LastHop().Count("upstream_truncated") + LastHop().Count("upstream_ended") == 0) {
    std::this_thread::yield();
  }
  const bool is_truncated = LastHop().Count("upstream_truncated") == 1;
  EXPECT_TRUE(is_truncated);
  // Without the truncation, the connection would stay open.
  const std::string response = is_truncated ? caller.ReceiveAll() : "";
  EXPECT_EQ(response.find("0\r\n\r\n"), std::string::npos) << response;
  caller.Shutdown();
  sending.join();
}

INSTANTIATE_TEST_SUITE_P(Paths, EarlyResponseTest,
                         testing::Values(upload_shape{false, false}, upload_shape{false, true},
                                         upload_shape{true, false}, upload_shape{true, true}),
                         [](const testing::TestParamInfo<upload_shape>& info) {
                           return std::string(info.param.has_hop ? "RemoteUpstream"
                                                                 : "LocalUpstream") +
                                  (info.param.chunked ? "Chunked" : "Length");
                         });

}  // namespace
}  // namespace bronzeroute
