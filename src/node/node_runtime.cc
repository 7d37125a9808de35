#include "src/node/node_runtime.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/admission/upstream_notice.h"
#include "src/base/concat.h"
#include "src/base/error_response.h"
#include "src/calls/attempt_head.h"
#include "src/calls/call_record.h"
#include "src/configuration/document.h"
#include "src/configuration/folded_record.h"
#include "src/configuration/may_run_in.h"
#include "src/measuring/request_class.h"
#include "src/measuring/request_result.h"
#include "src/membership/evacuation_stream.h"
#include "src/membership/upstream_departure.h"
#include "src/node/peer_link_port.h"
#include "src/node/runtime_ports.h"
#include "src/node/runtime_settings.h"
#include "src/platform/log_read.h"
#include "src/routing/load_report.h"

namespace bronzeroute {
namespace {

// Period at which hints from membership probes are passed to routing; hints on responses are
// passed on immediately.
constexpr auto kMembersPeriod = std::chrono::milliseconds(100);
// Time allowed for the leave to reach peers before the process exits; pushes are sent every
// 100 ms.
constexpr auto kLeavePropagationTime = std::chrono::milliseconds(250);
// Time after the start for which announcements wait for the departures in the log. A read takes
// a few ms; an upstream that lives announces itself about every second.
constexpr auto kAnnouncementHold = std::chrono::seconds(1);
// Announcements held at most; one upstream sends one or two within the hold.
constexpr std::size_t kMaxHeldAnnouncements = 16;
// Relative change of a named limit that is worth a line in the log.
constexpr double kLoggedRateChange = 0.1;
// Limits of the measuring budget until a configuration document sets them.
constexpr std::uint64_t kInitialBytesPerSecond = 2000;
constexpr auto kInitialUpstreamTime = std::chrono::milliseconds(6);

bool IsLive(const member_row& row) {
  return row.state == member_state::kAlive || row.state == member_state::kSuspect;
}

membership_settings MembershipSettings(const runtime_settings& settings) {
  membership_settings result;
  result.seeds = settings.seeds;
  // One stream per environment: daemons of different environments that share a log must not
  // become candidates of each other.
  result.stream = Concat("members.", settings.environment);
  result.join_spread = settings.join_spread;
  result.settled_read_pause = settings.member_read_pause;
  return result;
}

request_result ResultOf(const call_record& row, duration latency, duration limit) {
  if (row.result == error_kind::kNone) {
    return row.status >= 500 ? request_result::kFailed : ServedResult(latency, limit);
  }
  switch (ErrorResponseFor(row.result).state) {
    case execution::kNotRun:
      return request_result::kRefused;
    case execution::kUnknown:
      return request_result::kUnknown;
    case execution::kRan:
      break;
  }
  return request_result::kFailed;
}

}  // namespace

node_runtime::node_runtime(const member_row& self, const runtime_settings& settings,
                           const runtime_ports& ports, time_point now)
    : links_(ports.links),
      identity_{self.id, self.incarnation, now, self.region},
      budget_(kInitialBytesPerSecond, kInitialUpstreamTime),
      // The incarnation is the start time in milliseconds.
      metrics_({.started = now,
                .unix_time = std::chrono::milliseconds(
                    static_cast<std::int64_t>(self.incarnation.value))}),
      peers_(ports.peers, budget_),
      membership_(self, MembershipSettings(settings), ports.datagrams, ports.log, budget_,
                  settings.seed, now),
      configuration_({.environment = settings.environment,
                      .self = self.id,
                      .seed = settings.seed,
                      .form = settings.form,
                      .read_document = settings.read_document,
                      .read_pause = settings.configuration_read_pause,
                      .read_timeout = settings.log_read_time},
                     ports.log, ports.configuration_peers),
      evacuation_stream_(EvacuationStream(settings.environment)),
      admission_(settings.eject_on_error_answers),
      routing_(configuration_, settings.seed, settings.costs, settings.eject_on_error_answers),
      members_(membership_, configuration_, evacuations_),
      routes_(configuration_, settings.seed),
      decisions_(ports.events),
      usage_(self, membership_, decisions_, now),
      node_(identity_,
            node_ports{.callers = ports.callers,
                       .peers = peers_,
                       .upstreams = ports.upstreams,
                       .chooser = routing_,
                       .gate = admission_,
                       .members = members_,
                       .routes = routes_,
                       .usage = &usage_},
            settings.seed),
      hold_until_(now + kAnnouncementHold),
      stop_linger_(settings.stop_linger),
      slot_share_(settings.slot_share) {
  node_.SetRetryShares(settings.retries);
  node_.SetCallObserver([this](const call_record& row) {
    CountCall(row);
    decisions_.OnCallEnded(row);
  });
  node_.SetAttemptObserver([this](const owner_attempt_record& row) {
    decisions_.OnAttemptEnded(row, admission_.system());
  });
}

distance node_runtime::DistanceTo(member_id member) const {
  const member_row* row = membership_.Find(member);
  const member_row& self = membership_.self();
  if (row == nullptr || row->region != self.region) {
    return distance::kOtherRegion;
  }
  return row->availability_zone == self.availability_zone ? distance::kSameZone
                                                          : distance::kSameRegion;
}

void node_runtime::OnPeerAttempt(exchange_id exchange, const attempt_head& head,
                                 time_point now) {
  peers_.SetTime(now);
  peers_.OnPeerAttempt(exchange, head.id.call.entry, DistanceTo(head.id.call.entry));
  node_.OnPeerAttempt(exchange, head, now);
}

void node_runtime::OnEntryDisconnected(exchange_id exchange, time_point now) {
  peers_.OnEntryDisconnected(exchange);
  node_.OnEntryDisconnected(exchange, now);
}

void node_runtime::OnPeerReport(const owner_message_identity& from, std::int64_t config_version,
                                time_point now) {
  configuration_.OnPeerVersion(from.owner, config_version, now);
}

void node_runtime::CountCall(const call_record& row) {
  if (row.result == error_kind::kUnknownCredential) {
    metrics_.accounts().RecordUnknownCredential();
    return;
  }
  const auto current = configuration_.current();
  const service_spec* spec = current == nullptr ? nullptr : current->FindService(row.service);
  // A disconnected caller received no response, so the call has no latency.
  if (spec == nullptr || row.caller_left) {
    return;
  }
  const request_class of = row.is_protected ? request_class::kProtected
                           : row.is_long    ? request_class::kLong
                                            : request_class::kShort;
  const duration latency = row.ended - row.received;
  const duration limit = row.is_long ? row.deadline - row.received : spec->objective_latency;
  const request_result result = ResultOf(row, latency, limit);
  metrics_.Record(row.service, of, result, latency, row.ended);
  metrics_.accounts().Record(row.account, result);
}

void node_runtime::OnDatagram(std::string_view from, std::string_view payload, time_point now) {
  membership_.OnDatagram(from, payload, now);
  if (const auto received = membership_.TakeEvacuations()) {
    admission_.HoldAfterFreeze();
    if (evacuations_.OnPeer(received->position, received->zones)) ApplyEvacuations("peer", now);
  }
  ApplyMembers(now);
  usage_.OnMessages(now);
}

void node_runtime::OnLogRead(const log_read& read, time_point now) {
  if (read.stream == evacuation_stream_) {
    admission_.HoldAfterFreeze();
    if (evacuations_.OnLogRead(read)) ApplyEvacuations("log", now);
    return;
  }
  if (read.is_restored) decisions_.OnLogRestored(read.stream);
  configuration_.OnLogRead(read, now);
  membership_.OnLogRead(read, now);
  ApplyConfiguration(now);
  ApplyMembers(now);
}

void node_runtime::OnLogFailed(std::string_view stream, time_point now) {
  configuration_.OnLogFailed(stream, now);
  membership_.OnLogFailed(stream, now);
}

void node_runtime::OnAppendResult(std::uint64_t token, bool succeeded, time_point now) {
  configuration_.OnAppendResult(token, succeeded, now);
  membership_.OnAppendResult(token, succeeded, now);
  EndDepartureWaits(now);
}

void node_runtime::OnSnapshot(member_id peer, std::string_view record, time_point now) {
  configuration_.OnSnapshot(peer, record, now);
  ApplyConfiguration(now);
}

void node_runtime::OnSnapshotFailed(member_id peer, time_point now) {
  configuration_.OnSnapshotFailed(peer, now);
}

bool node_runtime::OnAnnouncement(upstream_announcement announcement, time_point now) {
  if (IsFromAnotherWriter(announcement)) {
    decisions_.OnUpstream("unknown_service_ignored", announcement.identity,
                          announcement.address, announcement.sequence);
    return false;
  }
  // An identity may be that of an upstream whose departure only the log knows.
  const bool may_have_left = !membership_.has_tried_log() && now < hold_until_;
  if (may_have_left && !announcement.identity.empty() && !announcement.is_leaving) {
    if (held_announcements_.size() == kMaxHeldAnnouncements) return false;
    held_announcements_.push_back(std::move(announcement));
    return true;
  }
  const bool is_leaving = announcement.is_leaving;
  if (is_leaving) {
    membership_.RecordDeparture(
        {.identity = announcement.identity, .started_ms = announcement.started_ms}, now);
  }
  if (!history_.Accept(announcement, now)) {
    if (is_leaving) OnLateLeaving(announcement, now);
    decisions_.OnUpstream("late_announcement_ignored", announcement.identity,
                          announcement.address, announcement.sequence);
    return false;
  }
  const time_point warm_at = announcement.warm_at;
  membership_.OnAnnouncement(std::move(announcement), now);
  ApplyUpstream(now);
  if (warm_at != time_point{}) admission_.SetWarmAt(warm_at, now);
  if (is_leaving) DrainUpstream(now);
  ApplyMembers(now);
  return true;
}

void node_runtime::ProcessHeldAnnouncements(time_point now) {
  if (held_announcements_.empty()) return;
  if (!membership_.has_tried_log() && now < hold_until_) return;
  for (upstream_announcement& each : std::exchange(held_announcements_, {})) {
    OnAnnouncement(std::move(each), now);
  }
}

void node_runtime::ApplyPastDepartures(time_point now) {
  for (const upstream_departure& each : membership_.TakePastDepartures()) {
    decisions_.OnUpstream("earlier_departure_learned", each.identity, "", 0);
    history_.Restore(each, now);
    if (each.identity == applied_identity_ &&
        history_.HasLeft(applied_identity_, applied_start_)) {
      DrainUpstream(now);
    }
  }
}

void node_runtime::AwaitDepartureRecord(time_point deadline, std::function<void(bool)> done,
                                        time_point now) {
  departure_waits_.push_back({deadline, std::move(done)});
  EndDepartureWaits(now);
}

void node_runtime::EndDepartureWaits(time_point now) {
  if (departure_waits_.empty()) return;
  const bool recorded = membership_.departures_recorded();
  std::vector<departure_wait> ended;
  std::erase_if(departure_waits_, [&](departure_wait& each) {
    const bool ends = recorded || now >= each.deadline;
    if (ends) ended.push_back(std::move(each));
    return ends;
  });
  if (!ended.empty() && !recorded) decisions_.OnDepartureNotRecorded(ended.size());
  for (const departure_wait& each : ended) each.done(recorded);
}

void node_runtime::OnLateLeaving(const upstream_announcement& announcement, time_point now) {
  const bool is_in_use =
      announcement.identity == applied_identity_ && announcement.started_ms == applied_start_;
  if (is_in_use) {
    DrainUpstream(now);
    ApplyMembers(now);
  } else {
    history_.Retire(announcement.identity, announcement.started_ms, 0, now);
  }
}

bool node_runtime::IsFromAnotherWriter(const upstream_announcement& announcement) const {
  const auto current = configuration_.current();
  if (announcement.identity.empty() || current == nullptr ||
      current->FindService(announcement.service) != nullptr) {
    return false;
  }
  // The configuration may have dropped the service of the upstream in use.
  const upstream_announcement* const in_use = membership_.upstream();
  return in_use == nullptr || in_use->identity != announcement.identity ||
         in_use->service != announcement.service;
}

void node_runtime::OnUpstreamLeaving(std::string_view identity,
                                     std::optional<std::int64_t> started_ms,
                                     std::int64_t unix_ms, time_point now) {
  // Another writer may invent identities, and each record costs a call to the log.
  const bool is_own = identity == applied_identity_ || applied_identity_.empty() ||
                      history_.HasAnnounced(identity);
  history_.Retire(identity, started_ms, unix_ms, now);
  const std::optional<upstream_departure> departure = history_.DepartureOf(identity);
  if (is_own && departure) membership_.RecordDeparture(*departure, now);
  if (identity == applied_identity_ && history_.HasLeft(identity, applied_start_)) {
    DrainUpstream(now);
  }
  ApplyMembers(now);
}

void node_runtime::OnUpstreamLoad(const load_report& report, time_point now) {
  admission_.OnServiceTimePercent(report.service_time_percent, now);
}

void node_runtime::OnUpstreamNotice(const upstream_notice& notice, time_point now) {
  LogRate(notice);
  admission_.OnNotice(notice, now);
  if (!notice.is_leaving || upstream_leaves_) return;
  // A report that says otherwise is older than this response.
  history_.Retire(applied_identity_, applied_start_, 0, now);
  membership_.RecordDeparture({.identity = applied_identity_, .started_ms = applied_start_},
                              now);
  DrainUpstream(now);
  ApplyMembers(now);
}

void node_runtime::LogRate(const upstream_notice& notice) {
  if (!notice.malformed_rate.empty()) {
    decisions_.OnMalformedRate(applied_identity_, notice.malformed_rate);
    return;
  }
  if (!notice.max_rate && !notice.is_complete) return;
  const double rate = notice.max_rate.value_or(kNoRate);
  const bool is_change = (rate < 0) != (logged_rate_ < 0) ||
                         std::abs(rate - logged_rate_) > kLoggedRateChange * logged_rate_;
  if (rate == logged_rate_ || !is_change) return;
  logged_rate_ = rate;
  decisions_.OnUpstreamRate(applied_identity_, notice.max_rate);
}

void node_runtime::LogColdLimit(time_point now) {
  const admission_system& system = admission_.system();
  const double rate = system.ColdRate(now);
  if ((rate > 0) == logged_cold_) return;
  logged_cold_ = rate > 0;
  decisions_.OnColdLimit(applied_identity_, rate, system.held_by_cold_limit());
}

restriction_metrics node_runtime::restrictions(time_point now) const {
  const admission_system& system = admission_.system();
  const auto current = configuration_.current();
  return {.replaced_values = current == nullptr ? 0 : current->substitutions,
          .evacuated_zones = evacuations_.zones().size(),
          .cold_rate_per_s = system.ColdRate(now),
          .held_by_cold_limit = system.held_by_cold_limit()};
}

void node_runtime::DrainUpstream(time_point now) {
  if (upstream_leaves_) return;
  upstream_leaves_ = true;
  decisions_.OnUpstream("upstream_leaves", applied_identity_, applied_address_, 0);
  node_.Drain(now);
  admission_.Drain(now);
  membership_.Drain(now);
}

void node_runtime::Drain(time_point now) {
  drained_ = true;
  node_.Drain(now);
  admission_.Drain(now);
  membership_.Drain(now);
}

void node_runtime::Stop(time_point now) {
  if (!stopping_) leave_at_ = now + stop_linger_;
  stopping_ = true;
  Drain(now);
}

bool node_runtime::MayExit() const {
  return leave_propagated_ && node_.IsIdle() &&
         (membership_.leave_recorded() || !membership_.log_available());
}

void node_runtime::Tick(time_point now) {
  peers_.SetTime(now);
  node_.Tick(now);
  admission_.Tick(now);
  LogColdLimit(now);
  const load_hint hint = admission_.Hint(now);
  membership_.SetHint(hint);
  membership_.Tick(now);
  configuration_.Tick(now);
  ApplyConfiguration(now);
  ProcessHeldAnnouncements(now);
  ApplyUpstream(now);
  EndDepartureWaits(now);
  if (now >= next_members_) {
    routing_.OnHint({identity_.id, membership_.self().incarnation}, hint, now);
    members_changed_ = true;
    next_members_ = now + kMembersPeriod;
  }
  ApplyMembers(now);
  usage_.Tick(now);
  if (stopping_ && !leaving_ && now >= leave_at_ && node_.IsIdle()) {
    leaving_ = true;
    leave_propagated_at_ = now + kLeavePropagationTime;
    membership_.Leave(now);
  }
  leave_propagated_ = leaving_ && now >= leave_propagated_at_;
}

std::size_t node_runtime::ServingMembers() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(membership_.members(), [](const member_row& row) {
        return row.state == member_state::kAlive && !row.service.empty();
      }));
}

