#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bronzeroute::standin {

/// Streams of records in memory, with offsets per stream and limited retention. All times are
/// Unix milliseconds, passed in by the caller.
class log_store {
 public:
  struct record {
    std::int64_t offset;
    std::int64_t at_ms;
    std::string data;
  };

  struct stream {
    std::int64_t next = 0;
    std::deque<record> records;
  };

  /// Appends a record and returns its offset, or nothing if `appends_per_second` is reached.
  std::optional<std::int64_t> Append(std::string_view name, std::string data,
                                     std::int64_t now_ms, std::int64_t appends_per_second);

  /// Drops records older than `retention_ms`.
  void Expire(std::int64_t now_ms, std::int64_t retention_ms);

  const stream& Get(std::string_view name);
  std::int64_t total_appends() const { return total_appends_; }

 private:
  std::map<std::string, stream, std::less<>> streams_;
  std::int64_t window_start_ms_ = 0;
  std::int64_t appends_in_window_ = 0;
  std::int64_t total_appends_ = 0;
};

}  // namespace bronzeroute::standin
