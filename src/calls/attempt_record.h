#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "src/base/attempt_id.h"
#include "src/base/time.h"

namespace bronzeroute {

/// Identities of attempts received by an owner. Memory is bounded: when an identity is
/// forgotten, all attempts of its entry up to its sequence number count as received.
class attempt_record {
 public:
  /// At 222 calls/s for each daemon, two minutes are about 27,000 identities.
  static constexpr std::size_t kDefaultCapacity = 65'536;

  explicit attempt_record(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  /// Records `id`. False if it is on record, may have been forgotten, or is of a run of the
  /// entry earlier than one already seen.
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
  /// In order of arrival, with the time until which each is kept.
  std::deque<std::pair<time_point, attempt_id>> order_;
};

}  // namespace bronzeroute
