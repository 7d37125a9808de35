#include "src/membership/membership_system.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "absl/strings/str_cat.h"
#include "proto/membership.pb.h"
#include "src/base/concat.h"
#include "src/measuring/budget_account.h"
#include "src/membership/datagram_port.h"
#include "src/membership/member_codec.h"
#include "src/membership/usage_codec.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"

namespace bronzeroute {
namespace {

// Key of a member's records in the log.
std::string MemberKey(member_id id) { return Concat("member-", absl::Hex(id.value)); }

using proto::MemberDatagram;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDatagramLimit = 1200;
// IP and UDP headers, which are charged to the budget as well.
constexpr std::size_t kHeaderBytes = 28;
// Tag and length of a record in a datagram.
constexpr std::size_t kRecordOverhead = 3;
// Space reserved for one record with details; most take about 95 bytes.
constexpr std::size_t kDetailedRecord = 150;
constexpr std::size_t kMaxRelays = 64;
// Records with details that fit into one datagram.
constexpr int kMaxRequestedDetails = 12;
// Records on a message that the budget refused but that is sent anyway. Suspicions and
// refutations must get through even then, or a healthy suspect would be declared dead.
constexpr std::size_t kMaxForcedChanges = 2;
constexpr std::uint32_t kMaxRequestsPerMember = 5;
constexpr duration kReadTimeout = seconds(30);
// Time for which an end of evacuations is sent. It bridges restarts and short partitions; a
// peer that sends an older set later is told again.
constexpr duration kEmptySetSent = seconds(60);
// Bounds of a set of evacuations in a datagram. Deployments have a few zones; a larger set
// would crowd out the records and is left to the log.
constexpr std::size_t kMaxSentZones = 16;
// Eras and offsets above it are malformed.
constexpr std::uint64_t kMaxPosition = std::uint64_t{1} << 62;
constexpr std::size_t kMaxSentZoneBytes = 384;

distance DistanceBetween(const member_row& a, const member_row& b) {
  if (a.region != b.region) return distance::kOtherRegion;
  return a.availability_zone == b.availability_zone ? distance::kSameZone
                                                    : distance::kSameRegion;
}

std::size_t Index(std::ptrdiff_t index) { return static_cast<std::size_t>(index); }

}  // namespace

membership_system::membership_system(member_row self, membership_settings settings,
                                     datagram_port& datagrams, log_port& log,
                                     budget_account& budget, std::uint64_t seed, time_point now)
    : settings_(std::move(settings)),
      datagrams_(datagrams),
      log_(log),
      budget_(budget),
      random_(seed),
      table_(std::move(self), 1),
      last_observed_(now),
      join_at_(now + Jittered(duration::zero(), settings_.join_spread)),
      next_dead_probe_(now + Jittered(duration::zero(), settings_.dead_probe_interval)),
      next_seed_(now),
      seed_backoff_(seconds(1)),
      next_pull_(now),
      forced_acks_due_(now),
      next_details_request_(now),
      next_push_(now),
      unconfirmed_until_(now),
      started_(now),
      next_read_(now),
      read_backoff_(settings_.initial_backoff),
      retention_(settings_.assumed_retention),
      token_(settings_.first_token),
      append_backoff_(settings_.initial_backoff) {}

// --- time and the own incarnation

void membership_system::Observe(time_point now) {
  const duration gap = now - last_observed_;
  last_observed_ = std::max(last_observed_, now);
  if (gap <= settings_.tick_gap_tolerance) return;
  // Replies may have arrived while this process was not scheduled, so the gap extends all
  // time-outs of peers.
  if (probe_) {
    probe_->indirect_at += gap;
    probe_->failed_at += gap;
  }
  for (std::size_t i = 1; i < table_.size(); ++i) {
    if (table_.row(i).state == member_state::kSuspect) table_.track(i).deadline += gap;
  }
  if (upstream_) upstream_->gone_at += gap;
  unconfirmed_until_ += gap;
  append_timeout_ += gap;
  read_timeout_ += gap;
  if (gap > settings_.freeze_threshold) OnResume(gap);
}

void membership_system::OnResume(duration freeze) {
  probe_.reset();
  ++table_.Mutable(0).refutation;
  table_.Refresh(0);
  MarkChanged(0, false, false);
  Report(membership_event_kind::kResumedAfterFreeze, 0,
         std::chrono::duration_cast<milliseconds>(freeze).count());
}

void membership_system::Join(time_point now) {
  joined_ = true;
  next_probe_ = now + Jittered(duration::zero(), settings_.probe_interval);
  forced_probe_at_ = now + settings_.max_probe_interval;
  MarkChanged(0, true, false);
  // The upstream announces itself within one interval; waiting for it avoids a second record.
  const bool waits = !upstream_ && departures_recorded();
  next_append_ = waits ? now + settings_.announcement_interval : now;
}

void membership_system::BumpIncarnation(incarnation_id above, time_point now) {
  member_row& self = table_.Mutable(0);
  self.incarnation.value = above.value + 1;
  self.refutation = 0;
  table_.Refresh(0);
  Report(membership_event_kind::kOwnIncarnationBumped, 0);
  if (!joined_) return;
  MarkChanged(0, true, false);
  next_append_ = std::min(next_append_, now + Jittered(duration::zero(), seconds(1)));
}

void membership_system::SetConfigVersion(std::int64_t version) {
  // A member that has just started is behind the others.
  if (joined_ && self().config_version >= 0 && version > self().config_version) {
    version_pushes_left_ = settings_.version_pushes;
  }
  table_.Mutable(0).config_version = version;
  highest_version_ = std::max(highest_version_, version);
}

void membership_system::SetEvacuations(const evacuation_set& known, time_point now) {
  if (known.zones() != evacuations_.zones()) {
    if (known.zones().empty()) evacuations_sent_until_ = now + kEmptySetSent;
    push_due_ = joined_;
  }
  evacuations_ = known;
}

auto membership_system::TakeEvacuations() -> std::optional<received_evacuations> {
  return std::exchange(received_evacuations_, std::nullopt);
}

void membership_system::ReadEvacuations(const MemberDatagram& message, time_point now) {
  if (message.evacuation_offset() == 0) return;
  if (message.evacuation_offset() > kMaxPosition || message.evacuation_era() > kMaxPosition ||
      message.evacuated_zones_size() > static_cast<int>(kMaxSentZones)) {
    ++malformed_datagrams_;
    return;
  }
  received_evacuations received;
  received.position = {static_cast<std::int64_t>(message.evacuation_era()),
                       static_cast<std::int64_t>(message.evacuation_offset())};
  received.zones.assign(message.evacuated_zones().begin(), message.evacuated_zones().end());
  if (received.position <= evacuations_.position()) {
    // The peer has missed the end of an evacuation.
    const bool is_equal = std::ranges::equal(received.zones, evacuations_.zones());
    if (!is_equal) evacuations_sent_until_ = now + kEmptySetSent;
    return;
  }
  if (received_evacuations_ && received.position <= received_evacuations_->position) return;
  received_evacuations_ = std::move(received);
}

std::vector<membership_event> membership_system::TakeEvents() {
  return std::exchange(events_, {});
}

void membership_system::SendUsage(const usage_message& message) {
  const member_row* const peer = Find(message.peer);
  if (peer == nullptr) return;
  MemberDatagram datagram;
  WriteUsageMessage(message, &datagram);
  datagram.set_sender(self().id.value);
  datagram.set_sender_incarnation(self().incarnation.value);
  datagram.set_sender_refutation(self().refutation);
  datagram.set_config_version(self().config_version);
  datagrams_.SendDatagram(peer->membership_address, datagram.SerializeAsString());
}

std::vector<usage_message> membership_system::TakeUsageMessages() {
  return std::exchange(usage_messages_, {});
}

void membership_system::OnAnnouncement(upstream_announcement announcement, time_point now) {
  Observe(now);
  const bool is_new = !upstream_ || upstream_->service != announcement.service;
  upstream_ = std::move(announcement);
  upstream_->gone_at = now + settings_.upstream_timeout;
  if (!is_new) return;
  table_.Mutable(0).service = upstream_->service;
  ChangeOwnDetails(now);
  Report(membership_event_kind::kUpstreamAnnounced, 0);
}

void membership_system::RecordDeparture(const upstream_departure& departure, time_point now) {
  Observe(now);
  if (AddDeparture(table_.Mutable(0).departures, departure)) {
    ++table_.track(0).details_version;
    departures_version_ = table_.track(0).details_version;
    table_.Refresh(0);
    if (joined_) MarkChanged(0, true, true);
  }
  // The upstream waits for the acknowledgement, so neither a jitter nor a backoff applies.
  if (joined_ && !departures_recorded()) next_append_ = std::min(next_append_, now);
}

std::vector<upstream_departure> membership_system::TakePastDepartures() {
  return std::exchange(past_departures_, {});
}

void membership_system::LearnDepartures(const member_row& own, time_point now) {
  bool is_changed = false;
  for (const upstream_departure& each : own.departures) {
    if (!AddDeparture(table_.Mutable(0).departures, each)) continue;
    past_departures_.push_back(each);
    is_changed = true;
  }
  // The records of this incarnation have to carry them too: they replace the earlier ones.
  if (is_changed) ChangeOwnDetails(now);
}

void membership_system::SendPastDepartures(member_id restarted, std::string_view address,
                                           time_point now) {
  const std::ptrdiff_t found = table_.IndexOf(restarted);
  if (found <= 0 || table_.row(Index(found)).departures.empty()) return;
  MemberDatagram message;
  message.set_kind(MemberDatagram::GOSSIP);
  FillSender(message, false);
  std::size_t size = message.ByteSizeLong();
  AddRecord(Index(found), true, message, size);
  Send(restarted, address, message, size, charge_purpose::kMembershipChange, urgency::kForced,
       now);
}

void membership_system::ChangeOwnDetails(time_point now) {
  ++table_.track(0).details_version;
  table_.Refresh(0);
  if (!joined_) return;
  MarkChanged(0, true, false);
  // The newest record in the log has to name the upstream's service. A pending append of the
  // join record already includes it.
  next_append_ =
      std::min(next_append_, now + Jittered(duration::zero(), settings_.join_spread));
}

void membership_system::Drain(time_point now) {
  Observe(now);
  if (self().draining) return;
  table_.Mutable(0).draining = true;
  table_.Refresh(0);
  MarkChanged(0, false, true);
  Report(membership_event_kind::kDraining, 0);
}

void membership_system::EndDrain(time_point now) {
  Observe(now);
  if (!self().draining || leaving_) return;
  table_.Mutable(0).draining = false;
  // Within one incarnation, only a record with a higher refutation counter clears the draining
  // flag at peers.
  ++table_.Mutable(0).refutation;
  table_.Refresh(0);
  MarkChanged(0, false, true);
}

void membership_system::Leave(time_point now) {
  Observe(now);
  if (leaving_) return;
  leaving_ = true;
  table_.Mutable(0).draining = true;
  table_.Mutable(0).state = member_state::kLeft;
  table_.Refresh(0);
  probe_.reset();
  MarkChanged(0, false, true);
  Report(membership_event_kind::kLeft, 0);
  append_backoff_ = settings_.initial_backoff;
  next_append_ = now;
}

void membership_system::Tick(time_point now) {
  Observe(now);
  if (!joined_ && !leaving_ && now >= join_at_ &&
      (has_read_log_ || log_unavailable_ || now >= join_at_ + seconds(2))) {
    Join(now);
  }
  if (upstream_ && now >= upstream_->gone_at) {
    upstream_.reset();
    table_.Mutable(0).service.clear();
    Report(membership_event_kind::kUpstreamGone, 0);
    ChangeOwnDetails(now);
  }
  if (joined_ && !leaving_) {
    TickProbe(now);
    TickDeadProbe(now);
  }
  if (!leaving_) TickSeeds(now);
  SendDetailsRequests(now);
  TickPush(now);
  if (anti_entropy_due_ && now >= next_pull_) TickPull(now);
  if (now >= next_expiry_) TickExpiry(now);
  TickLog(now);
  TickAppend(now);
}

// --- probing

void membership_system::TickProbe(time_point now) {
  if (probe_ && !probe_->indirect_sent && now >= probe_->indirect_at) SendIndirectProbes(now);
  if (probe_ && now >= probe_->failed_at) {
    const std::ptrdiff_t found = table_.IndexOf(probe_->target);
    const incarnation_id incarnation = probe_->incarnation;
    probe_.reset();
    if (found > 0 && table_.row(Index(found)).incarnation == incarnation &&
        table_.row(Index(found)).state == member_state::kAlive) {
      const std::size_t index = Index(found);
      table_.Mutable(index).state = member_state::kSuspect;
      AfterStateChange(index, now);
      MarkChanged(index, false, false);
      // The suspected member is the first to receive the suspicion, so that it can refute
      // early.
      MemberDatagram message;
      message.set_kind(MemberDatagram::PING);
      message.set_sequence(++sequence_);
      message.set_target(table_.row(index).id.value);
      FillSender(message, false);
      std::size_t size = message.ByteSizeLong();
      AddRecord(index, false, message, size);
      Send(table_.row(index).id, table_.row(index).membership_address, message, size,
           charge_purpose::kMembershipProbe, urgency::kForced, now);
    }
  }
  if (now >= next_probe_) StartProbe(now);
}

void membership_system::StartProbe(time_point now) {
  next_probe_ =
      now + Jittered(settings_.probe_interval * 9 / 10, settings_.probe_interval * 11 / 10);
  const std::ptrdiff_t found = RandomPeer(member_id{});
  if (found < 0) return;
  const std::size_t index = Index(found);
  const member_row& target = table_.row(index);
  MemberDatagram message;
  message.set_kind(MemberDatagram::PING);
  message.set_sequence(++sequence_);
  message.set_target(target.id.value);
  FillSender(message, true);
  std::size_t size = message.ByteSizeLong();
  if (target.state != member_state::kAlive && !table_.track(index).unconfirmed) {
    AddRecord(index, false, message, size);
  }
  // An empty budget lengthens the interval, but only up to max_probe_interval.
  const urgency force = now >= forced_probe_at_ ? urgency::kForced : urgency::kBudgeted;
  if (!Send(target.id, target.membership_address, message, size,
            charge_purpose::kMembershipProbe, force, now)) {
    return;
  }
  forced_probe_at_ = now + settings_.max_probe_interval;
  probe_ = probe{.target = target.id,
                 .incarnation = target.incarnation,
                 .sequence = sequence_,
                 .indirect_at = now + settings_.indirect_probe_delay,
                 .failed_at = now + settings_.probe_timeout};
}

void membership_system::SendIndirectProbes(time_point now) {
  probe_->indirect_sent = true;
  const std::ptrdiff_t found = table_.IndexOf(probe_->target);
  if (found < 0) return;
  const std::string target_address = table_.row(Index(found)).membership_address;
  std::vector<std::ptrdiff_t> chosen;
  // Additional draws make up for duplicates.
  for (std::uint32_t i = 0;
       i < 3 * settings_.indirect_probe_peers && chosen.size() < settings_.indirect_probe_peers;
       ++i) {
    const std::ptrdiff_t peer = RandomPeer(probe_->target);
    if (peer >= 0 && std::ranges::find(chosen, peer) == chosen.end()) chosen.push_back(peer);
  }
  for (const std::ptrdiff_t peer : chosen) {
    MemberDatagram message;
    message.set_kind(MemberDatagram::PING_REQUEST);
    message.set_sequence(probe_->sequence);
    message.set_target(probe_->target.value);
    message.set_target_address(target_address);
    FillSender(message, false);
    // Sent even if the budget refuses it: otherwise one lost datagram would cause a false
    // suspicion.
    Send(table_.row(Index(peer)).id, table_.row(Index(peer)).membership_address, message,
         message.ByteSizeLong(), charge_purpose::kMembershipProbe, urgency::kForced, now);
  }
}

void membership_system::TickDeadProbe(time_point now) {
  if (now < next_dead_probe_) return;
  // A restarted member appends to the log; while the log is unavailable, only probes detect it.
  const duration period =
      log_unavailable_ ? settings_.log_outage_probe_interval : settings_.dead_probe_interval;
  next_dead_probe_ = now + Jittered(period * 9 / 10, period);
  std::vector<std::size_t> dead;
  std::vector<std::size_t> reported_alive;
  for (std::size_t i = 1; i < table_.size(); ++i) {
    if (table_.row(i).state != member_state::kDead) continue;
    (table_.track(i).reported_alive ? reported_alive : dead).push_back(i);
  }
  if (dead.empty() && reported_alive.empty()) return;
  if (reported_alive.size() > 1) {
    next_dead_probe_ = now + Jittered(milliseconds(500), seconds(1));
  }
  const std::vector<std::size_t>& from = reported_alive.empty() ? dead : reported_alive;
  const std::size_t index = from[Random(from.size())];
  table_.track(index).reported_alive = false;
  MemberDatagram message;
  message.set_kind(MemberDatagram::PING);
  message.set_sequence(++sequence_);
  message.set_target(table_.row(index).id.value);
  FillSender(message, true);
  std::size_t size = message.ByteSizeLong();
  AddRecord(index, false, message, size);
  Send(table_.row(index).id, table_.row(index).membership_address, message, size,
       charge_purpose::kMembershipProbe, urgency::kBudgeted, now);
}

void membership_system::TickSeeds(time_point now) {
  if (now < next_seed_ || settings_.seeds.empty()) return;
  if (table_.live() <= 1) {
    const duration wait = log_unavailable_
                              ? std::min(seed_backoff_, settings_.log_outage_probe_interval)
                              : seed_backoff_;
    next_seed_ = now + Jittered(wait / 2, wait);
    seed_backoff_ = std::min<duration>(seed_backoff_ * 2, seconds(8));
  } else {
    seed_backoff_ = seconds(1);
    const duration wait =
        log_unavailable_ ? settings_.log_outage_probe_interval : settings_.seed_check_interval;
    next_seed_ = now + Jittered(wait * 4 / 5, wait);
    if (!log_unavailable_) return;
  }
  MemberDatagram message;
  message.set_kind(MemberDatagram::PING);
  message.set_sequence(++sequence_);
  FillSender(message, true);
  std::size_t size = message.ByteSizeLong();
  AddRecord(0, true, message, size);
  Send(member_id{}, settings_.seeds[Random(settings_.seeds.size())], message, size,
       charge_purpose::kMembershipProbe, urgency::kPlain, now);
}

void membership_system::SendDetailsRequests(time_point now) {
  if (details_requests_.empty() || now < next_details_request_) return;
  next_details_request_ = now + milliseconds(200);
  MemberDatagram message;
  std::string address;
  member_id details_source;
  for (auto it = details_requests_.begin(); it != details_requests_.end();) {
    details_request& entry = it->second;
    const bool is_included = entry.request_at <= now &&
                             message.wanted_size() < kMaxRequestedDetails &&
                             (address.empty() || entry.address == address);
    if (!is_included) {
      ++it;
      continue;
    }
    if (entry.requests_sent == kMaxRequestsPerMember) {
      it = details_requests_.erase(it);
      continue;
    }
    address = entry.address;
    details_source = entry.from;
    ++entry.requests_sent;
    entry.request_at = now + seconds(1);
    message.add_wanted(it->first);
    ++it;
  }
  if (message.wanted_size() == 0) return;
  message.set_kind(MemberDatagram::GOSSIP);
  FillSender(message, false);
  Send(details_source, address, message, message.ByteSizeLong(),
       charge_purpose::kMembershipChange, urgency::kPlain, now);
}

void membership_system::TickPush(time_point now) {
  if ((!push_due_ && version_pushes_left_ == 0) || now < next_push_) return;
  next_push_ = now + settings_.push_interval;
  for (std::uint32_t i = 0; i < settings_.push_fanout; ++i) {
    const std::ptrdiff_t peer = RandomPeer(member_id{});
    if (peer < 0) break;
    MemberDatagram message;
    message.set_kind(MemberDatagram::GOSSIP);
    FillSender(message, false);
    std::size_t size = message.ByteSizeLong();
    for (const member_id id : changed_) {
      const std::ptrdiff_t index = table_.IndexOf(id);
      if (index >= 0 && table_.track(Index(index)).urgent && size < ChangeLimit()) {
        AddRecord(Index(index), false, message, size);
      }
    }
    // Urgent changes alone make a small message, which a nearly empty budget still allows.
    // Otherwise the push is repeated after the interval.
    if (!Send(table_.row(Index(peer)).id, table_.row(Index(peer)).membership_address, message,
              size, charge_purpose::kMembershipChange, urgency::kPlain, now)) {
      return;
    }
  }
  push_due_ = false;
  // Each message names the version in effect.
  if (version_pushes_left_ > 0) --version_pushes_left_;
  for (const member_id id : changed_) {
    const std::ptrdiff_t index = table_.IndexOf(id);
    if (index >= 0) table_.track(Index(index)).urgent = false;
  }
}

void membership_system::TickPull(time_point now) {
  next_pull_ = now + Jittered(settings_.anti_entropy_interval * 3 / 4,
                              settings_.anti_entropy_interval * 5 / 4);
  const std::ptrdiff_t peer = RandomPeer(member_id{});
  if (peer < 0) return;
  MemberDatagram message;
  message.set_kind(MemberDatagram::PULL);
  message.set_after(pull_cursor_);
  FillSender(message, true);
  Send(table_.row(Index(peer)).id, table_.row(Index(peer)).membership_address, message,
       message.ByteSizeLong(), charge_purpose::kMembershipChange, urgency::kPlain, now);
}

void membership_system::TickExpiry(time_point now) {
  next_expiry_ = time_point::max();
  for (std::size_t i = table_.size() - 1; i > 0; --i) {
    member_track& track = table_.track(i);
    if (track.deadline <= now) {
      if (table_.row(i).state == member_state::kSuspect) {
        const bool unconfirmed = track.unconfirmed;
        track.unconfirmed = false;
        table_.Mutable(i).state = member_state::kDead;
        AfterStateChange(i, now);
        if (!unconfirmed) MarkChanged(i, false, false);
      } else {
        Report(membership_event_kind::kForgotten, i);
        table_.Erase(i);
        continue;
      }
    }
    next_expiry_ = std::min(next_expiry_, track.deadline);
  }
}

// --- datagrams

void membership_system::OnDatagram(std::string_view from, std::string_view payload,
                                   time_point now) {
  Observe(now);
  MemberDatagram message;
  if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())) ||
      message.sender() == 0 || message.kind() == MemberDatagram::NONE) {
    ++malformed_datagrams_;
    return;
  }
  const member_id sender{message.sender()};
  if (sender == self().id) {
    if (message.sender_incarnation() > self().incarnation.value) {
      BumpIncarnation(incarnation_id{message.sender_incarnation()}, now);
    }
    return;
  }
  const member_row* row = table_.Find(sender);
  if (row != nullptr && message.sender_incarnation() < row->incarnation.value) {
    ++stale_datagrams_;
    SendNewerIncarnation(sender, from, now);
    return;
  }
  ProcessSender(from, message, now);
  ReadEvacuations(message, now);
  const bool pass_on = message.kind() != MemberDatagram::PAGE;
  for (const proto::MemberRecord& record : message.records()) {
    if (const std::optional<member_update> update = ReadMemberRecord(record)) {
      ApplyRecord(*update, sender, from, pass_on, now);
    }
  }
  if (message.live() > 0) {
    anti_entropy_due_ = message.live() > table_.live() + settings_.anti_entropy_threshold;
  }
  switch (message.kind()) {
    case MemberDatagram::PING:
      OnPing(from, message, now);
      break;
    case MemberDatagram::PING_REQUEST:
      OnPingRequest(from, message, now);
      break;
    case MemberDatagram::PULL:
      OnPull(from, message, now);
      break;
    case MemberDatagram::PAGE:
      // An empty page marks the end of the peer's table; the next pull starts at the beginning.
      pull_cursor_ =
          message.records().empty() ? 0 : message.records(message.records_size() - 1).id();
      break;
    case MemberDatagram::ACK:
      OnAck(message, now);
      CompareDigests(message, now);
      break;
    case MemberDatagram::INDIRECT_ACK:
      if (probe_ && probe_->sequence == message.sequence() &&
          probe_->target.value == message.target()) {
        probe_.reset();
      }
      break;
    default:
      // A reply needs the row of the sender for its address.
      if (auto usage = ReadUsageMessage(message); usage && table_.Find(sender) != nullptr) {
        usage_messages_.push_back(*std::move(usage));
      }
      break;
  }
  if (message.kind() != MemberDatagram::PING && message.wanted_size() > 0) {
    MemberDatagram reply;
    reply.set_kind(MemberDatagram::GOSSIP);
    FillSender(reply, false);
    std::size_t size = reply.ByteSizeLong();
    AddRequestedDetails(message, reply, size);
    if (reply.records_size() > 0) {
      Send(member_id{message.sender()}, from, reply, size, charge_purpose::kMembershipChange,
           urgency::kPlain, now);
    }
  }
}

