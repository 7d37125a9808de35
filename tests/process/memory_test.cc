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

}  // namespace
}  // namespace bronzeroute::testing
