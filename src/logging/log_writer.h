#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/time.h"
#include "src/logging/log_budget.h"
#include "src/logging/log_sink.h"

namespace bronzeroute {

/// Writes log lines to a descriptor without blocking. Lines that the descriptor does not accept
/// are buffered up to a limit; beyond it, lines are dropped and counted. Not thread-safe.
class log_writer final : public log_sink {
 public:
  /// `descriptor` is set to non-blocking and stays open.
  log_writer(int descriptor, std::size_t bytes_per_second);

  void Write(const log_line& line) override;
  /// Flushes the buffer and periodically reports the number of dropped lines. Call it about
  /// every 10 ms.
  void Tick(time_point now);
  /// Lines dropped since the start because the budget or the buffer was exhausted.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Append(const log_line& line);
  void Flush();

  int descriptor_;
  log_budget budget_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  time_point next_summary_{};
};

}  // namespace bronzeroute