void node_runtime::ApplyConfiguration(time_point now) {
  if (configuration_.version() == applied_version_) {
    return;
  }
  applied_version_ = configuration_.version();
  membership_.SetConfigVersion(applied_version_);
  const auto current = configuration_.current();
  if (current == nullptr) {
    return;
  }
  SetObjectives(*current);
  usage_.OnDocument(*current, now);
  admission_.SetAccounts(current->accounts);
  budget_.SetLimits(current->measuring_bytes_per_second,
                    std::chrono::milliseconds(current->measuring_upstream_ms_per_second));
  const std::optional<time_point> reported = configuration_.reported_at();
  decisions_.OnConfigurationInEffect(*current, applied_version_, configuration_.source(),
                                     reported ? std::optional(now - *reported) : std::nullopt);
  // An upstream whose service no configuration has named yet is that of another writer.
  const upstream_announcement* const upstream = membership_.upstream();
  if (upstream != nullptr && applied_service_.empty() &&
      current->FindService(upstream->service) == nullptr) {
    history_.ClearCurrent();
  }
  // The limits of the service may have changed.
  applied_service_.clear();
  ApplyUpstream(now);
}

void node_runtime::SetObjectives(const document& current) {
  std::vector<std::string> removed;
  for (const auto& [name, row] : metrics_.services()) {
    if (current.FindService(name) == nullptr) {
      removed.push_back(name);
    }
  }
  for (const std::string& name : removed) {
    metrics_.Remove(name);
  }
  for (const service_spec& spec : current.services) {
    metrics_.SetObjective(spec.name, spec.objective);
  }
  metrics_.accounts().SetAccounts(current.accounts);
}

