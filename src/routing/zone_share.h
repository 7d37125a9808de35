#pragma once

#include <cstdint>
#include <string_view>

namespace bronzeroute {

/// Why the share of requests that leave a zone is what it is.
enum class zone_share_reason : std::uint8_t {
  /// The upstreams of the zone suffice.
  kHomeSuffices,
  /// The zone is loaded, and others have room.
  kHomeLoaded,
  /// The zone is loaded, but no other zone has room.
  kNoRoomElsewhere,
  /// No fresh hints: each request is decided by the scores of the candidates.
  kNoInformation,
};

/// Name of `reason` in log lines and metrics.
inline std::string_view ZoneShareReasonName(zone_share_reason reason) {
  switch (reason) {
    case zone_share_reason::kHomeSuffices:
      return "home_suffices";
    case zone_share_reason::kHomeLoaded:
      return "home_loaded";
    case zone_share_reason::kNoRoomElsewhere:
      return "no_room_elsewhere";
    case zone_share_reason::kNoInformation:
      break;
  }
  return "no_information";
}

/// Share of one service's requests that leave the zone of this process, 0 to 1.
struct zone_share {
  double to_region = 0;
  double to_other_regions = 0;
  zone_share_reason reason = zone_share_reason::kNoInformation;

  double Total() const { return to_region + to_other_regions; }
};

}  // namespace bronzeroute
