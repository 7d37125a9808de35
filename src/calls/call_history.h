#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/calls/call_record.h"

namespace bronzeroute {

/// The most recent calls that ended at this entry, kept for the `explain` command.
class call_history {
 public:
  static constexpr std::size_t kDefaultCapacity = 4096;

  explicit call_history(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  using observer = std::function<void(const call_record&)>;
  /// `on_end` is called once for every call, when it ends.
  void SetObserver(observer on_end) { on_end_ = std::move(on_end); }

  void Add(call_record row);
  /// Null if the call is unknown, still open, or no longer kept.
  const call_record* Find(const call_id& id) const;
  std::size_t size() const { return rows_.size(); }

 private:
  std::size_t capacity_;
  observer on_end_;
  std::size_t next_ = 0;
  std::vector<call_record> rows_;
  absl::flat_hash_map<call_id, std::size_t> index_;
};

/// Description of a call for an operator, one statement a line: to which members it was sent,
/// why, and how it ended.
std::string ExplainCall(const call_record& row);

}  // namespace bronzeroute
