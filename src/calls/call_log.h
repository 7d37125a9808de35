#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/calls/call_log_row.h"

namespace bronzeroute {

/// The last calls that ended at this entry, for `explain`.
class call_log {
 public:
  static constexpr std::size_t kDefaultCapacity = 4096;

  explicit call_log(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  void Add(call_log_row row);
  /// Null if the call is unknown, still open, or too old.
  const call_log_row* Find(const call_id& id) const;
  std::size_t size() const { return rows_.size(); }

 private:
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::vector<call_log_row> rows_;
  absl::flat_hash_map<call_id, std::size_t> index_;
};

/// Short sentences for an operator, one a line: where the call went, why, and how it ended.
std::string ExplainCall(const call_log_row& row);

}  // namespace bronzeroute