void membership_system::SendNewerIncarnation(member_id sender, std::string_view from,
                                             time_point now) {
  MemberDatagram message;
  message.set_kind(MemberDatagram::PING);
  message.set_sequence(++sequence_);
  message.set_target(sender.value);
  FillSender(message, false);
  std::size_t size = message.ByteSizeLong();
  AddRecord(Index(table_.IndexOf(sender)), false, message, size);
  Send(sender, from, message, size, charge_purpose::kMembershipProbe, urgency::kBudgeted, now);
}

void membership_system::ProcessSender(std::string_view from, const MemberDatagram& message,
                                      time_point now) {
  const member_id sender{message.sender()};
  const std::ptrdiff_t found = table_.IndexOf(sender);
  if (found < 0 || message.sender_incarnation() > table_.row(Index(found)).incarnation.value) {
    SendPastDepartures(sender, from, now);
    RequestDetails(sender, sender, from, now);
    return;
  }
  const std::size_t index = Index(found);
  member_row& row = table_.Mutable(index);
  if (row.state == member_state::kLeft) return;
  // The header comes from the sender itself, which is therefore running, so it counts as a
  // record with state alive.
  member_update update = table_.Update(index, false);
  update.row.state = member_state::kAlive;
  update.row.refutation = message.sender_refutation();
  update.row.draining = update.row.draining || message.hint().draining();
  const merge_result result = table_.Merge(update);
  AfterMerge(index, result, true, now);
  if (table_.track(index).unconfirmed) Confirm(index);
  row.config_version = std::max(row.config_version, message.config_version());
  if (row.config_version > highest_version_) {
    highest_version_ = row.config_version;
    Report(membership_event_kind::kNewerConfiguration, index, row.config_version);
  }
  if (message.has_hint() && message.hint().sequence() >= row.hint.sequence) {
    row.hint = ReadLoadHint(message.hint());
    row.hint_received = now;
  }
}

