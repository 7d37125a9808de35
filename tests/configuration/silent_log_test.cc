// A whole deployment of configuration systems on a log whose open connections fall silent.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "src/configuration/configuration_system.h"
#include "src/configuration/parse_result.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
// Time between two messages of other daemons, each with the sender's version: the users' load
// makes every daemon send at least 8 requests a second to others, whose responses name it.
constexpr milliseconds kMessagePeriod{125};
// Time for which the log holds a read without new records.
constexpr seconds kWait{25};

parse_result ReadNumber(std::string_view bytes) {
  parse_result result;
  document& read = result.value.emplace();
  if (!absl::SimpleAtoi(absl::string_view(bytes.data(), bytes.size()), &read.version)) {
    result.value.reset();
  }
  return result;
}

/// One daemon's connection to the log and its messages to other daemons.
class simulated_daemon : public log_port, public configuration_peer_port {
 public:
  simulated_daemon(std::uint64_t number, time_point start)
      : system_({.environment = "production",
                 .self = {number},
                 .seed = number,
                 .form = configuration_form::kVersionedDocuments,
                 .read_document = ReadNumber,
                 .read_pause = milliseconds(800),
                 .read_timeout = seconds(33)},
                *this, *this),
        now_(start) {}

  void Append(std::string_view, std::string_view, std::string_view, std::uint64_t) override {}
  void Read(std::string_view, std::int64_t from) override {
    open_from_ = from;
    wait_until_ = now_ + kWait;
    ++reads_;
  }
  void FetchSnapshot(member_id peer, std::int64_t) override { fetching_ = peer; }

  /// The open read never gets a response.
  void LoseRead() { open_from_.reset(); }
  /// One step of the daemon while the log ends at `end` with the version `newest`.
  void Step(time_point now, std::int64_t end, const std::string& newest) {
    now_ = now;
    if (open_from_ && *open_from_ < end) {
      const std::int64_t from = *open_from_;
      open_from_.reset();
      system_.OnLogRead({.stream = "config.production",
                         .first = from,
                         .next = end,
                         .records = {{.offset = end - 1, .data = newest}}},
                        now);
    } else if (open_from_ && now >= wait_until_) {
      open_from_.reset();
      system_.OnLogRead({.stream = "config.production", .next = end, .records = {}}, now);
    }
    system_.Tick(now);
  }
  configuration_system& system() { return system_; }
  std::optional<member_id> TakeFetch() { return std::exchange(fetching_, std::nullopt); }
  int reads() const { return reads_; }

 private:
  configuration_system system_;
  time_point now_;
  std::optional<std::int64_t> open_from_;
  time_point wait_until_;
  std::optional<member_id> fetching_;
  int reads_ = 0;
};

/// Number of daemons, and the time in which a version has to take effect in the users'
/// deployments of about that size.
struct deployment_size {
  std::uint64_t daemons;
  seconds bound;

  friend std::ostream& operator<<(std::ostream& to, const deployment_size& size) {
    return to << size.daemons << " daemons, " << size.bound.count() << " s";
  }
};

class SilentLogTest : public testing::TestWithParam<deployment_size> {
 protected:
  SilentLogTest() {
    std::vector<member_id> members;
    for (std::uint64_t i = 0; i < GetParam().daemons; ++i) {
      daemons_.push_back(std::make_unique<simulated_daemon>(i, now_));
      members.push_back({i});
    }
    for (const auto& each : daemons_) each->system().OnMembers(members);
  }

  void Publish(const std::string& version) {
    newest_ = version;
    ++end_;
  }
  void Run(duration time) {
    for (const time_point until = now_ + time; now_ < until; now_ += kStep) Step();
  }
  std::size_t Behind(std::int64_t version) const {
    std::size_t count = 0;
    for (const auto& each : daemons_) {
      if (each->system().version() != version) ++count;
    }
    return count;
  }

  std::vector<std::unique_ptr<simulated_daemon>> daemons_;
  time_point now_{seconds(100)};

 private:
  void Step() {
    for (const auto& each : daemons_) each->Step(now_, end_, newest_);
    if (now_ >= next_message_) {
      next_message_ = now_ + kMessagePeriod;
      for (const auto& each : daemons_) {
        const std::size_t from = random_() % daemons_.size();
        each->system().OnPeerVersion({from}, daemons_[from]->system().version(), now_);
      }
    }
    for (const auto& each : daemons_) {
      if (const auto peer = each->TakeFetch()) {
        const auto record =
            daemons_[peer->value]->system().SnapshotFor(each->system().version());
        each->system().OnSnapshot(*peer, record, now_);
      }
    }
  }

  std::mt19937_64 random_{1};
  std::int64_t end_ = 0;
  std::string newest_;
  time_point next_message_;
};

// Guards against a version that takes effect late everywhere, because the version before it
// made all daemons start their waiting reads, and so the renewals of these, at the same moment.
TEST_P(SilentLogTest, VersionAfterASilenceTakesEffectInTime) {
  Publish("7");
  Run(seconds(2));
  ASSERT_EQ(Behind(7), 0U);
  for (const auto& each : daemons_) each->LoseRead();
  Publish("9");
  Run(GetParam().bound);
  EXPECT_EQ(Behind(9), 0U) << "daemons without version 9 of " << daemons_.size();
}

// Guards against renewals that a busy operator postpones again and again.
TEST_P(SilentLogTest, VersionAfterASilenceTakesEffectInTimeWhileOthersWerePublished) {
  std::int64_t version = 1;
  for (; version < 20; ++version) {
    Publish(std::to_string(version));
    Run(milliseconds(1'500));
    ASSERT_EQ(Behind(version), 0U);
  }
  for (const auto& each : daemons_) each->LoseRead();
  Publish(std::to_string(version));
  Run(GetParam().bound);
  EXPECT_EQ(Behind(version), 0U) << "daemons without the version of " << daemons_.size();
}

// Guards against renewals that multiply with the number of daemons, since the log limits reads.
TEST_P(SilentLogTest, RenewalsStayFewInACalm) {
  Publish("7");
  Run(seconds(2));
  const auto reads = [this] {
    int count = 0;
    for (const auto& each : daemons_) count += each->reads();
    return count;
  };
  const int before = reads();
  constexpr seconds kCalm{60};
  Run(kCalm);
  // One renewal in 300 ms over all daemons, beside the reads that end after their wait.
  constexpr int kRenewals = 60'000 / 300;
  const int ended = static_cast<int>(daemons_.size()) * static_cast<int>(kCalm / kWait + 1);
  EXPECT_LE(reads() - before, kRenewals * 5 / 4 + ended);
}

INSTANTIATE_TEST_SUITE_P(Sizes, SilentLogTest,
                         testing::Values(deployment_size{5, seconds(2)},
                                         deployment_size{19, seconds(2)},
                                         deployment_size{59, seconds(3)},
                                         deployment_size{294, seconds(3)}));

}  // namespace
}  // namespace bronzeroute
