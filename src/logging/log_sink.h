#pragma once

namespace bronzeroute {

class log_line;

/// Receives structured log lines. Implemented by `log_writer`, mocked in tests.
class log_sink {
 public:
  virtual ~log_sink() = default;
  /// Never blocks; may drop the line.
  virtual void Write(const log_line& line) = 0;
};

}  // namespace bronzeroute