void membership_system::OnPing(std::string_view from, const MemberDatagram& message,
                               time_point now) {
  if (message.target() != 0 && message.target() != self().id.value) return;
  MemberDatagram reply;
  reply.set_kind(MemberDatagram::ACK);
  reply.set_sequence(message.sequence());
  const bool with_digests = message.bucket_digests_size() > 0;
  FillSender(reply, with_digests);
  std::size_t size = reply.ByteSizeLong();
  const std::ptrdiff_t sender = table_.IndexOf(member_id{message.sender()});
  if (sender > 0 && table_.row(Index(sender)).state != member_state::kAlive &&
      table_.row(Index(sender)).incarnation.value == message.sender_incarnation()) {
    AddRecord(Index(sender), false, reply, size);
  }
  AddRequestedDetails(message, reply, size);
  if (message.target() == 0) {
    // Probe of a seed by a starting process, which repeats it if the budget refuses the reply.
    AddIntroduction(reply, size);
    Send(member_id{message.sender()}, from, reply, size, charge_purpose::kMembershipProbe,
         urgency::kPlain, now);
    return;
  }
  if (with_digests) {
    // Half of the datagram is reserved for piggybacked changes.
    AddBucketRecords(CompareDigests(message, now), reply, size);
  }
  const bool on_credit = forced_acks_due_ <= now + seconds(1);
  forced_acks_due_ = std::max(forced_acks_due_, now) +
                     (on_credit ? settings_.forced_ack_interval : duration::zero());
  Send(member_id{message.sender()}, from, reply, size, charge_purpose::kMembershipProbe,
       on_credit ? urgency::kForced : urgency::kBudgeted, now);
}

