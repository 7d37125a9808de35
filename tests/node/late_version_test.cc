// Deployments without requests, in which a new version reaches some daemons over their peers
// only.

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "src/configuration/configuration_form.h"
#include "tests/node/runtime_world.h"

namespace bronzeroute::tests {
namespace {

/// Number of daemons, and the time in which a version has to take effect in the users'
/// deployments of about that size.
struct deployment_size {
  std::size_t daemons;
  seconds bound;

  friend std::ostream& operator<<(std::ostream& to, const deployment_size& size) {
    return to << size.daemons << " daemons, " << size.bound.count() << " s";
  }
};

world_options Options(std::uint64_t seed) {
  world_options options;
  options.seed = seed;
  options.max_delay = milliseconds(16);
  options.form = configuration_form::kVersionedDocuments;
  options.read_document = [](std::string_view bytes) {
    parse_result result = ReadTomlDocument(bytes);
    if (result.value) result.value->version = std::stoll(result.value->name.substr(1));
    return result;
  };
  // As on the users' platform.
  options.log_wait = seconds(25);
  options.has_seeds = false;
  options.read_pause = milliseconds(800);
  options.member_read_pause = seconds(15);
  options.join_spread = milliseconds(300);
  return options;
}

class LateVersionTest : public testing::TestWithParam<deployment_size> {
 protected:
  /// Publishes a version in a deployment with the trouble `before`, followed by the trouble
  /// `after`, and expects it in time; once for each of some seeds.
  void Play(
      const std::function<void()>& before, const std::function<void()>& after = [] {}) {
    constexpr std::uint64_t kSeeds = 3;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      SCOPED_TRACE(seed);
      Start(seed);
      before();
      Publish();
      after();
      ExpectInTime();
    }
  }
  void Start(std::uint64_t seed) {
    random_.seed(seed);
    world_ = std::make_unique<runtime_world>(GetParam().daemons, Options(seed));
    newest_ = -1;
    Publish();
    world_->Advance(seconds(12) + RandomTime(seconds(1)));
    ASSERT_EQ(Behind(), 0U);
  }
  void Publish() {
    ++newest_;
    published_at_ = world_->now();
    world_->oracle.OnPublished(newest_, newest_ - 1);
    world_->log.Append("config.trial",
                       "format = 1\nname = \"v" + std::to_string(newest_) +
                           "\"\n[measuring]\nbytes_per_second = 2000\n"
                           "upstream_ms_per_second = 6\n"
                           "[[service]]\nname = \"media\"\ndeadline_ms = 1000\nslots = 2\n"
                           "connections = 50\nqueue_limit = 4\nlong_share = 0.5\n"
                           "[[service.route]]\nmethod = \"POST\"\nprefix = \"/media/\"\n"
                           "class = \"short\"\n",
                       world_->now());
  }
  milliseconds RandomTime(milliseconds limit) {
    return milliseconds(
        std::uniform_int_distribution<milliseconds::rep>(0, limit.count())(random_));
  }
  milliseconds SincePublication() const {
    return std::chrono::duration_cast<milliseconds>(world_->now() - published_at_);
  }
  std::size_t Running() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < world_->size(); ++i) count += world_->IsRunning(i) ? 1 : 0;
    return count;
  }
  /// Running daemons without the newest version.
  std::size_t Behind() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < world_->size(); ++i) {
      if (world_->IsRunning(i) && world_->daemon(i).configuration().version() < newest_) {
        ++count;
      }
    }
    return count;
  }
  /// Expects the newest version at all running daemons within the bound of its publication.
  void ExpectInTime() {
    std::optional<milliseconds> first;
    while (Behind() > 0 && SincePublication() < seconds(30)) {
      world_->Advance(milliseconds(10));
      if (!first && Behind() < Running()) first = SincePublication();
    }
    EXPECT_LE(SincePublication(), GetParam().bound)
        << "first in effect after " << first.value_or(milliseconds(0)).count() << " ms";
    EXPECT_EQ(world_->oracle.Violations(), "");
  }
  /// Every third daemon.
  std::set<std::size_t> Third() const {
    std::set<std::size_t> result;
    for (std::size_t i = 0; i < world_->size(); i += 3) result.insert(i);
    return result;
  }
  void RestartAllInTurn() {
    const milliseconds pause = milliseconds(14'000) / static_cast<int>(world_->size());
    for (std::size_t i = 0; i < world_->size(); ++i) {
      world_->Kill(i);
      world_->Advance(RandomTime(pause));
      world_->Restart(i);
    }
    world_->Advance(seconds(6));
  }
  void SilenceOpenReads() {
    for (std::size_t i = 0; i < world_->size(); ++i) world_->SilenceOpenReads(i);
  }

  std::mt19937_64 random_;
  std::unique_ptr<runtime_world> world_;
  std::int64_t newest_ = -1;
  time_point published_at_;
};

// Guards against a version that is late where only messages of members tell of it.
TEST_P(LateVersionTest, AllConnectionsToTheLogFellSilent) {
  Play([this] { SilenceOpenReads(); });
}

// Guards against renewals that come late everywhere since daemons count their turns from
// different moments.
TEST_P(LateVersionTest, AllConnectionsToTheLogFellSilentAfterRestartsOfAllDaemons) {
  Play([this] {
    RestartAllInTurn();
    SilenceOpenReads();
  });
}

// Guards against a version that is late at daemons that the log turns away.
TEST_P(LateVersionTest, LogTurnsAThirdOfTheDaemonsAway) {
  Play([this] {
    for (const std::size_t each : Third()) world_->CutOffLog(each, true);
  });
}

// Guards against a version that is late at daemons to which the log does not respond.
TEST_P(LateVersionTest, LogIsSilentToAThirdOfTheDaemons) {
  Play([this] {
    for (const std::size_t each : Third()) world_->SetLogSilent(each, true);
  });
}

// Guards against a version that is late because the first peer asked for it does not respond.
TEST_P(LateVersionTest, PeersThatHaveTheVersionFreeze) {
  const auto silence = [this] {
    for (const std::size_t each : Third()) world_->SetLogSilent(each, true);
  };
  Play(silence, [this] {
    world_->Advance(milliseconds(200));
    for (const std::size_t each : Third()) {
      if (each + 1 < world_->size()) world_->Freeze(each + 1, seconds(8));
    }
  });
}

INSTANTIATE_TEST_SUITE_P(Sizes, LateVersionTest,
                         testing::Values(deployment_size{19, seconds(2)},
                                         deployment_size{70, seconds(3)},
                                         deployment_size{294, seconds(3)}));

}  // namespace
}  // namespace bronzeroute::tests
