#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "src/base/attempt_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Identities of the attempts that an owner received, to detect duplicates. Memory is bounded:
/// once an identity is evicted, all attempts of its entry up to its sequence number count as
/// received.
class received_attempts {
 public:
  /// At 222 calls/s for each daemon, two minutes are about 27,000 identities.
  static constexpr std::size_t kDefaultCapacity = 65'536;

  explicit received_attempts(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  /// Records `id`. Returns false if it is recorded already, may have been evicted, or belongs
  /// to an earlier incarnation of the entry than the latest one seen.
  bool Insert(const attempt_id& id, time_point now);
  void Tick(time_point now);

 private:
  struct entry_row {
    incarnation_id incarnation;
    std::uint64_t forgotten_up_to = 0;
  };
  void ForgetOldest();

  std::size_t capacity_;
  absl::flat_hash_map<member_id, entry_row> entries_;
  absl::flat_hash_map<attempt_id, bool> seen_;
  /// In order of arrival, with the time at which each expires.
  std::deque<std::pair<time_point, attempt_id>> order_;
};

}  // namespace bronzeroute