void membership_system::OnPull(std::string_view from, const MemberDatagram& message,
                               time_point now) {
  MemberDatagram reply;
  reply.set_kind(MemberDatagram::PAGE);
  FillSender(reply, false);
  reply.set_live(static_cast<std::uint32_t>(table_.live()));
  std::size_t size = reply.ByteSizeLong();
  AddPage(CompareDigests(message, now), message.after(), reply, size);
  Send(member_id{message.sender()}, from, reply, size, charge_purpose::kMembershipChange,
       urgency::kPlain, now);
}

void membership_system::AddIntroduction(MemberDatagram& message, std::size_t& size) {
  constexpr int kIntroducedMembers = 4;
  AddRecord(0, true, message, size);
  for (int i = 0; i < kIntroducedMembers; ++i) {
    const std::ptrdiff_t peer = RandomPeer(member_id{});
    if (peer > 0 && !table_.track(Index(peer)).unconfirmed) {
      AddRecord(Index(peer), true, message, size);
    }
  }
}

void membership_system::OnPingRequest(std::string_view from, const MemberDatagram& message,
                                      time_point now) {
  if (message.target_address().empty()) return;
  std::erase_if(relays_, [now](const relay& entry) { return entry.until <= now; });
  if (relays_.size() >= kMaxRelays) return;
  MemberDatagram ping;
  ping.set_kind(MemberDatagram::PING);
  ping.set_sequence(++sequence_);
  ping.set_target(message.target());
  FillSender(ping, false);
  if (!Send(member_id{message.target()}, message.target_address(), ping, ping.ByteSizeLong(),
            charge_purpose::kMembershipProbe, urgency::kForced, now)) {
    return;
  }
  relays_.push_back(relay{.sequence = sequence_,
                          .origin = std::string(from),
                          .origin_id = member_id{message.sender()},
                          .origin_sequence = message.sequence(),
                          .until = now + seconds(1)});
}

