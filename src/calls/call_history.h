#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/calls/call_record.h"

namespace bronzeroute {

/// The last calls that ended at this entry, for `explain`.
class call_history {
 public:
  static constexpr std::size_t kDefaultCapacity = 4096;

  explicit call_history(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  using observer = std::function<void(const call_record&)>;
  /// `on_end` sees every call once, when it ends.
  void SetObserver(observer on_end) { on_end_ = std::move(on_end); }

  void Add(call_record row);
  /// Null if the call is unknown, still open, or too old.
  const call_record* Find(const call_id& id) const;
  std::size_t size() const { return rows_.size(); }

 private:
  std::size_t capacity_;
  observer on_end_;
  std::size_t next_ = 0;
  std::vector<call_record> rows_;
  absl::flat_hash_map<call_id, std::size_t> index_;
};

/// Short sentences for an operator, one a line: where the call went, why, and how it ended.
std::string ExplainCall(const call_record& row);

}  // namespace bronzeroute
