#include "src/membership/evacuation_set.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proto/membership.pb.h"
#include "src/platform/log_read.h"
#include "tests/membership/member_net.h"

namespace bronzeroute {
namespace {

using zones = evacuation_set::zone_set;

log_record Begin(std::int64_t offset, const std::string& zone) {
  return {.offset = offset, .age_ms = 0, .data = "{}", .key = zone};
}
log_record End(std::int64_t offset, const std::string& zone) {
  return {.offset = offset, .age_ms = 0, .data = "", .key = zone, .is_removal = true};
}
log_read Newest(std::vector<log_record> records, std::int64_t next, std::int64_t era = 1) {
  return {.stream = "evacuations.trial",
          .next = next,
          .records = std::move(records),
          .is_newest_of_each = true,
          .era = era};
}
log_read Changes(std::vector<log_record> records, std::int64_t era = 1) {
  return {.stream = "evacuations.trial", .records = std::move(records), .era = era};
}

// Guards against overlapping evacuations of which the end of one ends the other.
TEST(EvacuationSet, ZonesOverlap) {
  evacuation_set set;
  EXPECT_TRUE(set.OnLogRead(Newest({Begin(3, "a")}, 10)));
  EXPECT_TRUE(set.OnLogRead(Changes({Begin(11, "b"), End(12, "a")})));
  EXPECT_EQ(set.zones(), zones{"b"});
  EXPECT_TRUE(set.OnLogRead(Changes({End(14, "b")})));
  EXPECT_TRUE(set.zones().empty());
  EXPECT_EQ(set.position(), (evacuation_position{1, 15}));
}

// Guards against a start that arrives after its end and is applied, from the log or from a
// peer.
TEST(EvacuationSet, AnEndIsNotUndoneByAnEarlierStart) {
  evacuation_set set;
  set.OnLogRead(Newest({}, 5));
  EXPECT_TRUE(set.OnLogRead(Changes({Begin(6, "a"), End(7, "a")})));
  EXPECT_FALSE(set.OnLogRead(Changes({Begin(6, "a")})));
  EXPECT_FALSE(set.OnPeer({1, 7}, std::vector<std::string>{"a"}));
  EXPECT_TRUE(set.zones().empty());
}

// Guards against newest records that lag behind a peer and end an evacuation until the next
// read.
TEST(EvacuationSet, TheHigherPositionWins) {
  evacuation_set set;
  EXPECT_TRUE(set.OnPeer({1, 21}, std::vector<std::string>{"a"}));
  EXPECT_FALSE(set.OnLogRead(Newest({}, 20)));
  EXPECT_TRUE(set.Contains("a"));
  EXPECT_TRUE(set.OnLogRead(Newest({Begin(20, "a")}, 30)));
  EXPECT_FALSE(set.OnPeer({1, 30}, {}));
  EXPECT_TRUE(set.OnPeer({1, 31}, {}));
  EXPECT_FALSE(set.Contains("a"));
}

// Guards against a set from before the log was restored that outlives it: offsets are lower
// afterwards.
TEST(EvacuationSet, ARestoredLogReplacesTheSet) {
  evacuation_set set;
  set.OnLogRead(Newest({Begin(40, "a")}, 50));
  EXPECT_TRUE(set.OnLogRead(Newest({Begin(8, "b")}, 10, 2)));
  EXPECT_EQ(set.zones(), zones{"b"});
  // A peer that cannot read the log still has the earlier set, and a response was held up.
  EXPECT_FALSE(set.OnPeer({1, 50}, std::vector<std::string>{"a"}));
  EXPECT_FALSE(set.OnLogRead(Changes({Begin(50, "c")}, 1)));
  EXPECT_TRUE(set.OnLogRead(Changes({End(11, "b")}, 2)));
  EXPECT_TRUE(set.zones().empty());
  // The log names no era, but says that it was restored.
  log_read restored = Newest({Begin(2, "d")}, 3, 2);
  restored.is_restored = true;
  EXPECT_TRUE(set.OnLogRead(restored));
  EXPECT_EQ(set.zones(), zones{"d"});
}

// Guards against a record without a zone that evacuates members without one.
TEST(EvacuationSet, ARecordWithoutAZoneIsIgnored) {
  evacuation_set set;
  set.OnLogRead(Newest({Begin(1, "")}, 2));
  set.OnLogRead(Changes({Begin(3, "")}));
  EXPECT_TRUE(set.zones().empty());
}

// Guards against a malformed set of a peer that is applied, or that makes all later ones look
// outdated.
TEST(EvacuationSet, AMalformedSetOfAPeerIsCountedAndIgnored) {
  member_net net({});
  net.StartAll(2);
  net.RunFor(std::chrono::seconds(20));
  const auto inject = [&net](std::uint64_t offset, int zone_count) {
    proto::MemberDatagram message;
    message.set_kind(proto::MemberDatagram::GOSSIP);
    message.set_sender(member_net::Id(1).value);
    message.set_sender_incarnation(net.at(1).self().incarnation.value);
    message.set_evacuation_offset(offset);
    for (int i = 0; i < zone_count; ++i) message.add_evacuated_zones(std::to_string(i));
    net.at(0).OnDatagram(member_net::Address(1, 7001), message.SerializeAsString(), net.now());
    return net.at(0).TakeEvacuations();
  };
  const std::uint64_t before = net.at(0).malformed_datagrams();
  EXPECT_FALSE(inject(std::uint64_t{1} << 63, 1));
  EXPECT_FALSE(inject(7, 1000));
  EXPECT_EQ(net.at(0).malformed_datagrams(), before + 2);
  const auto received = inject(7, 2);
  ASSERT_TRUE(received);
  EXPECT_EQ(received->position.offset, 7);
  EXPECT_EQ(received->zones, (std::vector<std::string>{"0", "1"}));
}

}  // namespace
}  // namespace bronzeroute
