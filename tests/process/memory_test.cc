#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>

#include "tests/process/deployed_test.h"
#include "tests/process/raw_http.h"

namespace bronzeroute::testing {
namespace {

constexpr std::int64_t kBodyBytes = 200'000'000;
constexpr std::int64_t kMaxGrowthKb = 16'384;

class body_memory : public deployed_test {
 protected:
  // Value of a line of /proc/PID/status in kB; -1 if the line is missing.
  std::int64_t MemoryKb(std::size_t index, const std::string& name) {
    std::ifstream file("/proc/" + std::to_string(deployment_.pair(index).daemon->pid()) +
                       "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(name + ":")) {
        return std::stoll(line.substr(name.size() + 1));
      }
    }
    return -1;
  }

  // Resets the peak (VmHWM) to the current resident memory.
  void ResetPeak(std::size_t index) {
    std::ofstream("/proc/" + std::to_string(deployment_.pair(index).daemon->pid()) +
                  "/clear_refs")
        << "5";
  }

  std::int64_t PeakKb(std::size_t index) { return MemoryKb(index, "VmHWM"); }
};

// Guards against an entry or an owner that buffers a whole body, in either direction.
TEST_F(body_memory, LargeBodiesAreStreamed) {
  Deploy();
  // A small body in each direction first, so that the buffers and threads of the path exist
  // before the memory is measured.
  const auto send = [this](const std::string& path, std::int64_t bytes) {
    return SendRaw(deployment_.pair(kEntry).callers,
                   {.method = "POST", .path = path, .headers = {}, .body_bytes = bytes});
  };
  ASSERT_EQ(send("/orders/photos?download=1000000", 1'000'000).status, 200);
  for (const bool is_upload : {true, false}) {
    std::array<std::int64_t, kPairs> before{};
    for (std::size_t i = 0; i < kPairs; ++i) {
      ResetPeak(i);
      before.at(i) = MemoryKb(i, "VmRSS");
      ASSERT_GT(before.at(i), 0);
    }
    const raw_response response =
        is_upload ? send("/orders/photos", kBodyBytes)
                  : send("/orders/photos?download=" + std::to_string(kBodyBytes), 10);
    EXPECT_EQ(response.status, 200) << response.Header("bronzeroute-error");
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.Header("x-body-hash"), response.sent_hash);
    if (!is_upload) {
      EXPECT_EQ(response.body_bytes, kBodyBytes);
    }
    for (std::size_t i = 0; i < kPairs; ++i) {
      const std::int64_t growth = PeakKb(i) - before.at(i);
      RecordProperty((is_upload ? "upload_kb_" : "download_kb_") + std::to_string(i),
                     std::to_string(growth));
      EXPECT_LT(growth, kMaxGrowthKb)
          << (is_upload ? "upload" : "download") << ", daemon " << i;
    }
  }
}

// Guards against a daemon that buffers what the upstream sends faster than the caller reads,
// and against a truncated response that looks complete to a caller that lags behind.
TEST_F(body_memory, SlowCallerOfALongResponseIsBounded) {
  constexpr std::int64_t kSlowBytes = 50'000'000;
  // Pipes of 128 KiB, frames and windows of one stream take below 2 MiB at each daemon; the
  // rest is room for the allocator.
  constexpr std::int64_t kSlowGrowthKb = 8192;
  Deploy();
  raw_request request{.method = "POST",
                      .path = "/orders/photos?download=1000000",
                      .headers = {{"Bronzeroute-Deadline-Ms", "60000"}},
                      .body_bytes = 1'000'000};
  ASSERT_EQ(SendRaw(deployment_.pair(kEntry).callers, request).status, 200);
  request.body_bytes = 10;
  request.path = "/orders/photos?download=" + std::to_string(kSlowBytes);
  request.read_rate = 10'000'000;
  for (const bool truncate : {false, true}) {
    const std::string fault =
        std::string(R"({"cut_response": )") + (truncate ? "true}" : "false}");
    for (const std::size_t owner : {kFirst, kSecond}) {
      ASSERT_TRUE(
          deployment_.PutJson(deployment_.pair(owner).upstream, "/standin/faults", fault));
    }
    std::array<std::int64_t, kPairs> before{};
    for (std::size_t i = 0; i < kPairs; ++i) {
      ResetPeak(i);
      before.at(i) = MemoryKb(i, "VmRSS");
      ASSERT_GT(before.at(i), 0);
    }
    const raw_response response = SendRaw(deployment_.pair(kEntry).callers, request);
    EXPECT_EQ(response.status, 200) << response.Header("bronzeroute-error");
    EXPECT_EQ(response.complete, !truncate) << response.error;
    if (truncate) {
      EXPECT_LT(response.body_bytes, kSlowBytes);
    } else {
      EXPECT_EQ(response.body_bytes, kSlowBytes);
    }
    for (std::size_t i = 0; i < kPairs; ++i) {
      const std::int64_t growth = PeakKb(i) - before.at(i);
      RecordProperty((truncate ? "truncated_kb_" : "whole_kb_") + std::to_string(i),
                     std::to_string(growth));
      EXPECT_LT(growth, kSlowGrowthKb) << "daemon " << i;
    }
  }
}

}  // namespace
}  // namespace bronzeroute::testing
