// Each rule of the oracle is shown red by the events of a daemon that breaks it, and green by
// those of one that keeps it.

#include "standins/platform/placement_oracle.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace bronzeroute::standin {
namespace {

using std::chrono::milliseconds;

class PlacementOracleTest : public testing::Test {
 protected:
  static placement_oracle::clock::time_point At(int ms) {
    return placement_oracle::clock::time_point(std::chrono::hours(1)) + milliseconds(ms);
  }
  void Arrive(const region_limit& regions, int ms) {
    oracle_.OnArrival("r", regions, "i-1", "zone-a", "north", At(ms));
  }
  static bound_shape Bounds() {
    bound_shape bounds;
    bounds.evacuation = milliseconds(5000);
    return bounds;
  }
  std::string Broken() const {
    std::string rules;
    for (const rule_break& each : oracle_.breaks()) rules += each.rule + " ";
    return rules;
  }

  placement_oracle oracle_{Bounds()};
};

TEST_F(PlacementOracleTest, FindsARequestOutsideItsRegions) {
  Arrive({}, 0);
  Arrive(region_limit({"south", "north"}), 0);
  EXPECT_EQ(Broken(), "");
  Arrive(region_limit({"south"}), 0);
  EXPECT_EQ(Broken(), "HOME ");
}

TEST_F(PlacementOracleTest, FindsARequestInAnEvacuatedZone) {
  oracle_.OnEvacuated("zone-a", At(0));
  oracle_.OnEvacuated("zone-b", At(0));
  Arrive({}, 4900);
  EXPECT_EQ(Broken(), "");
  Arrive({}, 5100);
  EXPECT_EQ(Broken(), "EVAC ");
  oracle_.OnEvacuationEnded("zone-a");
  Arrive({}, 6000);
  EXPECT_EQ(Broken(), "EVAC ");
}

// 10/s allow 23 in a second.
TEST_F(PlacementOracleTest, FindsTooManyRequestsAtAColdUpstream) {
  oracle_.OnCold("i-1", 10, At(3000));
  for (int i = 0; i < 23; ++i) Arrive({}, 20 * i);
  for (int i = 0; i < 23; ++i) Arrive({}, 1000 + 20 * i);
  EXPECT_EQ(Broken(), "");
  Arrive({}, 1900);
  EXPECT_EQ(Broken(), "FAILBACK ");
  for (int i = 0; i < 100; ++i) Arrive({}, 3000 + i);
  EXPECT_EQ(Broken(), "FAILBACK ");
}

}  // namespace
}  // namespace bronzeroute::standin
