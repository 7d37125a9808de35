#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/error_response.h"
#include "src/configuration/configuration_form.h"
#include "src/configuration/document_error.h"
#include "src/configuration/document_reader.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

/// Four daemons, each with an upstream: 0 and 1 in region "central", 2 and 3 in "north". Each
/// published document has one route, limited to the regions given.
class HomeRegionsTest : public testing::Test {
 protected:
  HomeRegionsTest() {
    world_options options;
    options.form = configuration_form::kVersionedDocuments;
    options.read_document = [this](std::string_view bytes) {
      parse_result result = ReadTomlDocument(bytes);
      if (!result.value) {
        ADD_FAILURE() << DescribeError(result.errors.front());
        return result;
      }
      host_route route;
      route.prefix = "/media/";
      route.targets = {{.service = "media"}};
      route.time_limit = seconds(20);
      route.max_attempts = 3;
      result.value->version = std::stoll(result.value->name.substr(1));
      route.regions = published_.at(static_cast<std::size_t>(result.value->version));
      result.value->host_routes = {route};
      result.value->IndexRoutes();
      return result;
    };
    world_ = std::make_unique<runtime_world>(4, options);
  }
  /// Publishes a document whose route may run in `regions`.
  void Publish(const region_limit& regions) {
    const std::int64_t version = world_->log.Append(
        "config.trial",
        "format = 1\nname = \"v" + std::to_string(published_.size()) +
            "\"\n[measuring]\nbytes_per_second = 2000\nupstream_ms_per_second = 6\n"
            "[[service]]\nname = \"media\"\ndeadline_ms = 1000\nslots = 2\n"
            "connections = 50\nqueue_limit = 4\nlong_share = 0.5\n"
            "[[service.route]]\nmethod = \"POST\"\nprefix = \"/media/\"\n"
            "class = \"short\"\n",
        world_->now());
    published_.push_back(regions);
    world_->oracle.OnPublished(version, version - 1);
    world_->oracle.OnReportedAccepted(version);
  }
  std::vector<std::uint64_t> Starts() {
    std::vector<std::uint64_t> starts;
    for (std::size_t i = 0; i < world_->size(); ++i) {
      starts.push_back(world_->IsAlive(i) ? world_->daemon(i).calls().owner().counters().started
                                          : 0);
    }
    return starts;
  }
  /// Attempts, with their bodies, that each daemon received, those of its own entry included.
  std::uint64_t Attempts(std::size_t index) {
    return world_->daemon(index).calls().owner().counters().attempts;
  }
  /// Sends `count` requests to each daemon that runs, 2 ms apart; returns their outcomes.
  std::set<std::string> Load(int count, duration limit = seconds(1)) {
    std::vector<std::size_t> requests;
    for (int i = 0; i < count; ++i) {
      for (std::size_t entry = 0; entry < world_->size(); ++entry) {
        const auto sent = world_->Request(entry, false, "", 1, limit);
        if (sent) requests.push_back(*sent);
      }
      world_->Advance(milliseconds(2));
    }
    world_->Advance(limit + seconds(1));
    std::set<std::string> outcomes;
    for (const std::size_t each : requests) {
      const auto& row = world_->oracle.calls.at(each);
      outcomes.insert(row.now == call_oracle::state::kComplete
                          ? "complete"
                          : std::string(ErrorResponseFor(row.reported).name));
    }
    return outcomes;
  }

  /// The regions of each document; its position is the version.
  std::vector<region_limit> published_;
  std::unique_ptr<runtime_world> world_;
};

// Guards against a single request, or the body of one, outside the allowed regions under a load
// that the allowed upstreams cannot serve, and against loading them beyond their capacity: the
// oracle checks the slots, and what cannot run is refused.
TEST_F(HomeRegionsTest, LoadBeyondCapacityDoesNotLeaveTheRegions) {
  Publish(region_limit({"north"}));
  world_->Advance(seconds(20));
  const std::set<std::string> outcomes = Load(200);
  EXPECT_TRUE(outcomes.contains("complete"));
  EXPECT_GT(outcomes.size(), 1U) << "some of the load must have been refused";
  EXPECT_EQ(Attempts(0) + Attempts(1), 0U);
  EXPECT_GT(Starts()[2], 0U);
  EXPECT_GT(Starts()[3], 0U);
  EXPECT_EQ(world_->oracle.Violations(), "");
}

// Guards against requests that leave their regions when these are lost, and against a slow or
// unclear error.
TEST_F(HomeRegionsTest, LostRegionRefusesWithoutRunning) {
  Publish(region_limit({"north"}));
  world_->Advance(seconds(20));
  world_->Kill(2);
  world_->Kill(3);
  world_->Advance(seconds(20));
  EXPECT_EQ(Load(10), std::set<std::string>{"outside_regions"});
  Publish(region_limit());
  world_->Advance(seconds(5));
  EXPECT_EQ(Load(1), std::set<std::string>{"complete"});
  EXPECT_EQ(world_->oracle.Violations(), "");
}

// Guards against work in no region at all being sent to some region.
TEST_F(HomeRegionsTest, NoCommonRegionRefusesEverything) {
  Publish(region_limit(std::vector<std::string>()));
  world_->Advance(seconds(20));
  EXPECT_EQ(Load(10), std::set<std::string>{"outside_regions"});
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(Attempts(i), 0U) << i;
}

// Guards against waiting requests that start in a region after a new document has excluded it.
TEST_F(HomeRegionsTest, NewDocumentAppliesToWaitingRequests) {
  Publish(region_limit());
  world_->Advance(seconds(20));
  for (std::size_t i = 0; i < 4; ++i) world_->SetUpstream(i, upstream_mode::kSlow);
  for (int i = 0; i < 6; ++i) {
    for (std::size_t entry = 0; entry < 4; ++entry) {
      world_->Request(entry, false, "", 1, seconds(20));
    }
  }
  world_->Advance(milliseconds(100));
  Publish(region_limit({"north"}));
  world_->Advance(seconds(1));
  const std::vector<std::uint64_t> before = Starts();
  world_->Advance(seconds(20));
  EXPECT_EQ(Starts()[0], before[0]);
  EXPECT_EQ(Starts()[1], before[1]);
  EXPECT_GT(Starts()[2] + Starts()[3], before[2] + before[3]);
  EXPECT_EQ(world_->oracle.Violations(), "");
}

}  // namespace
}  // namespace bronzeroute::tests