void membership_system::OnAck(const MemberDatagram& message, time_point now) {
  if (probe_ && probe_->sequence == message.sequence() &&
      probe_->target.value == message.sender()) {
    probe_.reset();
    return;
  }
  const auto found = std::ranges::find(relays_, message.sequence(), &relay::sequence);
  if (found == relays_.end()) return;
  MemberDatagram reply;
  reply.set_kind(MemberDatagram::INDIRECT_ACK);
  reply.set_sequence(found->origin_sequence);
  reply.set_target(message.sender());
  FillSender(reply, false);
  Send(found->origin_id, found->origin, reply, reply.ByteSizeLong(),
       charge_purpose::kMembershipProbe, urgency::kForced, now);
  relays_.erase(found);
}

void membership_system::AddRequestedDetails(const MemberDatagram& message,
                                            MemberDatagram& reply, std::size_t& size) const {
  for (const std::uint64_t id : message.wanted()) {
    const std::ptrdiff_t index = table_.IndexOf(member_id{id});
    if (index < 0 || table_.track(Index(index)).unconfirmed ||
        table_.row(Index(index)).state == member_state::kDead) {
      continue;
    }
    if (size + kDetailedRecord > ChangeLimit()) return;
    AddRecord(Index(index), true, reply, size);
  }
}

std::uint32_t membership_system::CompareDigests(const MemberDatagram& message, time_point now) {
  if (message.bucket_digests_size() != member_table::kBuckets) return 0;
  std::uint32_t differ = 0;
  for (std::size_t bucket = 0; bucket < member_table::kBuckets; ++bucket) {
    if (message.bucket_digests(static_cast<int>(bucket)) != table_.digests()[bucket]) {
      differ |= 1U << bucket;
    }
  }
  if (now >= unconfirmed_until_) return differ;
  const std::uint32_t excluded_buckets = differ | message.unconfirmed_buckets();
  for (std::size_t i = 1; i < table_.size(); ++i) {
    if (table_.track(i).unconfirmed &&
        (excluded_buckets >> member_table::BucketOf(table_.row(i).id) & 1U) == 0) {
      Confirm(i);
    }
  }
  return differ;
}

