#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "src/report/member_list.h"
#include "src/report/process_reading.h"
#include "src/report/process_source.h"

namespace bronzeroute {

/// Reads metrics from daemons and from files. Calls block, so not on the cpprestsdk pool.
class metrics_reader {
 public:
  /// `timeout` bounds each request.
  explicit metrics_reader(std::chrono::milliseconds timeout) : timeout_(timeout) {}

  /// The members that the daemon with the admin address `admin` ("ip:port") knows.
  absl::StatusOr<member_list> Members(std::string_view admin) const;

  /// One reading for each source, in their order; several daemons are read at a time.
  std::vector<process_reading> Read(const std::vector<process_source>& sources) const;

 private:
  std::chrono::milliseconds timeout_;
};

}  // namespace bronzeroute
