#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>

#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t kBodyBytes = 200 * kMegabyte;
// Allowed memory growth of a process during a transfer: buffers of two hops, and allocator
// overhead.
constexpr std::size_t kAllowedGrowth = 8 * kMegabyte;

std::size_t StatusBytes(std::string_view field) {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) return std::stoul(line.substr(field.size() + 1)) * 1024;
  }
  return 0;
}

// Resets the peak of resident memory to the current value.
void ResetPeak() { std::ofstream("/proc/self/clear_refs") << "5"; }

// Bytes whose value depends on their position, so that missing or repeated parts are detected.
std::string Pattern(std::size_t from, std::size_t size) {
  std::string bytes(size, '\0');
  for (std::size_t index = 0; index < size; ++index) {
    const std::size_t at = from + index;
    bytes[index] = static_cast<char>(at ^ (at >> 8) ^ (at >> 16));
  }
  return bytes;
}

// Writes the body in the given framing and counts the bytes that the socket accepted.
bool SendBody(const raw_socket& to, bool chunked, std::atomic<std::size_t>& progress) {
  constexpr std::size_t kPart = 50'000;
  for (std::size_t at = 0; at < kBodyBytes; at += kPart) {
    std::string part = Pattern(at, std::min(kPart, kBodyBytes - at));
    if (chunked) {
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", part.size());
      part.insert(0, size);
      part += "\r\n";
    }
    if (!to.Send(part)) return false;
    progress = at + kPart;
  }
  return !chunked || to.Send("0\r\n\r\n");
}

// Reads a body in the given framing and returns the number of bytes before the first wrong
// part.
std::size_t ReceiveBody(const raw_socket& from, bool chunked) {
  std::size_t at = 0;
  while (at < kBodyBytes) {
    std::size_t part = std::min(kBodyBytes - at, std::size_t{65536});
    if (chunked) part = std::stoul("0" + from.ReceiveUntil("\r\n"), nullptr, 16);
    const std::string bytes = from.ReceiveExactly(part);
    if (bytes != Pattern(at, part)) return at;
    at += part;
    if (chunked) from.ReceiveExactly(2);
    if (part == 0) break;
  }
  if (chunked && from.ReceiveUntil("\r\n\r\n") != "0\r\n\r\n") return 0;
  return at;
}

// Waits until the writer has stopped making progress, or is done. A slow machine makes the test
// easier to pass, never harder.
void AwaitStall(const std::atomic<std::size_t>& progress) {
  std::size_t last = 0;
  for (int still = 0; still < 20 && progress < kBodyBytes; ++still) {
    if (progress != last) still = 0;
    last = progress;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

std::string Framing(bool chunked) {
  return chunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                 : "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
}

struct path {
  bool has_hop;
  bool chunked;
};

class StreamingTest : public testing::TestWithParam<path> {
 protected:
  StreamingTest() {
    entry_.is_long = true;
    if (GetParam().has_hop) entry_.UsePeer(owner_);
  }
  void UseUpstream(const raw_upstream& upstream) {
    (GetParam().has_hop ? owner_ : entry_).UseUpstream(upstream.address());
  }

  test_daemon owner_{2};
  test_daemon entry_{1};
};

// Guards against a request body that is buffered completely on its way to a slow upstream.
TEST_P(StreamingTest, LargeUploadIsNeverBufferedWhole) {
  std::atomic<std::size_t> sent = 0;
  std::size_t received = 0;
  raw_upstream upstream([&](raw_socket& peer) {
    const std::string head = peer.ReceiveUntil("\r\n\r\n");
    AwaitStall(sent);
    received = ReceiveBody(peer, GetParam().chunked);
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    peer.ReceiveAll();
  });
  UseUpstream(upstream);
  const raw_socket caller = raw_socket::Connect(entry_.callers_port());
  ResetPeak();
  const std::size_t before = StatusBytes("VmRSS:");
  ASSERT_TRUE(caller.Send("PUT /media/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
                          Framing(GetParam().chunked)));
  EXPECT_TRUE(SendBody(caller, GetParam().chunked, sent));
  EXPECT_TRUE(caller.ReceiveAll().starts_with("HTTP/1.1 200"));
  const std::size_t peak = StatusBytes("VmHWM:");
  std::printf("resident memory: before %zu KiB, peak %zu KiB\n", before / 1024, peak / 1024);
  EXPECT_EQ(received, kBodyBytes);
  EXPECT_LT(peak, before + kAllowedGrowth);
}

// Guards against a response body that is buffered completely on its way to a slow caller.
TEST_P(StreamingTest, LargeResponseIsNeverBufferedWhole) {
  std::atomic<std::size_t> sent = 0;
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\n" + Framing(GetParam().chunked));
    SendBody(peer, GetParam().chunked, sent);
    peer.ReceiveAll();
  });
  UseUpstream(upstream);
  const raw_socket caller = raw_socket::Connect(entry_.callers_port());
  ResetPeak();
  const std::size_t before = StatusBytes("VmRSS:");
  ASSERT_TRUE(caller.Send("GET /media/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
  EXPECT_TRUE(caller.ReceiveUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
  AwaitStall(sent);
  EXPECT_LT(sent, kBodyBytes);
  EXPECT_EQ(ReceiveBody(caller, GetParam().chunked), kBodyBytes);
  const std::size_t peak = StatusBytes("VmHWM:");
  std::printf("resident memory: before %zu KiB, peak %zu KiB\n", before / 1024, peak / 1024);
  EXPECT_LT(peak, before + kAllowedGrowth);
}

INSTANTIATE_TEST_SUITE_P(Paths, StreamingTest,
                         testing::Values(path{false, false}, path{false, true},
                                         path{true, false}, path{true, true}),
                         [](const testing::TestParamInfo<path>& info) {
                           return std::string(info.param.has_hop ? "RemoteUpstream"
                                                                 : "LocalUpstream") +
                                  (info.param.chunked ? "Chunked" : "Length");
                         });

}  // namespace
}  // namespace bronzeroute
