#include "src/configuration/version_fetcher.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include "src/configuration/configuration_peer_port.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;

// Time in which the log usually supplies a version that a peer has, a renewed read included.
constexpr duration kGrace = milliseconds(500);
constexpr duration kGraceWithoutLog = milliseconds(100);
// Keeps the daemons that learn of a version at the same moment from asking at the same moment.
constexpr duration kSpread = milliseconds(200);
// Time after which the next peer is asked beside those that have not responded: eight round
// trips between regions. Together with the grace, five silent peers fit into the 2 s in which a
// version has to take effect.
constexpr duration kNextPeerDelay = milliseconds(200);
// A version that so many fetches did not bring is one that this build cannot read, or its peers
// are unreachable. It is then asked for less often.
constexpr std::uint32_t kQuickFailures = 16;
constexpr duration kLongDelay = std::chrono::seconds(2);
// After a peer supplied a version below the highest one reported.
constexpr duration kNextVersionDelay = milliseconds(250);
constexpr duration kDeadline = milliseconds(1500);
constexpr std::size_t kMaxOpen = 6;
constexpr std::size_t kMaxSources = 16;

}  // namespace

version_fetcher::version_fetcher(configuration_peer_port& peers, std::uint64_t seed)
    : peers_(peers), random_(seed) {}

bool version_fetcher::OnPeerVersion(member_id peer, std::int64_t version, bool log_fails,
                                    time_point now) {
  const bool is_new = version > highest_;
  if (is_new) {
    // The grace is that of a version. It does not begin anew when all its peers have failed.
    if (sources_.empty()) {
      next_fetch_ = now + (log_fails ? kGraceWithoutLog : kGrace) + Spread(kSpread);
    }
    failures_in_a_row_ = 0;
    highest_ = version;
    events_.push_back({configuration_event_kind::kNewerVersionReported, peer, version});
  }
  const auto known = std::ranges::find(sources_, peer, &source::peer);
  if (known != sources_.end()) {
    known->version = std::max(known->version, version);
  } else if (sources_.size() < kMaxSources) {
    sources_.push_back({peer, version});
  } else {
    const auto lowest = std::ranges::min_element(sources_, {}, &source::version);
    if (lowest->version < version) *lowest = {peer, version};
  }
  return is_new;
}

void version_fetcher::OnResponse(member_id peer, time_point now) {
  std::erase_if(open_, [peer](const open_fetch& each) { return each.from.peer == peer; });
  failures_in_a_row_ = 0;
  next_fetch_ = now + kNextVersionDelay + Spread(kSpread);
}

void version_fetcher::OnFailed(member_id peer, time_point now) {
  const auto failed =
      std::ranges::find(open_, peer, [](const open_fetch& each) { return each.from.peer; });
  if (failed == open_.end()) return;
  ++failed_fetches_;
  ++failures_in_a_row_;
  events_.push_back({configuration_event_kind::kFetchFailed, peer, failed->from.version});
  open_.erase(failed);
  // With the next message of the peer it is asked again.
  std::erase_if(sources_, [peer](const source& each) { return each.peer == peer; });
  if (failures_in_a_row_ < kQuickFailures) {
    next_fetch_ = std::min(next_fetch_, now + Spread(kSpread));
  }
}

void version_fetcher::Drop(std::int64_t version) {
  std::erase_if(sources_, [version](const source& each) { return each.version <= version; });
}

void version_fetcher::Tick(std::int64_t known, time_point now) {
  std::vector<member_id> late;
  for (const open_fetch& each : open_) {
    if (each.deadline <= now) late.push_back(each.from.peer);
  }
  for (const member_id peer : late) OnFailed(peer, now);
  if (now < next_fetch_ || open_.size() >= kMaxOpen) return;
  std::vector<source> candidates;
  std::ranges::copy_if(sources_, std::back_inserter(candidates),
                       [this](const source& each) { return !IsOpen(each.peer); });
  if (candidates.empty()) return;
  const std::int64_t highest =
      std::ranges::max_element(candidates, {}, &source::version)->version;
  std::erase_if(candidates, [highest](const source& each) { return each.version < highest; });
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const source& chosen = candidates[pick(random_)];
  open_.push_back({chosen, now + kDeadline});
  next_fetch_ = now + NextDelay();
  ++fetches_;
  peers_.FetchSnapshot(chosen.peer, known);
}

bool version_fetcher::IsOpen(member_id peer) const {
  return std::ranges::any_of(open_,
                             [peer](const open_fetch& each) { return each.from.peer == peer; });
}

duration version_fetcher::NextDelay() const {
  return failures_in_a_row_ < kQuickFailures ? kNextPeerDelay : kLongDelay;
}

duration version_fetcher::Spread(duration limit) {
  std::uniform_int_distribution<duration::rep> spread(0, limit.count());
  return duration(spread(random_));
}

}  // namespace bronzeroute