void membership_system::AddBucketRecords(std::uint32_t mask, MemberDatagram& message,
                                         std::size_t& size) {
  if (mask == 0) return;
  const std::size_t start = Random(table_.size());
  for (std::size_t n = 0; n < table_.size(); ++n) {
    const std::size_t i = (start + n) % table_.size();
    // Peers detect dead members by their own probes, and rows of dead members would raise false
    // suspicions after a partition has healed.
    if (table_.track(i).unconfirmed || table_.row(i).state == member_state::kDead ||
        (mask >> member_table::BucketOf(table_.row(i).id) & 1U) == 0) {
      continue;
    }
    if (size > kDatagramLimit / 2 || !AddRecord(i, false, message, size)) return;
  }
}

void membership_system::AddPage(std::uint32_t mask, std::uint64_t after,
                                MemberDatagram& message, std::size_t& size) const {
  std::vector<std::pair<std::uint64_t, std::size_t>> page;
  for (std::size_t i = 0; i < table_.size(); ++i) {
    const std::uint64_t id = table_.row(i).id.value;
    if (id > after && IsLive(table_.row(i).state) && !table_.track(i).unconfirmed &&
        (mask >> member_table::BucketOf(table_.row(i).id) & 1U) != 0) {
      page.emplace_back(id, i);
    }
  }
  std::ranges::sort(page);
  for (const auto& [id, index] : page) {
    if (size + kDetailedRecord > ChangeLimit()) return;
    AddRecord(index, true, message, size);
  }
}

// --- records

void membership_system::ApplyRecord(const member_update& update, member_id sender,
                                    std::string_view from, bool pass_on, time_point now) {
  if (update.row.id == self().id) {
    ApplyOwnRecord(update, now);
    return;
  }
  const merge_result result = table_.Merge(update);
  if (result.earlier_incarnation) return;
  if (update.has_details) details_requests_.erase(update.row.id.value);
  if (result.needs_details) RequestDetails(update.row.id, sender, from, now);
  const std::ptrdiff_t found = table_.IndexOf(update.row.id);
  if (found < 0) return;
  const std::size_t index = Index(found);
  member_track& track = table_.track(index);
  if (track.unconfirmed && table_.row(index).incarnation == update.row.incarnation &&
      table_.row(index).state == member_state::kSuspect) {
    if (update.row.state == member_state::kAlive) {
      Confirm(index);
    } else {
      track.unconfirmed = false;
      ExpireAt(index, now + SuspicionTimeout());
    }
  }
  if (result.contradicts_dead && !track.reported_alive) {
    track.reported_alive = true;
    next_dead_probe_ =
        std::min(next_dead_probe_, now + Jittered(duration::zero(), milliseconds(500)));
  }
  AfterMerge(index, result, pass_on, now);
}

void membership_system::ApplyOwnRecord(const member_update& update, time_point now) {
  LearnDepartures(update.row, now);
  member_row& self = table_.Mutable(0);
  if (update.row.incarnation.value > self.incarnation.value) {
    BumpIncarnation(update.row.incarnation, now);
    return;
  }
  if (update.row.incarnation.value < self.incarnation.value || leaving_ ||
      update.row.refutation < self.refutation || update.row.state == member_state::kAlive) {
    return;
  }
  self.refutation = update.row.refutation + 1;
  table_.Refresh(0);
  MarkChanged(0, false, false);
  Report(membership_event_kind::kRefuted, 0, static_cast<std::int64_t>(self.refutation));
}

void membership_system::AfterMerge(std::size_t index, const merge_result& result, bool pass_on,
                                   time_point now) {
  if (!result.changed()) return;
  const member_state state = table_.row(index).state;
  if (result.added) {
    Report(membership_event_kind::kJoined, index);
  } else if (result.new_incarnation) {
    Report(membership_event_kind::kNewIncarnation, index);
  }
  if (result.state_changed ||
      ((result.added || result.new_incarnation) && state != member_state::kAlive)) {
    AfterStateChange(index, now);
  } else if (result.new_incarnation) {
    table_.track(index).deadline = time_point::max();
  } else if (result.refutation_changed && state == member_state::kSuspect) {
    ExpireAt(index, now + SuspicionTimeout());
  }
  if (result.draining_changed) Report(membership_event_kind::kDraining, index);
  if (result.details_changed) Report(membership_event_kind::kDetailsChanged, index);
  // Every daemon reads the log and pulls pages itself, so their records are not gossiped.
  if (!pass_on) return;
  const bool urgent = result.draining_changed || state == member_state::kLeft;
  MarkChanged(index, result.added || result.new_incarnation || result.details_changed, urgent);
}

void membership_system::AfterStateChange(std::size_t index, time_point now) {
  table_.Refresh(index);
  table_.track(index).unconfirmed = false;
  switch (table_.row(index).state) {
    case member_state::kAlive:
      table_.track(index).deadline = time_point::max();
      table_.track(index).reported_alive = false;
      Report(membership_event_kind::kAlive, index);
      break;
    case member_state::kSuspect:
      ExpireAt(index, now + SuspicionTimeout());
      Report(membership_event_kind::kSuspect, index);
      break;
    case member_state::kDead:
      ExpireAt(index, now + settings_.tombstone_retention);
      Report(membership_event_kind::kDead, index);
      break;
    case member_state::kLeft:
      ExpireAt(index, now + settings_.tombstone_retention);
      Report(membership_event_kind::kLeft, index);
      break;
  }
}

void membership_system::ExpireAt(std::size_t index, time_point deadline) {
  table_.track(index).deadline = deadline;
  next_expiry_ = std::min(next_expiry_, deadline);
}

void membership_system::Confirm(std::size_t index) {
  table_.track(index).unconfirmed = false;
  table_.track(index).deadline = time_point::max();
  if (table_.row(index).state != member_state::kSuspect) return;
  table_.Mutable(index).state = member_state::kAlive;
  Report(membership_event_kind::kAlive, index);
}

