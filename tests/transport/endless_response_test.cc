#include <gtest/gtest.h>

#include <atomic>
#include <cstddef>
#include <future>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

#include "src/transport/event_loop.h"
#include "src/transport/http_fetcher.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
// The upstream stops by itself after this many bytes, so that a failing test ends.
constexpr std::size_t kSentAtMost = 256 * kMegabyte;
// More than the daemon reads before it gives up (1 MiB) and the socket buffers of both sides.
constexpr std::size_t kAllowed = 32 * kMegabyte;

http_dialect Dialect() {
  http_dialect dialect;
  dialect.request_id = "X-Id";
  dialect.not_run = "X-Not-Run";
  dialect.seal = "X-Seal";
  dialect.has_own_fields = false;
  return dialect;
}

/// A response that begins with `start` and continues with repetitions of `part`.
struct endless_response {
  const char* name;
  std::string start;
  std::string part;
  friend void PrintTo(const endless_response& from, std::ostream* to) { *to << from.name; }
};

class EndlessResponseTest : public testing::TestWithParam<endless_response> {};

// Guards against an upstream whose bytes never become a response: the attempt would read them
// until its deadline, or store them until the process runs out of memory.
TEST_P(EndlessResponseTest, AttemptEndsAndItsConnectionIsClosed) {
  std::atomic<std::size_t> sent = 0;
  raw_upstream upstream([&](raw_socket& peer) {
    if (peer.ReceiveUntil("\r\n\r\n").empty()) return;
    std::string block;
    while (block.size() < 65536) block += GetParam().part;
    for (bool open = peer.Send(GetParam().start); open && sent < kSentAtMost;) {
      open = peer.Send(block);
      if (open) sent += block.size();
    }
  });
  test_daemon daemon(1, nullptr, Dialect());
  daemon.UseUpstream(upstream.address());
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  caller.Send("GET /orders HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nConnection: close\r\n\r\n");
  const std::string response = caller.ReceiveAll();
  EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << "looks complete";
  EXPECT_EQ(daemon.Count("upstream_ended"), 0);
  EXPECT_EQ(daemon.Count("upstream_refused"), 0);
  upstream.Stop();
  EXPECT_LT(sent, kAllowed);
}

const std::string kChunked =
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Kinds, EndlessResponseTest,
    testing::Values(
        endless_response{"StatusLine", "", "z"},
        endless_response{"Field", "HTTP/1.1 200 OK\r\nX: ", "a"},
        endless_response{"Fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
        endless_response{"InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_response{
            "StrayResponses", "",
            "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody"},
        endless_response{"StrayBody", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\n\r\n", "b"},
        endless_response{"RefusalBody", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n", "b"},
        endless_response{"ChunkExtension", kChunked + "4;x=", "a"},
        endless_response{"Trailer", kChunked + "0\r\n", "X-T: v\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a caller that fills the memory of the daemon with one endless chunk header.
TEST(EndlessRequest, ChunkHeaderEndsTheConnection) {
  raw_upstream upstream([](raw_socket& peer) { peer.ReceiveAll(); });
  test_daemon daemon(1);
  daemon.UseUpstream(upstream.address());
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  caller.Send("POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;x=");
  const std::string block(65536, 'a');
  std::size_t sent = 0;
  while (sent < kSentAtMost && caller.Send(block)) sent += block.size();
  EXPECT_LT(sent, kAllowed);
}

// Guards against a service whose response fills the memory of the daemon that reads it, for
// example the platform's store.
TEST(EndlessFetch, ChunkHeaderFailsTheFetch) {
  std::atomic<std::size_t> sent = 0;
  raw_upstream server([&](raw_socket& peer) {
    const std::string block(65536, 'a');
    peer.Send(kChunked + "4;x=");
    while (sent < kSentAtMost && peer.Send(block)) sent += block.size();
  });
  StartEventLoop();
  std::promise<absl::StatusCode> ended;
  std::unique_ptr<http_fetcher> fetcher;
  fetch_request request;
  request.target = "/";
  request.deadline = time_point::max();
  RunOnLoop([&] {
    fetcher = std::make_unique<http_fetcher>(server.address(), kMegabyte);
    fetcher->Fetch(std::move(request), [&](const absl::StatusOr<fetch_response>& result) {
      ended.set_value(result.status().code());
    });
  });
  EXPECT_EQ(ended.get_future().get(), absl::StatusCode::kUnknown);
  RunOnLoop([&] { fetcher = nullptr; });
  server.Stop();
  EXPECT_LT(sent, kAllowed);
}

}  // namespace
}  // namespace bronzeroute
