#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <memory>

#include "src/base/strong_id.h"
#include "src/transport/exchange.h"

namespace bronzeroute {

/// All open exchanges of the process. Used on the event loop only.
class exchange_table {
 public:
  /// Adds `row` and sets its id, which is never reused in this process.
  void Add(const std::shared_ptr<exchange>& row);
  void Remove(exchange_id id) { rows_.erase(id); }
  /// The exchange, or null if it has ended.
  std::shared_ptr<exchange> Find(exchange_id id) const;
  /// Number of open exchanges; a process waits for 0 before it exits.
  std::size_t size() const { return rows_.size(); }

 private:
  std::uint64_t last_id_ = 0;
  absl::flat_hash_map<exchange_id, std::shared_ptr<exchange>> rows_;
};

}  // namespace bronzeroute