void membership_system::MarkChanged(std::size_t index, bool with_details, bool urgent) {
  member_track& track = table_.track(index);
  if (track.transmits_left == 0) {
    // When many members join at once, peers obtain the others by comparing digests.
    if (with_details && index != 0 && changed_.size() >= settings_.max_pending_changes) return;
    changed_.push_back(table_.row(index).id);
    track.transmit_details = false;
  }
  track.transmits_left = static_cast<std::uint32_t>(std::bit_width(table_.live())) + 1;
  track.transmit_details = track.transmit_details || with_details;
  track.urgent = track.urgent || urgent;
  push_due_ = push_due_ || urgent;
}

void membership_system::RequestDetails(member_id id, member_id from, std::string_view address,
                                       time_point now) {
  const auto [it, added] = details_requests_.try_emplace(id.value);
  if (!added) return;
  it->second.from = from;
  it->second.address = address;
  // The next read of the log usually returns the record.
  it->second.request_at = log_available() ? now + settings_.read_pause : now;
}

// --- sending

void membership_system::FillSender(MemberDatagram& message, bool with_digests) {
  const member_row& self = table_.row(0);
  message.set_sender(self.id.value);
  message.set_sender_incarnation(self.incarnation.value);
  message.set_sender_refutation(self.refutation);
  message.set_config_version(self.config_version);
  WriteLoadHint(hint_, message.mutable_hint());
  message.mutable_hint()->set_draining(hint_.draining || self.draining);
  FillEvacuations(message);
  if (!with_digests) return;
  message.set_live(static_cast<std::uint32_t>(table_.live()));
  for (const std::uint32_t digest : table_.digests()) message.add_bucket_digests(digest);
  if (last_observed_ >= unconfirmed_until_) return;
  std::uint32_t mask = 0;
  for (std::size_t i = 1; i < table_.size(); ++i) {
    if (table_.track(i).unconfirmed) mask |= 1U << member_table::BucketOf(table_.row(i).id);
  }
  message.set_unconfirmed_buckets(mask);
}

void membership_system::FillEvacuations(MemberDatagram& message) const {
  const evacuation_set::zone_set& zones = evacuations_.zones();
  if (zones.empty() && last_observed_ >= evacuations_sent_until_) return;
  std::size_t bytes = 0;
  for (const std::string& zone : zones) bytes += zone.size();
  if (zones.size() > kMaxSentZones || bytes > kMaxSentZoneBytes) return;
  message.set_evacuation_era(static_cast<std::uint64_t>(evacuations_.position().era));
  message.set_evacuation_offset(static_cast<std::uint64_t>(evacuations_.position().offset));
  for (const std::string& zone : zones) message.add_evacuated_zones(zone);
}

std::size_t membership_system::ChangeLimit() const {
  const std::uint64_t payable = budget_.MaxCharge(charge_purpose::kMembershipChange);
  return std::min<std::uint64_t>(kDatagramLimit, payable - kHeaderBytes);
}

bool membership_system::AddRecord(std::size_t index, bool with_details, MemberDatagram& message,
                                  std::size_t& size) const {
  proto::MemberRecord* record = message.add_records();
  WriteMemberRecord(table_.Update(index, with_details), record);
  const std::size_t record_size = record->ByteSizeLong() + kRecordOverhead;
  if (size + record_size > kDatagramLimit) {
    message.mutable_records()->RemoveLast();
    return false;
  }
  size += record_size;
  return true;
}

bool membership_system::Send(member_id peer, std::string_view address, MemberDatagram& message,
                             std::size_t size, charge_purpose purpose, urgency force,
                             time_point now) {
  const int own_records = message.records_size();
  // Changes with the fewest transmissions so far have priority.
  std::ranges::stable_sort(changed_, std::ranges::greater{}, [this](member_id id) {
    const std::ptrdiff_t index = table_.IndexOf(id);
    return index < 0 ? 0 : table_.track(Index(index)).transmits_left;
  });
  std::vector<std::size_t> piggybacked;
  for (const member_id id : changed_) {
    if (force == urgency::kPlain) break;
    const std::ptrdiff_t index = table_.IndexOf(id);
    if (index < 0) continue;
    if (!AddRecord(Index(index), table_.track(Index(index)).transmit_details, message, size)) {
      break;
    }
    piggybacked.push_back(Index(index));
  }
  const std::ptrdiff_t target = table_.IndexOf(peer);
  const distance where =
      target > 0 ? DistanceBetween(self(), table_.row(Index(target))) : distance::kSameZone;
  budget_charge charge{
      .bytes = message.ByteSizeLong() + kHeaderBytes, .purpose = purpose, .where = where};
  if (!budget_.TryCharge(charge, now)) {
    if (force != urgency::kForced) return false;
    const int kept = std::min(own_records, 1);
    message.mutable_records()->DeleteSubrange(kept, message.records_size() - kept);
    size = message.ByteSizeLong();
    // Details would triple the size of the message; peers read them from the log or request
    // them.
    std::erase_if(piggybacked,
                  [this](std::size_t index) { return table_.track(index).transmit_details; });
    piggybacked.resize(std::min(piggybacked.size(), kMaxForcedChanges));
    for (const std::size_t index : piggybacked) AddRecord(index, false, message, size);
    charge.bytes = message.ByteSizeLong() + kHeaderBytes;
    budget_.ChargeAlways(charge, now);
  }
  datagrams_.SendDatagram(address, message.SerializeAsString());
  for (const std::size_t index : piggybacked) --table_.track(index).transmits_left;
  if (!piggybacked.empty()) {
    std::erase_if(changed_, [this](member_id id) {
      const std::ptrdiff_t index = table_.IndexOf(id);
      return index < 0 || table_.track(Index(index)).transmits_left == 0;
    });
  }
  return true;
}

// --- log

void membership_system::TickLog(time_point now) {
  if (reading_ && now >= read_timeout_) OnLogFailed(settings_.stream, now);
  if (reading_ || now < next_read_) return;
  reading_ = true;
  read_timeout_ = now + kReadTimeout;
  log_.Read(settings_.stream, next_offset_);
}

