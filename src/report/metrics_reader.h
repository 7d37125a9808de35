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

/// Reads metrics from daemons and from files. Calls block and must not be made on the
/// cpprestsdk thread pool.
class metrics_reader {
 public:
  /// `timeout` limits each request.
  explicit metrics_reader(std::chrono::milliseconds timeout) : timeout_(timeout) {}

  /// The member table of the daemon with the admin address `admin` ("ip:port").
  absl::StatusOr<member_list> Members(std::string_view admin) const;

  /// Returns one reading for each source, in the same order. Up to 16 daemons are read in
  /// parallel.
  std::vector<process_reading> Read(const std::vector<process_source>& sources) const;

 private:
  std::chrono::milliseconds timeout_;
};

}  // namespace bronzeroute
