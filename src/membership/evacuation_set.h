#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace bronzeroute {

struct log_read;

/// A place in the stream of evacuations. The log gives out offsets again after it was restored
/// from an older copy, which begins another era.
struct evacuation_position {
  std::int64_t era = 0;
  /// Offset of the first record that is not included.
  std::int64_t offset = 0;

  // The check takes the 0 of a comparison that is rewritten to <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const evacuation_position&, const evacuation_position&) = default;
};

/// The availability zones whose upstreams must receive no work, and the position up to which
/// they are known. Both the log and peers tell of changes; the higher position wins.
class evacuation_set {
 public:
  using zone_set = std::set<std::string, std::less<>>;

  /// Applies a read of the stream of evacuations. The newest records of each key are the whole
  /// set; after the log was restored they replace it whatever the position. Returns true if the
  /// set or the position changed.
  bool OnLogRead(const log_read& read);
  /// Applies the set of a peer. Returns true if it replaced the own one.
  bool OnPeer(const evacuation_position& position, std::span<const std::string> zones);

  bool Contains(std::string_view zone) const { return zones_.contains(zone); }
  const zone_set& zones() const { return zones_; }
  /// {0, 0} if nothing is known.
  const evacuation_position& position() const { return position_; }

 private:
  bool ReplaceByNewest(const log_read& read);
  bool ApplyChanges(const log_read& read);

  zone_set zones_;
  evacuation_position position_;
};

}  // namespace bronzeroute