void membership_system::OnLogRead(const log_read& read, time_point now) {
  if (read.stream != settings_.stream) return;
  Observe(now);
  reading_ = false;
  has_read_log_ = true;
  read_backoff_ = settings_.initial_backoff;
  if (log_unavailable_) {
    log_unavailable_ = false;
    Report(membership_event_kind::kLogRegained, 0);
  }
  if (read.retention_ms > 0 && milliseconds(read.retention_ms) != retention_) {
    retention_ = milliseconds(read.retention_ms);
    // A retention shorter than assumed requires an earlier refresh of the record.
    if (append_started_ && next_append_ != time_point::max()) {
      next_append_ = std::min(next_append_, now + Jittered(retention_ * 2 / 5, retention_ / 2));
    }
  }
  next_offset_ = std::max(next_offset_, read.first);
  bool has_own_record = false;
  for (const log_record& record : read.records) {
    next_offset_ = std::max(next_offset_, record.offset + 1);
    const std::optional<member_update> update = DecodeMemberLogRecord(record.data);
    if (!update) continue;
    if (update->row.id == self().id) {
      LearnDepartures(update->row, now);
      has_own_record = has_own_record || IsOwnRecord(*update);
      if (update->row.incarnation.value > self().incarnation.value ||
          (update->row.incarnation == self().incarnation && !append_started_)) {
        BumpIncarnation(update->row.incarnation, now);
      }
      continue;
    }
    const merge_result result = table_.Merge(*update);
    const std::ptrdiff_t found = table_.IndexOf(update->row.id);
    if (result.earlier_incarnation || found < 0) continue;
    const std::size_t index = Index(found);
    details_requests_.erase(update->row.id.value);
    AfterMerge(index, result, false, now);
    if ((result.added || result.new_incarnation) && IsLive(update->row.state) &&
        milliseconds(record.age_ms) > settings_.max_fresh_record_age) {
      // An old join record does not prove that its incarnation is still alive.
      table_.Mutable(index).state = member_state::kSuspect;
      table_.track(index).unconfirmed = true;
      ExpireAt(index, now + settings_.confirmation_timeout);
      unconfirmed_until_ = std::max(unconfirmed_until_, now + settings_.confirmation_timeout);
    }
  }
  if (read.is_newest_of_each && !has_own_record) AppendAgain(now);
  // Each append completes the pending reads of all members. Without the pause, n joins per
  // second would cause n reads per second from every member; with it, one read returns all of
  // them.
  const bool has_more = !read.records.empty() && next_offset_ < read.next;
  const bool settled = now >= started_ + settings_.settle_time;
  next_read_ =
      has_more ? now : now + (settled ? settings_.settled_read_pause : settings_.read_pause);
}

bool membership_system::IsOwnRecord(const member_update& update) const {
  return update.row.incarnation == self().incarnation && update.row.state == self().state &&
         update.row.service == self().service && update.row.departures == self().departures;
}

void membership_system::AppendAgain(time_point now) {
  const bool is_due = next_append_ <= now + settings_.join_spread;
  if (!append_started_ || pending_token_ != 0 || is_due || leave_recorded_) return;
  Report(membership_event_kind::kOwnRecordLost, 0);
  next_append_ =
      std::min(next_append_, now + Jittered(duration::zero(), settings_.join_spread));
}

void membership_system::OnLogFailed(std::string_view stream, time_point now) {
  if (stream != settings_.stream) return;
  Observe(now);
  reading_ = false;
  next_read_ = now + Jittered(read_backoff_ / 2, read_backoff_);
  read_backoff_ = std::min(read_backoff_ * 2, settings_.max_backoff);
  if (log_unavailable_) return;
  log_unavailable_ = true;
  next_dead_probe_ = std::min(
      next_dead_probe_, now + Jittered(duration::zero(), settings_.log_outage_probe_interval));
  next_seed_ = std::min(next_seed_,
                        now + Jittered(duration::zero(), settings_.log_outage_probe_interval));
  Report(membership_event_kind::kLogLost, 0);
}

void membership_system::TickAppend(time_point now) {
  if (pending_token_ != 0 && now >= append_timeout_) {
    OnAppendResult(pending_token_, false, now);
  }
  if (pending_token_ != 0 || now < next_append_ || leave_recorded_) return;
  // The append replaces the record of the previous incarnation, whose departures would be lost.
  const bool waits = !has_read_log_ && now < started_ + settings_.first_read_wait;
  if (waits && !leaving_) return;
  // No leave record is needed if no join record was appended.
  if (leaving_ && !append_started_) {
    leave_recorded_ = true;
    return;
  }
  append_started_ = true;
  pending_token_ = ++token_;
  pending_is_leave_ = leaving_;
  pending_version_ = table_.track(0).details_version;
  next_append_ = time_point::max();
  append_timeout_ = now + settings_.append_timeout;
  log_.Append(settings_.stream, MemberKey(self().id),
              EncodeMemberLogRecord(table_.Update(0, true)), pending_token_);
}

void membership_system::OnAppendResult(std::uint64_t token, bool appended, time_point now) {
  if (token != pending_token_ || token == 0) return;
  pending_token_ = 0;
  if (appended) {
    append_backoff_ = settings_.initial_backoff;
    leave_recorded_ = pending_is_leave_;
    recorded_version_ = pending_version_;
    next_append_ = std::min(next_append_, now + Jittered(retention_ * 2 / 5, retention_ / 2));
    return;
  }
  next_append_ = std::min(next_append_, now + Jittered(append_backoff_ / 2, append_backoff_));
  append_backoff_ = std::min(append_backoff_ * 2, settings_.max_backoff);
}

// --- helpers

std::ptrdiff_t membership_system::RandomPeer(member_id skip) {
  const auto is_eligible = [this, skip](std::size_t i) {
    const member_row& row = table_.row(i);
    return i > 0 && IsLive(row.state) && row.id != skip;
  };
  const std::size_t size = table_.size();
  if (size < 2) return -1;
  for (int draw = 0; draw < 8; ++draw) {
    const std::size_t i = 1 + Random(size - 1);
    if (is_eligible(i)) return static_cast<std::ptrdiff_t>(i);
  }
  // Most rows are not eligible: choose from a list of the eligible ones.
  std::vector<std::size_t> live;
  for (std::size_t i = 1; i < size; ++i) {
    if (is_eligible(i)) live.push_back(i);
  }
  return live.empty() ? -1 : static_cast<std::ptrdiff_t>(live[Random(live.size())]);
}

std::uint64_t membership_system::Random(std::uint64_t below) {
  return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(random_);
}

duration membership_system::Jittered(duration min, duration max) {
  return duration(
      std::uniform_int_distribution<duration::rep>(min.count(), max.count())(random_));
}

duration membership_system::SuspicionTimeout() const {
  return settings_.suspicion_timeout_base + seconds(std::bit_width(table_.live()));
}

void membership_system::Report(membership_event_kind kind, std::size_t index,
                               std::int64_t number) {
  const member_row& row = table_.row(index);
  events_.push_back(membership_event{.kind = kind,
                                     .id = row.id,
                                     .incarnation = row.incarnation,
                                     .peer_address = row.peer_address,
                                     .number = number});
}

}  // namespace bronzeroute
