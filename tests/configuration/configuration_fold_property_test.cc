#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/configuration/configuration_fold.h"
#include "src/configuration/configuration_record.h"
#include "tests/configuration/log_model.h"
#include "tests/configuration/sample_document.h"

namespace bronzeroute {
namespace {

/// A model of operators that publish concurrently, and of daemons that read the log with delays
/// and append snapshots to it.
class fold_world {
 public:
  fold_world() : daemons_(3, configuration_fold("trial")), versions_(3, -1), known_(3, -1) {}

  void Step() {
    const auto who = *rc::gen::inRange<std::size_t>(0, 3);
    switch (*rc::gen::inRange(0, 9)) {
      case 0:  // an operator reads the version it builds on
        known_[who] = expected_version_;
        break;
      case 1:
      case 2: {  // publishes, on a base that may be stale
        const int number = ++documents_;
        last_[who] = EncodePublication("id" + std::to_string(number), known_[who],
                                       SampleDocument(number), std::nullopt);
        Append(last_[who], known_[who], number);
        break;
      }
      case 3:  // repeats an append whose response was lost
        if (last_.contains(who)) Append(last_[who], bases_[last_[who]], numbers_[last_[who]]);
        break;
      case 4:
        log_.Append("junk");
        break;
      case 5:
      case 6:
        Read(who, *rc::gen::inRange<std::size_t>(1, 5));
        break;
      case 7:
        if (daemons_[who].anchored()) {
          log_.Append(EncodeSnapshot(daemons_[who].head(), "trial"));
          newest_anchor_ = std::max(newest_anchor_, daemons_[who].head().as_of);
        }
        break;
      default:  // retention, which the daemons' snapshots keep ahead of
        log_.first = *rc::gen::inRange(log_.first, newest_anchor_ + 2);
    }
  }

  void CheckAllAgree() {
    daemons_.emplace_back("trial");
    versions_.push_back(-1);
    for (std::size_t who = 0; who < daemons_.size(); ++who) {
      const auto limit = *rc::gen::inRange<std::size_t>(1, 9);
      while (daemons_[who].position() < static_cast<std::int64_t>(log_.history.size())) {
        Read(who, limit);
      }
      Read(who, limit);
      RC_ASSERT(daemons_[who].anchored());
      RC_ASSERT(daemons_[who].head().version == expected_version_);
      RC_ASSERT(daemons_[who].head().bytes == expected_bytes_);
    }
  }

 private:
  // The expected result: in append order, each record on the version accepted before it is
  // accepted.
  void Append(const std::string& record, std::int64_t base, int number) {
    bases_[record] = base;
    numbers_[record] = number;
    const std::int64_t offset = log_.Append(record);
    if (base != expected_version_) return;
    expected_version_ = offset;
    expected_bytes_ = SampleDocument(number);
  }

  void Read(std::size_t who, std::size_t limit) {
    configuration_fold& daemon = daemons_[who];
    daemon.Fold(log_.Read(daemon.position(), limit));
    if (!daemon.anchored()) return;
    RC_ASSERT(daemon.head().version >= versions_[who]);
    versions_[who] = daemon.head().version;
  }

  log_model log_;
  std::vector<configuration_fold> daemons_;
  std::vector<std::int64_t> versions_;
  std::vector<std::int64_t> known_;
  std::map<std::size_t, std::string> last_;
  std::map<std::string, std::int64_t> bases_;
  std::map<std::string, int> numbers_;
  std::int64_t newest_anchor_ = -1;
  std::int64_t expected_version_ = -1;
  std::string expected_bytes_;
  int documents_ = 0;
};

// Guards against daemons that end with different versions or with bytes that were not
// published, and against a version that decreases, wherever each of them started to read.
TEST(ConfigurationFoldProperty, EveryReaderEndsWithTheSameVersion) {
  EXPECT_TRUE(rc::check([] {
    fold_world world;
    const int steps = *rc::gen::inRange(0, 80);
    for (int step = 0; step < steps; ++step) world.Step();
    world.CheckAllAgree();
  }));
}

// Guards against a fold whose result depends on how the stream is divided into reads, or on
// repeated and late reads.
TEST(ConfigurationFoldProperty, RepeatedAndLateReadsDoNotChangeTheResult) {
  EXPECT_TRUE(rc::check([] {
    log_model log;
    std::int64_t base = -1;
    for (int number = 0; number < 12; ++number) {
      const auto id = std::to_string(number);
      const std::int64_t offset =
          log.Append(EncodePublication(id, base, SampleDocument(number), std::nullopt));
      if (*rc::gen::arbitrary<bool>()) base = offset;
    }
    configuration_fold in_order("trial");
    in_order.Fold(log.Read(0));
    configuration_fold mixed("trial");
    std::vector<log_read> earlier;
    while (mixed.position() < 12) {
      earlier.push_back(log.Read(mixed.position(), *rc::gen::inRange<std::size_t>(1, 6)));
      mixed.Fold(earlier.back());
      const std::int64_t reached = mixed.position();
      mixed.Fold(earlier[*rc::gen::inRange<std::size_t>(0, earlier.size())]);
      RC_ASSERT(mixed.position() == reached);
      RC_ASSERT(mixed.head().as_of == reached - 1);
    }
    RC_ASSERT(mixed.head().version == in_order.head().version);
    RC_ASSERT(mixed.head().bytes == in_order.head().bytes);
  }));
}

}  // namespace
}  // namespace bronzeroute
