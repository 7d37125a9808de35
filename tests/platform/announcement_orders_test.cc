// Plays orders of true, late and foreign announcements, departures and restarts against a whole
// daemon, read as its endpoints read them.

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/read_announcement.h"
#include "src/base/concat.h"
#include "src/membership/upstream_announcement.h"
#include "src/membership/upstream_departure.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::platform {
namespace {

using nlohmann::json;
using tests::milliseconds;
using tests::runtime_world;

constexpr std::int64_t kStarted = 1'000'000;
constexpr std::string_view kIdentity = "i-7f3a91c2";
constexpr std::uint64_t kAhead = 50;
constexpr std::size_t kExhaustiveLength = 2;
constexpr std::size_t kRandomLength = 8;
constexpr int kRandomOrders = 400;

enum class event : std::uint8_t {
  kReport,
  kLateReport,
  kDraining,
  kDeregister,
  kRestart,
  // Of another writer, with a sequence ahead of the true ones.
  kWithoutVersion,
  kWithoutZone,
  kSlotsOfAnotherType,
  kUnknownState,
  kOtherStartWithoutSequence,
  kUnreadable,
};
constexpr std::array kEvents = {event::kReport,       event::kLateReport,
                                event::kDraining,     event::kDeregister,
                                event::kRestart,      event::kWithoutVersion,
                                event::kWithoutZone,  event::kSlotsOfAnotherType,
                                event::kUnknownState, event::kOtherStartWithoutSequence,
                                event::kUnreadable};
using order = std::vector<event>;

bool IsForeign(event what) { return what >= event::kWithoutVersion; }

/// One daemon beside an upstream, whose leaving was acknowledged or not.
class departing_upstream {
 public:
  departing_upstream() {
    EXPECT_TRUE(world_.Publish());
    world_.Advance(tests::seconds(20));
    world_.RemoveUpstream(0);
    Play(event::kReport);
  }

  /// What is wrong after `what`; empty if nothing is.
  std::string Play(event what) {
    const bool was_in_use = IsInUse();
    Do(what);
    if (IsForeign(what) && IsInUse() != was_in_use) return "a foreign report took effect";
    world_.Advance(milliseconds(1000));
    if (has_left_ && IsInUse()) return "in use after its leaving was acknowledged";
    if (what == event::kReport && !has_asked_to_leave_ && !IsInUse()) return "not in use";
    return {};
  }

  bool has_left() const { return has_left_; }

 private:
  void Do(event what) {
    json report = {
        {"address", "10.0.1.1:80"},
        {"born", kStarted},
        {"info", {{"service", "media"}, {"version", "v1"}, {"zone", "a"}, {"slots", 4}}},
        {"status", {{"state", "ready"}, {"sequence", sequence_}, {"coldLeftMs", 0}}}};
    json& status = report["status"];
    if (IsForeign(what)) status["sequence"] = sequence_ + kAhead;
    switch (what) {
      case event::kDraining:
        status["state"] = "draining";
        [[fallthrough]];
      case event::kReport:
        status["sequence"] = ++sequence_;
        break;
      case event::kLateReport:
        status["sequence"] = sequence_ > 0 ? sequence_ - 1 : 0;
        break;
      case event::kDeregister:
        world_.daemon(0).OnUpstreamLeaving(kIdentity, kStarted, 0, world_.now());
        AwaitAcknowledgement();
        return;
      case event::kRestart:
        world_.Kill(0);
        world_.Advance(milliseconds(500));
        world_.Restart(0);
        return;
      case event::kWithoutVersion:
        report["info"].erase("version");
        break;
      case event::kWithoutZone:
        report["info"].erase("zone");
        break;
      case event::kSlotsOfAnotherType:
        report["info"]["slots"] = "4";
        break;
      case event::kUnknownState:
        status["state"] = "leaving";
        break;
      case event::kOtherStartWithoutSequence:
        report["born"] = kStarted + 1;
        status.erase("sequence");
        break;
      case event::kUnreadable:
        break;
    }
    const std::string text = what == event::kUnreadable ? "{" : report.dump();
    announcement_result read = ReadAnnouncement(kIdentity, text, world_.now());
    if (!read.value) return;
    const bool is_leaving = read.value->is_leaving;
    world_.daemon(0).OnAnnouncement(*std::move(read.value), world_.now());
    if (is_leaving) AwaitAcknowledgement();
  }

  void AwaitAcknowledgement() {
    has_asked_to_leave_ = true;
    world_.daemon(0).AwaitDepartureRecord(
        world_.now() + milliseconds(800),
        [this](bool is_recorded) { has_left_ = has_left_ || is_recorded; }, world_.now());
  }

  bool IsInUse() {
    const auto& daemon = world_.daemon(0);
    return daemon.membership().upstream() != nullptr && !daemon.admission().system().draining();
  }

  runtime_world world_{1, {}};
  std::uint64_t sequence_ = 0;
  bool has_asked_to_leave_ = false;
  bool has_left_ = false;
};

/// What is wrong in `events`; empty if nothing is. Counts in `departures` those in which a
/// leaving was acknowledged.
std::string FaultOf(const order& events, int& departures) {
  departing_upstream upstream;
  std::string played;
  for (const event what : events) {
    played += Concat(static_cast<int>(what), " ");
    const std::string fault = upstream.Play(what);
    if (!fault.empty()) return Concat(fault, " after the events ", played);
  }
  departures += upstream.has_left() ? 1 : 0;
  return {};
}

std::vector<order> ExhaustiveOrders() {
  std::vector<order> all = {{}};
  for (std::size_t first = 0; all[first].size() < kExhaustiveLength; ++first) {
    for (const event what : kEvents) {
      order next = all[first];
      next.push_back(what);
      all.push_back(std::move(next));
    }
  }
  return all;
}

// Guards against a foreign report that hides a leaving, takes the place of true reports or is
// used itself, and against an upstream in use after its leaving was acknowledged, whatever the
// order.
TEST(AnnouncementOrders, ForeignReportsChangeNothingAndALeavingCounts) {
  int departures = 0;
  for (const order& events : ExhaustiveOrders()) EXPECT_EQ(FaultOf(events, departures), "");
  std::mt19937_64 random(20261207);
  std::uniform_int_distribution<std::size_t> pick(0, kEvents.size() - 1);
  for (int i = 0; i < kRandomOrders; ++i) {
    order events(kRandomLength);
    for (event& what : events) what = kEvents[pick(random)];
    EXPECT_EQ(FaultOf(events, departures), "");
  }
  EXPECT_GT(departures, kRandomOrders / 2);
}

}  // namespace
}  // namespace bronzeroute::platform