void node_runtime::ApplyUpstream(time_point now) {
  const upstream_announcement* upstream = membership_.upstream();
  const std::string address = upstream == nullptr ? "" : upstream->address;
  const std::string identity = upstream == nullptr ? "" : upstream->identity;
  const std::int64_t start = upstream == nullptr ? 0 : upstream->started_ms;
  if (address != applied_address_ || identity != applied_identity_ || start != applied_start_) {
    // For the first upstream, Configure() already assumes a cold start.
    const bool is_replaced = !address.empty() && had_upstream_;
    had_upstream_ = had_upstream_ || !address.empty();
    applied_address_ = address;
    applied_identity_ = identity;
    applied_start_ = start;
    logged_rate_ = kNoRate;
    LinkUpstream();
    decisions_.OnUpstream("upstream_in_use", identity, address,
                          upstream == nullptr ? 0 : upstream->sequence);
    if (is_replaced) admission_.OnUpstreamReplaced(now);
    if (upstream_leaves_ && !address.empty()) {
      upstream_leaves_ = false;
      if (!drained_) {
        node_.EndDrain();
        admission_.EndDrain(now);
        membership_.EndDrain(now);
      }
    }
    if (address.empty()) {
      admission_.OnUpstreamGone();
      applied_service_.clear();
    }
  }
  const auto current = configuration_.current();
  if (upstream == nullptr || current == nullptr) {
    return;
  }
  const bool is_applied = upstream->service == applied_service_ &&
                          upstream->slots == applied_slots_ &&
                          upstream->connections == applied_connections_;
  const service_spec* spec = current->FindService(upstream->service);
  if (is_applied || spec == nullptr) {
    return;
  }
  applied_service_ = upstream->service;
  applied_slots_ = upstream->slots;
  applied_connections_ = upstream->connections;
  service_spec limits = *spec;
  limits.slot_share = slot_share_;
  admission_.Configure(limits, *upstream, MayRunIn(*spec, membership_.self().region), now);
}

