#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "src/base/attempt_id.h"
#include "src/base/time.h"
#include "src/calls/key_decision.h"
#include "src/calls/key_state.h"
#include "src/calls/self_identity.h"

namespace bronzeroute {

/// State of the idempotency keys whose home is this process, one row a key.
class key_table {
 public:
  /// One protected call in a hundred at the target load fills about 1,400 rows; the default
  /// leaves room for a service that has protected calls only.
  static constexpr std::size_t kDefaultCapacity = 65'536;

  explicit key_table(const self_identity& self, std::size_t capacity = kDefaultCapacity)
      : self_(self), capacity_(capacity) {}

  /// Decides whether a try may run and, if so, marks the row as running for `attempt`.
  key_decision Begin(const std::string& key, std::uint32_t caller_try,
                     const attempt_id& attempt, time_point now);
  /// True if the row is marked as running for `attempt`.
  bool IsRunning(const std::string& key, const attempt_id& attempt) const;
  /// Records the end of `attempt`; ignored if the row belongs to another attempt.
  void End(const std::string& key, const attempt_id& attempt, key_state state, int status,
           time_point now);

  /// Bumps the incarnation: keys issued under the earlier one are refused with kKeyHomeLost
  /// from now on; the rows of keys chosen by callers stay.
  void BumpIncarnation(incarnation_id to) { self_.BumpIncarnation(to); }
  /// Removes expired rows.
  void Tick(time_point now);
  std::size_t size() const { return rows_.size(); }

 private:
  struct row {
    key_state state = key_state::kRunning;
    int status = 0;
    attempt_id attempt;
    std::uint32_t caller_try = 1;
    /// Unix time of issue in milliseconds; nothing for a key chosen by the caller.
    std::optional<std::int64_t> issued_ms;
    time_point expires = time_point::max();
  };

  self_identity self_;
  std::size_t capacity_;
  absl::flat_hash_map<std::string, row> rows_;
  time_point next_sweep_;
};

}  // namespace bronzeroute
