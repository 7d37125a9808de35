#include "src/logging/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

#include "absl/strings/str_format.h"
#include "src/logging/log_line.h"

namespace bronzeroute {
namespace {

// Limit of the buffer for a slow reader: several seconds of the default budget.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
// Period of the line that reports the number of dropped lines.
constexpr auto kSummaryPeriod = std::chrono::seconds(5);
// Bytes that the time, the level and the line feed add to each line.
constexpr std::size_t kOverheadBytes = 32;

std::string_view WeightName(log_weight weight) {
  switch (weight) {
    case log_weight::kSuccess:
      return "debug";
    case log_weight::kProblem:
      return "warn";
    case log_weight::kState:
      break;
  }
  return "info";
}

// Wall-clock time in seconds since 1970, so that lines of several processes can be merged.
std::string UnixTimeText() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
  return absl::StrFormat("%d.%03d", ms / 1000, ms % 1000);
}

}  // namespace

log_writer::log_writer(int descriptor, std::size_t bytes_per_second)
    : descriptor_(descriptor), budget_(bytes_per_second) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void log_writer::Write(const log_line& line) {
  const auto now = time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
  const std::size_t bytes = line.text().size() + kOverheadBytes;
  if (!budget_.TryCharge(line.weight(), bytes, now) ||
      buffer_.size() + bytes > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  Append(line);
}

void log_writer::Append(const log_line& line) {
  buffer_ += absl::StrFormat("ts=%s level=%s %s\n", UnixTimeText(),
                             std::string(WeightName(line.weight())), line.text());
}

void log_writer::Tick(time_point now) {
  if (now >= next_summary_) {
    next_summary_ = now + kSummaryPeriod;
    const std::uint64_t unreported = budget_.TakeDropped();
    if (unreported > 0 && buffer_.size() < kMaxBufferedBytes) {
      log_line line(log_weight::kState, "log", "lines_dropped");
      line.Add("count", unreported).Add("total", dropped_);
      Append(line);
    }
  }
  Flush();
}

void log_writer::Flush() {
  while (!buffer_.empty()) {
    const ssize_t count = write(descriptor_, buffer_.data(), buffer_.size());
    // The descriptor is full or failed; the buffer is kept for the next tick.
    if (count <= 0) return;
    buffer_.erase(0, static_cast<std::size_t>(count));
  }
}

}  // namespace bronzeroute