void node_runtime::ApplyMembers(time_point now) {
  TakeEvents();
  ApplyPastDepartures(now);
  if (!members_changed_) {
    return;
  }
  members_changed_ = false;
  if (membership_.self().incarnation > identity_.incarnation) {
    // The wall clock went back across a restart, so that membership raised the incarnation.
    // Peers address the raised one from now on.
    identity_.BumpIncarnation(membership_.self().incarnation);
    node_.BumpIncarnation(identity_.incarnation);
  }
  routing_.OnMembers(membership_.members(), membership_.self(), now);
  usage_.OnMembers(now);
  std::vector<member_id> alive;
  for (const member_row& row : membership_.members()) {
    if (row.id == identity_.id) {
      alive.push_back(row.id);
      continue;
    }
    if (IsLive(row)) {
      alive.push_back(row.id);
      configuration_.OnPeerVersion(row.id, row.config_version, now);
      const bool keeps_open = routing_.IsPreferred(row.id);
      peer_link& linked = linked_[row.id];
      if (linked.address != row.peer_address || linked.keeps_open != keeps_open) {
        linked = {row.peer_address, keeps_open};
        links_.OpenPeer(row.id, row.peer_address, keeps_open);
      }
    } else if (linked_.erase(row.id) > 0) {
      links_.ClosePeer(row.id);
    }
  }
  configuration_.OnMembers(alive);
}

