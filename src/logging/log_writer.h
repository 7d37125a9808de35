#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/base/time.h"
#include "src/logging/log_budget.h"
#include "src/logging/log_sink.h"

namespace bronzeroute {

/// Writes log lines to a descriptor without ever waiting for its reader. What does not fit into
/// the descriptor is held up to a limit, then dropped and counted. Used on one thread.
class log_writer final : public log_sink {
 public:
  /// `descriptor` is set to non-blocking and stays open.
  log_writer(int descriptor, std::size_t bytes_per_second);

  void Write(const log_line& line) override;
  /// Writes what is held, and says how many lines were dropped. Call it about every 10 ms.
  void Tick(time_point now);
  /// Lines dropped since the start because of the budget or of a reader that does not read.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Append(const log_line& line);
  void Flush();

  int descriptor_;
  log_budget budget_;
  std::string held_;
  std::uint64_t dropped_ = 0;
  time_point next_summary_{};
};

}  // namespace bronzeroute