void node_runtime::ApplyEvacuations(std::string_view source, time_point now) {
  membership_.SetEvacuations(evacuations_, now);
  const evacuation_set::zone_set& zones = evacuations_.zones();
  if (zones == applied_zones_) return;
  const evacuation_set::zone_set before = std::exchange(applied_zones_, zones);
  const auto log_missing = [&](const evacuation_set::zone_set& from,
                               const evacuation_set::zone_set& in, bool begins) {
    for (const std::string& zone : from) {
      if (in.contains(zone)) continue;
      const auto members =
          std::ranges::count(membership_.members(), zone, &member_row::availability_zone);
      decisions_.OnEvacuation(zone, begins, static_cast<std::size_t>(members),
                              evacuations_.position().offset, source);
    }
  };
  log_missing(zones, before, true);
  log_missing(before, zones, false);
  // Routing first: admission refuses queued work, which entries then send elsewhere.
  routing_.SetEvacuated(zones);
  members_changed_ = true;
  ApplyMembers(now);
  peers_.SetTime(now);
  const bool was_evacuated = admission_.is_evacuated();
  admission_.SetEvacuated(zones.contains(membership_.self().availability_zone), now);
  if (admission_.is_evacuated() != was_evacuated) LinkUpstream();
  membership_.SetHint(admission_.Hint(now));
}

void node_runtime::LinkUpstream() {
  // Without an address, the transport does not send a request again whose connection ends.
  const bool is_evacuated = admission_.is_evacuated();
  links_.SetUpstream(is_evacuated ? std::string_view() : applied_address_, applied_identity_);
}

void node_runtime::TakeEvents() {
  for (const membership_event& event : membership_.TakeEvents()) {
    decisions_.OnMembership(event);
    members_changed_ = true;
  }
  for (const folded_record& each : configuration_.TakeFoldedRecords()) {
    decisions_.OnConfigurationRecord(each);
  }
  for (const configuration_event& each : configuration_.TakeEvents()) {
    decisions_.OnConfigurationEvent(each);
  }
}

}  // namespace bronzeroute
